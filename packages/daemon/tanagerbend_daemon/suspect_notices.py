"""Notices about requests that crash backend servers, between daemons."""

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

# A caller's answer waits at most this long for the notices.
NOTICE_SECONDS: Final = 0.2


class SuspectNotices:
    """Sends notices to all daemons of the service and takes theirs.

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
        self.informed: dict[str, int] = {}
        roster.listeners.append(self.inform_started)

    def send(self, notice: Notice) -> None:
        """Start to send a notice; ``delivered`` waits for it."""
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

    async def delivered(self) -> None:
        """Wait for the notices under way, at most 200 ms."""
        if self.tasks:
            await asyncio.wait(self.tasks.copy(), timeout=NOTICE_SECONDS)

    def take(self, message: Suspects) -> Ack:
        """Merge a notice of another daemon."""
        if message.service == self.roster.own.service:
            self.quarantine.merge(
                Notice(message.suspected, message.convicted, message.cleared),
            )
        return Ack()

    def inform_started(self, member: Member) -> None:
        """Send what is known to a daemon of the service that has started."""
        is_own = member.host == self.roster.own_host
        if is_own or member.service != self.roster.own.service:
            return
        if member.state is not MemberState.LIVE:
            return
        if self.informed.get(member.host) == member.incarnation:
            return
        self.informed[member.host] = member.incarnation
        notice = self.quarantine.snapshot()
        if not notice.is_empty:
            self._send_to(member, notice)
