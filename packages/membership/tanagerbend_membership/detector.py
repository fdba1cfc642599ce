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
from tanagerbend_membership.roster import Roster
from tanagerbend_metrics import Recorder

PING_TIMEOUT_SECONDS: Final = 0.5
INDIRECT_TIMEOUT_SECONDS: Final = 1.2
INDIRECT_PINGS: Final = 3
CLAIM_FANOUT: Final = 4


@attrs.define
class Detector:
    """Pings one random member a round and claims unreachable ones.

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

    async def round(self) -> None:
        """Ping one member; suspect it if nobody reaches it."""
        others = self.roster.others()
        if not others:
            return
        member = self.random.choice(others)
        if await self.is_reachable(member):
            return
        claim = self.roster.suspect(member.host)
        if claim is not None:
            await self.notify((claim,))

    async def is_reachable(self, member: Member) -> bool:
        """Ping a member directly, then through others."""
        self.recorder.count('pings')
        if await self.ping(member):
            return True
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
            case Pong(host=host):
                await self._report_claim(member)
                return host == member.host
        return False

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

    async def notify(self, records: tuple[Member, ...]) -> None:
        """Send records to a few random members."""
        reachable = self.roster.reachable()
        targets = self.random.sample(
            reachable,
            min(CLAIM_FANOUT, len(reachable)),
        )
        await asyncio.gather(
            *(
                self.transport.request(
                    target.peer_address,
                    Update(records),
                    PING_TIMEOUT_SECONDS,
                )
                for target in targets
            ),
        )
