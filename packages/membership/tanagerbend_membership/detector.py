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
    """Pings one random member a round and claims unreachable ones.

    Explanation
    ===========

    Gone members are pinged as well: after a long partition each side
    holds the other one as gone, and nothing else would contact it.

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
    pauses: int = 0
    notifier: Notifier = attrs.field()

    @notifier.default
    def _make_notifier(self) -> Notifier:
        return Notifier(self.roster, self.transport, self.random)

    def paused(self, _gap: float) -> None:
        """Drop the outcome of pings that were under way in a pause."""
        self.pauses += 1

    async def round(self) -> None:
        """Ping one member; suspect it if nobody reaches it."""
        known = self.roster.known()
        if not known:
            return
        member = self.random.choice(known)
        pauses = self.pauses
        self.recorder.count('pings')
        if await self.ping(member) or member.is_claimed:
            return
        if await self._is_reachable_through_others(member):
            return
        if pauses != self.pauses:
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
        helpers = self.random.sample(
            reachable,
            min(INDIRECT_PINGS, len(reachable)),
        )
        answers = await asyncio.gather(
            *(self._ping_through(helper, member) for helper in helpers),
        )
        return any(answers)

    async def ping(self, member: Member) -> bool:
        """Ping a member directly."""
        answer = await self.transport.request(
            member.peer_address,
            Ping(),
            PING_TIMEOUT_SECONDS,
        )
        match answer:
            case Pong(host=host) if host == member.host:
                await self._report_claim(member)
                return True
            case Pong():
                self.recorder.count('pongs_of_other_hosts')
        return False

    async def answer_ping(self, target: str) -> Pong | Refusal:
        """Answer a ping for this daemon or, on behalf of a peer, another."""
        own = self.roster.own
        if target in {'', own.host}:
            return Pong(own.host, own.incarnation)
        member = self.roster.members.get(target)
        if member is None or not await self.ping(member):
            reason = f'{target} does not answer'
            return Refusal(ResultCode.PEER_UNREACHABLE, reason)
        return Pong(member.host, member.incarnation)

    async def _ping_through(self, helper: Member, member: Member) -> bool:
        answer = await self.transport.request(
            helper.peer_address,
            Ping(member.host),
            INDIRECT_TIMEOUT_SECONDS,
        )
        match answer:
            case Pong(host=host):
                return host == member.host
        return False

    async def _report_claim(self, member: Member) -> None:
        held = self.roster.members.get(member.host)
        if held is not None and held.is_claimed:
            # The member answers, so it has to learn of the claim to be
            # able to refute it.
            await self.transport.request(
                member.peer_address,
                Update((held,)),
                PING_TIMEOUT_SECONDS,
            )
