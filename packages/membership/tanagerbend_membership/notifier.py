"""Member records that are sent at once, without waiting for a sync."""

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
# Changes that arrive within this time are passed on in one message.
GATHER_SECONDS: Final = 0.1
MAX_FORWARDED: Final = 32


class Notifier:
    """Sends changed records to a few members and to senders of work.

    Explanation
    ===========

    A daemon that drains or stops tells everyone that sent it work.  Those
    that learn of it pass it on once, so that the fleet knows within a few
    rounds of messages.  Other changes wait for the next sync, because a
    restart of the whole fleet would flood it.

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
        self.leaving: dict[str, Member] = {}
        self.task: asyncio.Task[None] | None = None

    async def announce_state(self, state: MemberState) -> Member:
        """Change the own state and tell members and senders of work."""
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
        also: Iterable[str] = (),
    ) -> None:
        """Send records to a few random members and to given addresses."""
        reachable = self.roster.reachable()
        chosen = self.random.sample(reachable, min(FANOUT, len(reachable)))
        targets = {member.peer_address for member in chosen}.union(also)
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

    def forward(self, changes: Iterable[Change]) -> None:
        """Pass on, once, that members are leaving."""
        for change in changes:
            member = change.after
            if _is_departure(change) and len(self.leaving) < MAX_FORWARDED:
                self.leaving[member.host] = member
        if self.leaving and (self.task is None or self.task.done()):
            self.task = asyncio.create_task(self._forward_gathered())

    async def _forward_gathered(self) -> None:
        while self.leaving:
            await self.timer.sleep(GATHER_SECONDS)
            records = tuple(self.leaving.values())
            self.leaving.clear()
            await self.notify(records)

    async def close(self) -> None:
        """Stop to pass on records."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)


def _is_departure(change: Change) -> bool:
    before, after = change.before, change.after
    if before is None or after.state is MemberState.SUSPECTED:
        return False
    is_own_word = before.sequence < after.sequence
    is_leaving = after.state in {MemberState.DRAINING, MemberState.GONE}
    return is_leaving and is_own_word
