"""Structured log lines to standard output that never block.

Each line is one JSON object: a decision that touches a request, or a
change of what the daemon believes.
"""

import collections
import json
import os
import sys
from typing import Any, Final

import logbook

from tanagerbend_metrics import Recorder

# Lines of one event in one second, and requests that begin to have lines
# in one second; the rest is counted.
LINES_PER_SECOND: Final = 20
# Requests of which it is remembered whether they have lines; more than a
# host has at once.
REQUESTS_REMEMBERED: Final = 2000
# A smaller change of the time of day is the ordinary slewing of a clock.
CLOCK_STEP_SECONDS: Final = 0.5
# Budget of the requests that begin to have lines.
REQUESTS: Final = 'requests'


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
        self.shown: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )
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

    def request(self, event: str, identifier: str, **inputs: Any) -> None:
        """Write a decision about a request.

        A request has all of its lines or none.
        """
        now = self.timer.now()
        if identifier not in self.shown:
            self.shown[identifier] = self._admit(REQUESTS, now)
            if len(self.shown) > REQUESTS_REMEMBERED:
                self.shown.popitem(last=False)
        if self.shown[identifier]:
            self._write(event, REQUESTS, {'request': identifier, **inputs})

    def write(self, event: str, **fields: Any) -> None:
        """Write one line, unless the event repeats too often."""
        if self._admit(event, self.timer.now()):
            self._write(event, event, fields)

    def _write(self, event: str, budget: str, fields: dict[str, Any]) -> None:
        left_out = self.left_out.pop(budget, 0)
        line = {
            'time': round(self.timer.wall(), 3),
            'steady': round(self.timer.now(), 3),
            'host': self.host,
            'event': event,
            **fields,
        }
        if left_out:
            line['left_out'] = left_out
        self.logger.info(event, extra={'line': json.dumps(line)})

    def _admit(self, budget: str, now: float) -> bool:
        second = int(now)
        if self.second.get(budget) != second:
            self.second[budget] = second
            self.written[budget] = 0
        self.written[budget] += 1
        if self.written[budget] <= LINES_PER_SECOND:
            return True
        self.left_out[budget] = self.left_out.get(budget, 0) + 1
        self.recorder.count('log_lines_left_out', budget)
        return False
