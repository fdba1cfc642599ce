"""Structured log lines to standard output that never block.

Each line is one JSON object: a decision that touches a request, or a
change of what the daemon believes.
"""

import json
import os
import sys
from collections.abc import Iterable
from typing import Any, Final

import logbook

from tanagerbend_metrics import Recorder

# Lines of one event in one second, and requests that end in one way; the
# rest is counted.
LINES_PER_SECOND: Final = 20
# A smaller change of the time of day is the ordinary slewing of a clock.
CLOCK_STEP_SECONDS: Final = 0.5
Fields = dict[str, Any]


class PipeHandler(logbook.Handler):
    """Writes lines to a descriptor, or drops and counts them.

    Parameters
    ==========

    descriptor : int
        Is made non-blocking.
    recorder : Recorder
    """

    def __init__(self, descriptor: int, recorder: Recorder) -> None:
        super().__init__(level=logbook.INFO)
        self.descriptor = descriptor
        self.recorder = recorder
        os.set_blocking(descriptor, False)  # noqa: FBT003

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one line, whole or not at all."""
        line = record.extra.get('line') or json.dumps(
            {'event': 'library', 'reason': record.message},
        )
        raw = f'{line}\n'.encode()
        try:
            written = os.write(self.descriptor, raw)
        except (BlockingIOError, BrokenPipeError):
            self.recorder.count('log_lines_dropped')
            return
        if written < len(raw):
            self.recorder.count('log_lines_cut')


class DecisionLog:
    """Writes the decisions of one daemon.

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
        self.second: dict[str, int] = {}
        self.written: dict[str, int] = {}
        self.left_out: dict[str, int] = {}
        self.clock_offset = self.timer.wall() - self.timer.now()

    def open(self) -> None:
        """Send the lines to standard output."""
        handler = PipeHandler(sys.stdout.fileno(), self.recorder)
        handler.push_application()

    def paused(self, seconds: float) -> None:
        """Note that this process did not run for a while."""
        self.write('daemon_paused', seconds=round(seconds, 3))

    async def check_clock(self) -> None:
        """Note a step of the time of day; called periodically."""
        offset = self.timer.wall() - self.timer.now()
        step = offset - self.clock_offset
        if abs(step) >= CLOCK_STEP_SECONDS:
            self.clock_offset = offset
            self.write('clock_stepped', seconds=round(step, 3))

    def request(self, kind: str, lines: Iterable[Fields]) -> None:
        """Write all lines of a request that has ended, or none.

        ``kind`` names how it ended; each kind has its own limit, so that
        a flood of one does not hide the others.
        """
        if self._admit(kind, self.timer.now()):
            for line in lines:
                self._write(kind, line)

    def line(self, event: str, fields: Fields) -> Fields:
        """Return a line as of now."""
        return {
            'time': round(self.timer.wall(), 3),
            'steady': round(self.timer.now(), 3),
            'host': self.host,
            'event': event,
            **fields,
        }

    def write(self, event: str, **fields: Any) -> None:
        """Write one line, unless the event repeats too often."""
        if self._admit(event, self.timer.now()):
            self._write(event, self.line(event, fields))

    def _write(self, kind: str, line: Fields) -> None:
        left_out = self.left_out.pop(kind, 0)
        if left_out:
            line['left_out'] = left_out
        self.logger.info(line['event'], extra={'line': json.dumps(line)})

    def _admit(self, kind: str, now: float) -> bool:
        second = int(now)
        if self.second.get(kind) != second:
            self.second[kind] = second
            self.written[kind] = 0
        self.written[kind] += 1
        if self.written[kind] <= LINES_PER_SECOND:
            return True
        self.left_out[kind] = self.left_out.get(kind, 0) + 1
        self.recorder.count('log_lines_left_out', kind)
        return False
