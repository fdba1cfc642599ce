"""Structured log lines to standard output that never block.

Each line is one JSON object: a decision that touches a request, or a
change of what the daemon believes.
"""

import json
import os
import sys
from typing import Any, Final

import logbook

from tanagerbend_metrics import Recorder

# Lines of one event in one second; the rest is counted.
LINES_PER_SECOND: Final = 20


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

    def open(self) -> None:
        """Send the lines to standard output."""
        handler = PipeHandler(sys.stdout.fileno(), self.recorder)
        handler.push_application()

    def request(self, event: str, identifier: str, **inputs: Any) -> None:
        """Write a decision about a request."""
        self.write(event, request=identifier, **inputs)

    def write(self, event: str, **fields: Any) -> None:
        """Write one line, unless the event repeats too often."""
        now = self.timer.now()
        if not self._admit(event, now):
            return
        left_out = self.left_out.pop(event, 0)
        line = {
            'time': round(self.timer.wall(), 3),
            'steady': round(now, 3),
            'host': self.host,
            'event': event,
            **fields,
        }
        if left_out:
            line['left_out'] = left_out
        self.logger.info(event, extra={'line': json.dumps(line)})

    def _admit(self, event: str, now: float) -> bool:
        second = int(now)
        if self.second.get(event) != second:
            self.second[event] = second
            self.written[event] = 0
        self.written[event] += 1
        if self.written[event] <= LINES_PER_SECOND:
            return True
        self.left_out[event] = self.left_out.get(event, 0) + 1
        self.recorder.count('log_lines_left_out', event)
        return False
