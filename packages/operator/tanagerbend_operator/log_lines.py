"""Log lines of daemons on a platform, read from files."""

import functools
import json
import pathlib
from collections.abc import Iterable
from typing import Any, Final

import attrs

# The other fields depend on the event.
REQUIRED_FIELDS: Final = ('time', 'host', 'event')
STARTED_EVENT: Final = 'daemon_started'


@attrs.frozen
class LogLine:
    """One log line of a daemon.

    Parameters
    ==========

    time : float
        Epoch seconds by the clock of the host.
    host, event : str
    fields : dict
        All fields of the line.
    """

    time: float
    host: str
    event: str
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """Identifier of the request that the line refers to, or empty."""
        return str(self.fields.get('request', ''))

    @property
    def route(self) -> str:
        """Route of the request, or empty."""
        return str(self.fields.get('route', ''))


@attrs.frozen(slots=False)
class Logs:
    """Log lines of several daemons, sorted by time.

    Parameters
    ==========

    lines : tuple of LogLine
    unreadable : int
        Number of lines with a ``{`` that are not log lines of a daemon.
    """

    lines: tuple[LogLine, ...]
    unreadable: int = 0

    @functools.cached_property
    def lines_by_request(self) -> dict[str, list[LogLine]]:
        """Lines that refer to a request, by its identifier."""
        grouped: dict[str, list[LogLine]] = {}
        for line in self.lines:
            if line.request:
                grouped.setdefault(line.request, []).append(line)
        return grouped

    @functools.cached_property
    def host_lines_by_host(self) -> dict[str, list[LogLine]]:
        """Lines that refer to no request, by host."""
        grouped: dict[str, list[LogLine]] = {}
        for line in self.lines:
            if not line.request:
                grouped.setdefault(line.host, []).append(line)
        return grouped

    @functools.cached_property
    def host_by_address(self) -> dict[str, str]:
        """Host names by the IP address that each daemon logged at its start."""
        return {
            str(line.fields.get('address', '')).rpartition(':')[0]: line.host
            for line in self.lines
            if line.event == STARTED_EVENT
        }

    def lines_of_request(self, identifier: str) -> tuple[LogLine, ...]:
        """Return the lines that refer to a request."""
        return tuple(self.lines_by_request.get(identifier, ()))

    def host_lines_near(
        self, host: str, time: float, seconds: float
    ) -> list[LogLine]:
        """Return the lines of a host around a time that refer to no request."""
        return [
            line
            for line in self.host_lines_by_host.get(host, ())
            if abs(line.time - time) <= seconds
        ]

    def host_name_at(self, address: str) -> str:
        """Return the name of the host with an IP address, else the address."""
        return self.host_by_address.get(address, address)


def read_logs(paths: Iterable[pathlib.Path]) -> Logs:
    """Read files with one JSON object per line; text before it is ignored."""
    lines = []
    unreadable = 0
    for path in paths:
        for text in path.read_text(errors='replace').splitlines():
            begin = text.find('{')
            if begin < 0:
                continue
            line = parse_line(text[begin:])
            if line is None:
                unreadable += 1
            else:
                lines.append(line)
    lines.sort(key=lambda line: line.time)
    return Logs(tuple(lines), unreadable)


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if it is not one of a daemon.

    Examples
    ========

    >>> parse_line('{"time": 7.5, "host": "a", "event": "daemon_stopped"}').host
    'a'
    >>> parse_line('{"time": 7.5') is None
    True
    """
    try:
        fields = json.loads(text)
        time, host, event = (fields[name] for name in REQUIRED_FIELDS)
        return LogLine(float(time), str(host), str(event), fields)
    except (ValueError, LookupError, TypeError):
        return None
