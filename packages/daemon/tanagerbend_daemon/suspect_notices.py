"""Exchange of notices about requests that crash backend servers."""

import asyncio
from typing import Final

from tanagerbend_interfaces import (
    Ack,
    Member,
    MemberState,
    PeerTransport,
    Suspects,
)
from tanagerbend_membership import Roster
from tanagerbend_quarantine import Notice, Quarantine

# Limit of the delay that notices add to the answer of a call.
NOTICE_SECONDS: Final = 0.2


class SuspectNotices:
    """Sends notices to the daemons of the service and merges theirs.

    Parameters
    ==========

    quarantine : Quarantine
    roster : Roster
    transport : PeerTransport
    """

    def __init__(
        self,
        quarantine: Quarantine,
        roster: Roster,
        transport: PeerTransport,
    ) -> None:
        self.quarantine = quarantine
        self.roster = roster
        self.transport = transport
        self.tasks: set[asyncio.Task[None]] = set()
        self.informed_incarnations: dict[str, int] = {}
        roster.listeners.append(self.send_snapshot)

    def send(self, notice: Notice) -> None:
        """Send a notice in the background; see ``wait_delivered``."""
        if notice.is_empty:
            return
        for member in self.roster.others():
            if member.service == self.roster.own.service:
                self._send_to(member, notice)

    def _send_to(self, member: Member, notice: Notice) -> None:
        task = asyncio.ensure_future(
            self.transport.request(
                member.peer_address,
                Suspects(
                    self.roster.own.service,
                    notice.suspected,
                    notice.convicted,
                    notice.cleared,
                ),
                NOTICE_SECONDS,
            ),
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def wait_delivered(self) -> None:
        """Wait until notices are delivered, for at most 200 ms."""
        if self.tasks:
            await asyncio.wait(self.tasks.copy(), timeout=NOTICE_SECONDS)

    def receive(self, message: Suspects) -> Ack:
        """Merge a notice received from another daemon."""
        if message.service == self.roster.own.service:
            self.quarantine.merge(
                Notice(message.suspected, message.convicted, message.cleared),
            )
        return Ack()

    def send_snapshot(self, member: Member) -> None:
        """Send all suspects and convictions to a daemon that has started."""
        is_own = member.host == self.roster.own_host
        if is_own or member.service != self.roster.own.service:
            return
        if member.state is not MemberState.LIVE:
            return
        if self.informed_incarnations.get(member.host) == member.incarnation:
            return
        self.informed_incarnations[member.host] = member.incarnation
        notice = self.quarantine.snapshot()
        if not notice.is_empty:
            self._send_to(member, notice)
