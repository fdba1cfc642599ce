"""Structured log lines on standard output that never block the daemon.

Each line is a JSON object that describes a decision on a request or a
change in the state of the daemon.
"""

import json
import os
import sys
from collections.abc import Iterable
from typing import Any, Final

import logbook

from tanagerbend_metrics import Recorder

# Limit for the lines of one event, and for the requests that end in one way;
# the lines left out are counted.
LINES_PER_SECOND: Final = 20
# A smaller change of the wall clock is taken for ordinary slewing.
CLOCK_STEP_SECONDS: Final = 0.5
Fields = dict[str, Any]


class PipeHandler(logbook.Handler):
    """Writes lines to a file descriptor, or drops and counts them.

    Parameters
    ==========

    descriptor : int
        Set to non-blocking mode.
    recorder : Recorder
    """

    def __init__(self, descriptor: int, recorder: Recorder) -> None:
        super().__init__(level=logbook.INFO)
        self.descriptor = descriptor
        self.recorder = recorder
        os.set_blocking(descriptor, False)  # noqa: FBT003

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one line; count a line that is dropped or cut off."""
        line = record.extra.get('line') or json.dumps(
            {'event': 'library', 'reason': record.message},
        )
        encoded = f'{line}\n'.encode()
        try:
            written = os.write(self.descriptor, encoded)
        except (BlockingIOError, BrokenPipeError):
            self.recorder.count('log_lines_dropped')
            return
        if written < len(encoded):
            self.recorder.count('log_lines_cut')


class DecisionLog:
    """Log of the decisions of one daemon.

    Parameters
    ==========

    host : str
    recorder : Recorder
    """

    def __init__(self, host: str, recorder: Recorder) -> None:
        self.host = host
        self.recorder = recorder
        self.timer = recorder.timer
        self.logger = logbook.Logger('tanagerbend')
        self.current_second: dict[str, int] = {}
        self.written_lines: dict[str, int] = {}
        self.left_out: dict[str, int] = {}
        self.clock_offset = self.timer.wall() - self.timer.now()

    def open(self) -> None:
        """Direct the lines to standard output."""
        handler = PipeHandler(sys.stdout.fileno(), self.recorder)
        handler.push_application()

    def paused(self, seconds: float) -> None:
        """Log that this process did not run for some seconds."""
        self.write('daemon_paused', seconds=round(seconds, 3))

    async def check_clock(self) -> None:
        """Log a step of the wall clock; called periodically."""
        offset = self.timer.wall() - self.timer.now()
        step = offset - self.clock_offset
        if abs(step) >= CLOCK_STEP_SECONDS:
            self.clock_offset = offset
            self.write('clock_stepped', seconds=round(step, 3))

    def request(self, kind: str, lines: Iterable[Fields]) -> None:
        """Write all lines of a finished request, or none.

        ``kind`` names how it ended.  Each kind has its own limit, so that a
        flood of one doesn't hide the others.
        """
        if self._is_within_limit(kind, self.timer.now()):
            for line in lines:
                self._write(kind, line)

    def line(self, event: str, fields: Fields) -> Fields:
        """Return the fields of a line with the current time."""
        return {
            'time': round(self.timer.wall(), 3),
            'steady': round(self.timer.now(), 3),
            'host': self.host,
            'event': event,
            **fields,
        }

    def write(self, event: str, **fields: Any) -> None:
        """Write one line, unless the event exceeds its limit."""
        if self._is_within_limit(event, self.timer.now()):
            self._write(event, self.line(event, fields))

    def _write(self, kind: str, line: Fields) -> None:
        left_out = self.left_out.pop(kind, 0)
        if left_out:
            line['left_out'] = left_out
        self.logger.info(line['event'], extra={'line': json.dumps(line)})

    def _is_within_limit(self, kind: str, now: float) -> bool:
        second = int(now)
        if self.current_second.get(kind) != second:
            self.current_second[kind] = second
            self.written_lines[kind] = 0
        self.written_lines[kind] += 1
        if self.written_lines[kind] <= LINES_PER_SECOND:
            return True
        self.left_out[kind] = self.left_out.get(kind, 0) + 1
        self.recorder.count('log_lines_left_out', kind)
        return False
