"""Detection that the local backend server is about to leave."""

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

# New work must stop within 3 s, which allows for two periods and a probe.
CHECK_SECONDS: Final = 1.0
PROBE_SECONDS: Final = 0.8
HINT_SEQUENCE: Final = 0
HINT_REPEAT_SECONDS: Final = 10.0
# A hint is valid for three repetitions, since some may be lost.
HINT_VALID_SECONDS: Final = 35.0


class LeavingHints:
    """Hints that a host is leaving, sent by readers of the host list.

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
        self.hint_received_at = float('-inf')
        self.last_sent_at: dict[str, float] = {}

    @property
    def is_leaving(self) -> bool:
        """Whether a valid hint was received from a reader."""
        return self.timer.now() - self.hint_received_at < HINT_VALID_SECONDS

    def receive(self, members: Iterable[Member]) -> None:
        """Record a hint, if the records of an update contain one."""
        own = self.roster.own
        for member in members:
            if (member.host, member.incarnation) == (own.host, own.incarnation):
                if member.sequence == HINT_SEQUENCE:
                    self.hint_received_at = self.timer.now()

    async def send_hints(self) -> None:
        """Send hints to the hosts that are listed as leaving."""
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
            if now - self.last_sent_at.get(member.host, float('-inf'))
            >= HINT_REPEAT_SECONDS
        ]
        self.last_sent_at = {
            host: when
            for host, when in self.last_sent_at.items()
            if host in leaving
        }
        self.last_sent_at.update((member.host, now) for member in due)
        await asyncio.gather(*(self._send_hint(member) for member in due))

    async def _send_hint(self, member: Member) -> None:
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
    """Drains the instance while the host list or the server marks it leaving.

    Parameters
    ==========

    drain : Drain
    roster : Roster
    backend : BackendServer
    hints : LeavingHints
    is_reader : callable
        Whether this daemon watches the host list.
    ready_path : str
        Path of the readiness probe, which the backend server answers with
        status 503 while it drains; empty if it reports no readiness.
    """

    drain: Drain
    roster: Roster
    backend: BackendServer
    hints: LeavingHints
    is_reader: Callable[[], bool]
    ready_path: str = ''

    async def check(self) -> None:
        """Check the host list and the readiness once."""
        listed = self.roster.listed.get(self.roster.own_host)
        is_listed = listed is not None and listed.leaving
        is_leaving = is_listed or self.hints.is_leaving
        await self._set_leaving('host list', is_leaving=is_leaving)
        if self.is_reader():
            await self.hints.send_hints()
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
                await self._set_leaving(
                    'readiness', is_leaving=status == unavailable
                )

    async def _set_leaving(self, reason: str, *, is_leaving: bool) -> None:
        if is_leaving:
            await self.drain.drain(reason)
        else:
            await self.drain.undrain(reason)
