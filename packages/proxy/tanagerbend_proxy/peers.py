"""Polls daemons of other hosts for changes."""

import math
import random
from typing import Final

import aiohttp

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal
from tanagerbend_proxy.changes import PollReply
from tanagerbend_proxy.daemon_settings import DaemonSettings
from tanagerbend_proxy.exchange import make_session
from tanagerbend_proxy.messages import MILLISECONDS
from tanagerbend_proxy.poll_request import PollRequest
from tanagerbend_proxy.relaying import poll_peer
from tanagerbend_proxy.sources import (
    MIN_RELAY_HOSTS,
    POLL_WAIT_SECONDS,
    Source,
    Sources,
)
from tanagerbend_routing import (
    InstanceRegistry,
    ListedInstance,
    RoutingConfiguration,
)

# Time for which a poll, its acknowledgement or a new connection may wait
# behind other traffic on a full link.  Other peers are polled long before,
# and a poll that has reached its peer is answered at the next change.
FULL_LINK_SECONDS: Final = 3.0
UNACKED_POLL_TIMEOUT_MS: Final = round(FULL_LINK_SECONDS * MILLISECONDS)
CONNECT_TIMEOUT_SECONDS: Final = FULL_LINK_SECONDS
POLL_TIMEOUT_SECONDS: Final = FULL_LINK_SECONDS + POLL_WAIT_SECONDS


class Peers:
    """Daemons of other hosts as sources of changes.

    Parameters
    ==========

    settings : DaemonSettings
    sources : Sources
    session : aiohttp.ClientSession
    """

    def __init__(
        self,
        settings: DaemonSettings,
        sources: Sources,
        session: aiohttp.ClientSession,
    ) -> None:
        self.settings = settings
        self.sources = sources
        self.session = session
        self.source = ''
        self.uses_relay = False

    @property
    def link_speed(self) -> float:
        """Rate of this host's link in bytes per second, 0 if unknown."""
        rate = self.settings.link_bytes_per_second
        return rate if math.isfinite(rate) else 0.0

    def choose(self, registry: InstanceRegistry) -> Source | None:
        """Return the peer to poll, or None to read the service."""
        local = registry.near(self.settings.failure_domain)
        self.uses_relay = len(local) >= MIN_RELAY_HOSTS
        return self.sources.choose(local)

    def fallback_peers(
        self,
        registry: InstanceRegistry,
        rng: random.Random,
    ) -> list[ListedInstance]:
        """Return daemons to poll if the regular source fails."""
        return self.sources.fallback_peers(
            registry.working(),
            self.settings.failure_domain,
            rng,
        )

    def own_identity(self, registry: InstanceRegistry) -> str:
        """Return the identity of the instance on this host, else empty."""
        own = registry.at_address(self.settings.instance_address)
        return '' if own is None else own.identity

    async def ask(
        self,
        peer: ListedInstance,
        request: PollRequest,
        current: RoutingConfiguration | None,
    ) -> PollReply | Refusal:
        """Ask the daemon on the host of an instance for changes."""
        return await poll_peer(
            self.session,
            f'{peer.host_address}:{self.settings.peer_port}',
            request,
            current,
            POLL_TIMEOUT_SECONDS,
            CONNECT_TIMEOUT_SECONDS,
        )


def make_peers(
    settings: DaemonSettings,
    recorder: Recorder,
    keep_seconds: float,
) -> Peers:
    """Return the peers of a daemon.

    An idle connection to a peer stays open for ``keep_seconds``.
    """
    return Peers(
        settings,
        Sources(settings.instance_address, recorder),
        make_session(keep_seconds, 0, UNACKED_POLL_TIMEOUT_MS),
    )
