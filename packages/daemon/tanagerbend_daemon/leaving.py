"""Watch for signs that the backend server beside is leaving."""

from http import HTTPStatus
from typing import Final

import attrs

from tanagerbend_daemon.drain import Drain
from tanagerbend_interfaces import (
    BackendRequest,
    BackendResponse,
    BackendServer,
)
from tanagerbend_membership import Roster

# Two periods and a probe stay within the 3 s in which new work must stop.
CHECK_SECONDS: Final = 1.0
PROBE_SECONDS: Final = 0.8


@attrs.define
class LeavingWatch:
    """Drains the instance while the list or the server says it leaves.

    Parameters
    ==========

    drain : Drain
    roster : Roster
    backend : BackendServer
    ready_path : str
        Answered with status 503 while the backend server drains; empty if
        it reports no readiness.
    """

    drain: Drain
    roster: Roster
    backend: BackendServer
    ready_path: str = ''

    async def check(self) -> None:
        """Look at the host list and at the readiness once."""
        listed = self.roster.listed.get(self.roster.own_host)
        is_leaving = listed is not None and listed.leaving
        await self._note('host list', is_leaving=is_leaving)
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
