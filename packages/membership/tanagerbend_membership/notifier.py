"""Immediate updates of member records, without waiting for a sync."""

import asyncio
from collections.abc import Iterable
from typing import Final

from tanagerbend_interfaces import (
    Member,
    MemberState,
    PeerTransport,
    Randomness,
    Update,
)
from tanagerbend_membership.roster import Change, Roster
from tanagerbend_membership.senders import Senders

FANOUT: Final = 4
UPDATE_TIMEOUT_SECONDS: Final = 1.0
# Changes that arrive within this time are forwarded in one message.
BATCH_SECONDS: Final = 0.1
MAX_FORWARDED: Final = 32


class Notifier:
    """Sends changed records to a few members and to senders of calls.

    Explanation
    ===========

    A daemon that drains or stops informs all daemons that recently sent
    it calls.  Each receiver forwards the change once, so that it reaches
    the fleet within a few rounds of messages.  Other changes wait for the
    next sync, because a restart of the whole fleet would flood it with
    updates.

    Parameters
    ==========

    roster : Roster
    transport : PeerTransport
    random : Randomness
    """

    def __init__(
        self,
        roster: Roster,
        transport: PeerTransport,
        random: Randomness,
    ) -> None:
        self.roster = roster
        self.transport = transport
        self.random = random
        self.timer = roster.timer
        self.senders = Senders(self.timer)
        self.pending_departures: dict[str, Member] = {}
        self.task: asyncio.Task[None] | None = None

    async def announce_state(self, state: MemberState) -> Member:
        """Change the state of this daemon; inform members and senders."""
        own = self.roster.set_own_state(state)
        await self.notify((own,), self._sender_addresses())
        return own

    def _sender_addresses(self) -> set[str]:
        recent = set(self.senders.recent())
        return {
            member.peer_address
            for member in self.roster.reachable()
            if not recent.isdisjoint(
                (member.host, member.call_address, member.peer_address),
            )
        }

    async def notify(
        self,
        records: tuple[Member, ...],
        extra_targets: Iterable[str] = (),
    ) -> None:
        """Send records to a few random members and to extra addresses."""
        reachable = self.roster.reachable()
        chosen = self.random.sample(reachable, min(FANOUT, len(reachable)))
        targets = {member.peer_address for member in chosen}.union(
            extra_targets
        )
        await asyncio.gather(
            *(
                self.transport.request(
                    target,
                    Update(records),
                    UPDATE_TIMEOUT_SECONDS,
                )
                for target in sorted(targets)
            ),
        )

    def forward_departures(self, changes: Iterable[Change]) -> None:
        """Forward the changes of members that are leaving, once each."""
        for change in changes:
            member = change.after
            if (
                _is_departure(change)
                and len(self.pending_departures) < MAX_FORWARDED
            ):
                self.pending_departures[member.host] = member
        if self.pending_departures and (self.task is None or self.task.done()):
            self.task = asyncio.create_task(self._forward_pending())

    async def _forward_pending(self) -> None:
        while self.pending_departures:
            await self.timer.sleep(BATCH_SECONDS)
            records = tuple(self.pending_departures.values())
            self.pending_departures.clear()
            await self.notify(records)

    async def close(self) -> None:
        """Stop forwarding records."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)


def _is_departure(change: Change) -> bool:
    before, after = change.before, change.after
    if before is None or after.state is MemberState.SUSPECTED:
        return False
    is_from_member = before.sequence < after.sequence
    is_leaving = after.state in {MemberState.DRAINING, MemberState.GONE}
    return is_leaving and is_from_member
