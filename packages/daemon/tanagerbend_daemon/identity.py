"""Member record of a daemon and its identity for peer connections."""

import time

from tanagerbend_interfaces import Member, MemberState
from tanagerbend_membership import Roster
from tanagerbend_settings import Settings
from tanagerbend_wire import Identity


def own_member(settings: Settings) -> Member:
    """Return the member record of a daemon that has just started."""
    host = settings.host
    return Member(
        host=host.name,
        service=host.service,
        failure_domain=host.failure_domain,
        region=host.region,
        incarnation=time.time_ns(),
        sequence=1,
        state=MemberState.STARTING,
        call_address=settings.addresses.calls,
        peer_address=settings.addresses.peers,
    )


def own_identity(settings: Settings, roster: Roster) -> Identity:
    """Return the identity that this daemon presents to its peers."""
    return Identity(
        settings.host.deployment,
        roster.own.host,
        roster.own.incarnation,
        settings.peers.shared_key.encode(),
    )
