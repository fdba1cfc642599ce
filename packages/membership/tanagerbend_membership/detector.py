"""Failure detection by direct and indirect pings."""

import asyncio
from typing import Final

import attrs

from tanagerbend_interfaces import (
    Member,
    PeerTransport,
    Ping,
    Pong,
    Randomness,
    Update,
)
from tanagerbend_membership.notifier import Notifier
from tanagerbend_membership.roster import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode

PING_TIMEOUT_SECONDS: Final = 0.5
INDIRECT_TIMEOUT_SECONDS: Final = 1.2
INDIRECT_PINGS: Final = 3


@attrs.define
class Detector:
    """Pings one random member per round and suspects unreachable ones.

    Explanation
    ===========

    Members held as gone are pinged as well: after a long partition each
    side holds the other as gone, and nothing else would contact it.

    Parameters
    ==========

    roster : Roster
    transport : PeerTransport
    random : Randomness
    recorder : Recorder
    """

    roster: Roster
    transport: PeerTransport
    random: Randomness
    recorder: Recorder
    pause_count: int = 0
    notifier: Notifier = attrs.field()

    @notifier.default
    def _make_notifier(self) -> Notifier:
        return Notifier(self.roster, self.transport, self.random)

    def on_pause(self, _gap: float) -> None:
        """Discard the results of pings that were running during a pause."""
        self.pause_count += 1

    async def ping_round(self) -> None:
        """Ping one member; suspect it if no indirect ping reaches it either."""
        known = self.roster.known()
        if not known:
            return
        member = self.random.choice(known)
        pause_count = self.pause_count
        self.recorder.count('pings')
        if await self.ping(member) or member.is_suspected_or_gone:
            return
        if await self._is_reachable_through_others(member):
            return
        if pause_count != self.pause_count:
            return
        claim = self.roster.suspect(member.host)
        if claim is not None:
            await self.notifier.notify((claim,))

    async def _is_reachable_through_others(self, member: Member) -> bool:
        reachable = [
            other
            for other in self.roster.reachable()
            if other.host != member.host
        ]
        relays = self.random.sample(
            reachable,
            min(INDIRECT_PINGS, len(reachable)),
        )
        answers = await asyncio.gather(
            *(self._ping_through(relay, member) for relay in relays),
        )
        return any(answers)

    async def ping(self, member: Member) -> bool:
        """Ping a member directly; return whether it answered."""
        answer = await self.transport.request(
            member.peer_address,
            Ping(),
            PING_TIMEOUT_SECONDS,
        )
        match answer:
            case Pong(host=host) if host == member.host:
                await self._send_claim(member)
                return True
            case Pong():
                self.recorder.count('pongs_of_other_hosts')
        return False

    async def answer_ping(self, target: str) -> Pong | Refusal:
        """Answer a ping, or relay it if its target is another member."""
        own = self.roster.own
        if target in {'', own.host}:
            return Pong(own.host, own.incarnation)
        member = self.roster.members.get(target)
        if member is None or not await self.ping(member):
            reason = f'{target} does not answer'
            return Refusal(ResultCode.PEER_UNREACHABLE, reason)
        return Pong(member.host, member.incarnation)

    async def _ping_through(self, relay: Member, member: Member) -> bool:
        answer = await self.transport.request(
            relay.peer_address,
            Ping(member.host),
            INDIRECT_TIMEOUT_SECONDS,
        )
        match answer:
            case Pong(host=host):
                return host == member.host
        return False

    async def _send_claim(self, member: Member) -> None:
        held = self.roster.members.get(member.host)
        if held is not None and held.is_suspected_or_gone:
            # The member is alive and can refute the claim that it is
            # suspected or gone once it receives that record.
            await self.transport.request(
                member.peer_address,
                Update((held,)),
                PING_TIMEOUT_SECONDS,
            )
