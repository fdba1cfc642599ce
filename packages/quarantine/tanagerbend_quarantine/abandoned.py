"""Detection of crashes that only abandoned requests may have caused."""

import asyncio
import enum
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import attrs

from tanagerbend_quarantine.flights import InFlightRequest, InFlightRequests

# Delay before another connection is opened to an instance that closed one;
# an instance that is full closes each at once.
REOPEN_SECONDS: Final = 0.25


class ProcessState(enum.Enum):
    """What a connection tells about the process at its other end."""

    RUNNING = 'the connection is open'
    UNKNOWN = 'the connection ended, or none could be opened'


class InstanceProcess(Protocol):
    """Connection to an instance, apart from those of its requests."""

    async def wait(self, seconds: float) -> ProcessState:
        """Wait until the connection ends, at most ``seconds``."""

    async def is_down(self) -> bool:
        """Return whether the instance refuses a connection."""

    def close(self) -> None:
        """Close the connection."""


@attrs.define(eq=False)
class AbandonedWatch:
    """Watches an instance while it may be working on abandoned requests.

    Explanation
    ===========

    Nobody waits for the answer to an abandoned request, and its connection
    is closed, so its loss can't show that the instance crashed.  Another
    connection does, whatever ended the wait: the caller left, a time limit
    passed, or the daemon that sent the request ended.

    Parameters
    ==========

    in_flight : InFlightRequests
    process : InstanceProcess
    check_for_crash : callable
        Records a crash if the instance crashed.
    on_survived : callable
        Called with the requests that the instance outlived.
    on_error : callable
        Called with an unexpected exception, which ends the watch.
    """

    in_flight: InFlightRequests
    process: InstanceProcess
    check_for_crash: Callable[[], Awaitable[None]]
    on_survived: Callable[[list[InFlightRequest]], None]
    on_error: Callable[[BaseException], None]
    task: 'asyncio.Task[None] | None' = None

    def begin(self) -> None:
        """Watch the instance until it has outlived the abandoned requests."""
        if self.task is None:
            self.task = asyncio.create_task(self._run())
            self.task.add_done_callback(self._report_error)

    def close(self) -> None:
        """End the watch and close its connection."""
        if self.task is not None:
            self.task.cancel()
        self.process.close()

    async def _run(self) -> None:
        try:
            while self.in_flight.recently_abandoned:
                await self._watch_once()
        finally:
            # A request that is abandoned from now on begins another watch.
            self.task = None

    async def _watch_once(self) -> None:
        seconds = self.in_flight.seconds_to_watch()
        match await self.process.wait(seconds):
            case ProcessState.RUNNING:
                self.on_survived(self.in_flight.remove_survived())
            case ProcessState.UNKNOWN:
                await self.check_for_crash()
                self.in_flight.stop_watching()
                self.in_flight.remove_survived()
                await self.in_flight.timer.sleep(REOPEN_SECONDS)

    def _report_error(self, task: 'asyncio.Task[None]') -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.in_flight.recently_abandoned.clear()
            self.on_error(error)
