"""Watch for signs that the backend server beside is leaving."""

import asyncio
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Final

import attrs

from tanagerbend_daemon.drain import Drain
from tanagerbend_interfaces import (
    BackendRequest,
    BackendResponse,
    BackendServer,
    Member,
    MemberState,
    PeerTransport,
    Update,
)
from tanagerbend_membership import Roster

# Two periods and a probe stay within the 3 s in which new work must stop.
CHECK_SECONDS: Final = 1.0
PROBE_SECONDS: Final = 0.8
HINT_SEQUENCE: Final = 0
REPEAT_SECONDS: Final = 10.0
# A hint holds for three repetitions, since some may be lost.
HINT_SECONDS: Final = 35.0


class LeavingHints:
    """Readers tell a host that the host list says it is leaving.

    Explanation
    ===========

    Only readers watch the host list.  A hint is the receiver's own record
    with the state ``DRAINING`` and the sequence 0, so that it changes no
    roster and differs from an echo of the receiver's own announcement.

    Parameters
    ==========

    roster : Roster
    transport : PeerTransport
    """

    def __init__(self, roster: Roster, transport: PeerTransport) -> None:
        self.roster = roster
        self.timer = roster.timer
        self.transport = transport
        self.taken = float('-inf')
        self.told: dict[str, float] = {}

    @property
    def is_leaving(self) -> bool:
        """Whether a reader gave a hint a short time ago."""
        return self.timer.now() - self.taken < HINT_SECONDS

    def take(self, members: Iterable[Member]) -> None:
        """Note a hint among the records of an update."""
        own = self.roster.own
        for member in members:
            if (member.host, member.incarnation) == (own.host, own.incarnation):
                if member.sequence == HINT_SEQUENCE:
                    self.taken = self.timer.now()

    async def tell(self) -> None:
        """Send hints to the listed hosts that are leaving."""
        now = self.timer.now()
        leaving = {
            host.host for host in self.roster.listed.values() if host.leaving
        }
        members = [
            member for member in self.roster.others() if member.host in leaving
        ]
        due = [
            member
            for member in members
            if now - self.told.get(member.host, float('-inf')) >= REPEAT_SECONDS
        ]
        self.told = {
            host: when for host, when in self.told.items() if host in leaving
        }
        self.told.update((member.host, now) for member in due)
        await asyncio.gather(*(self._tell(member) for member in due))

    async def _tell(self, member: Member) -> None:
        hint = attrs.evolve(
            member,
            state=MemberState.DRAINING,
            sequence=HINT_SEQUENCE,
        )
        await self.transport.request(
            member.peer_address,
            Update((hint,)),
            PROBE_SECONDS,
        )


@attrs.define
class LeavingWatch:
    """Drains the instance while the list or the server says it leaves.

    Parameters
    ==========

    drain : Drain
    roster : Roster
    backend : BackendServer
    hints : LeavingHints
    is_reader : callable
        Whether this daemon watches the host list.
    ready_path : str
        Answered with status 503 while the backend server drains; empty if
        it reports no readiness.
    """

    drain: Drain
    roster: Roster
    backend: BackendServer
    hints: LeavingHints
    is_reader: Callable[[], bool]
    ready_path: str = ''

    async def check(self) -> None:
        """Look at the host list and at the readiness once."""
        listed = self.roster.listed.get(self.roster.own_host)
        is_listed = listed is not None and listed.leaving
        is_leaving = is_listed or self.hints.is_leaving
        await self._note('host list', is_leaving=is_leaving)
        if self.is_reader():
            await self.hints.tell()
        if self.ready_path:
            await self._probe()

    async def _probe(self) -> None:
        response = await self.backend.exchange(
            BackendRequest('GET', self.ready_path, (), b'', 'readiness'),
            self.roster.timer.now() + PROBE_SECONDS,
        )
        match response:
            case BackendResponse(status=status, chunks=chunks):
                await chunks.aclose()
                unavailable = HTTPStatus.SERVICE_UNAVAILABLE
                await self._note('readiness', is_leaving=status == unavailable)

    async def _note(self, reason: str, *, is_leaving: bool) -> None:
        if is_leaving:
            await self.drain.drain(reason)
        else:
            await self.drain.undrain(reason)
