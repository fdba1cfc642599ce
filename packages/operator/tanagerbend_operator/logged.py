"""Log lines of daemons on a platform, read from files."""

import functools
import json
import pathlib
from collections.abc import Iterable
from typing import Any, Final

import attrs

# Fields that every line has; the others depend on the event.
COMMON: Final = ('time', 'host', 'event')
STARTED: Final = 'daemon_started'


@attrs.frozen
class LogLine:
    """One line of a daemon.

    Parameters
    ==========

    time : float
        Seconds since the epoch by the clock of the host.
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
        """Identifier of the request that the line is about, or empty."""
        return str(self.fields.get('request', ''))

    @property
    def route(self) -> str:
        """Route of the request, or empty."""
        return str(self.fields.get('route', ''))


@attrs.frozen(slots=False)
class Logs:
    """Lines of many daemons in the order of their time.

    Parameters
    ==========

    lines : tuple of LogLine
    unreadable : int
        Lines that look like JSON and are not of a daemon.
    """

    lines: tuple[LogLine, ...]
    unreadable: int = 0

    @functools.cached_property
    def requests(self) -> dict[str, list[LogLine]]:
        """Lines by the identifier of their request."""
        found: dict[str, list[LogLine]] = {}
        for line in self.lines:
            if line.request:
                found.setdefault(line.request, []).append(line)
        return found

    @functools.cached_property
    def hosts(self) -> dict[str, list[LogLine]]:
        """Lines without a request by their host."""
        found: dict[str, list[LogLine]] = {}
        for line in self.lines:
            if not line.request:
                found.setdefault(line.host, []).append(line)
        return found

    @functools.cached_property
    def addresses(self) -> dict[str, str]:
        """Names of hosts by their address, as their daemons told it."""
        return {
            str(line.fields.get('address', '')).rpartition(':')[0]: line.host
            for line in self.lines
            if line.event == STARTED
        }

    def of_request(self, identifier: str) -> tuple[LogLine, ...]:
        """Return the lines about a request."""
        return tuple(self.requests.get(identifier, ()))

    def near(self, host: str, time: float, seconds: float) -> list[LogLine]:
        """Return what a host tells around a time, without requests."""
        return [
            line
            for line in self.hosts.get(host, ())
            if abs(line.time - time) <= seconds
        ]

    def host_at(self, address: str) -> str:
        """Return the name of the host with an address, else the address."""
        return self.addresses.get(address, address)


def read_logs(paths: Iterable[pathlib.Path]) -> Logs:
    """Read files with one JSON object a line; text before it is ignored."""
    found = []
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
                found.append(line)
    found.sort(key=lambda line: line.time)
    return Logs(tuple(found), unreadable)


def parse_line(text: str) -> LogLine | None:
    """Return a line, None if it is not of a daemon.

    Examples
    ========

    >>> parse_line('{"time": 7.5, "host": "a", "event": "daemon_stopped"}').host
    'a'
    >>> parse_line('{"time": 7.5') is None
    True
    """
    try:
        fields = json.loads(text)
        time, host, event = (fields[name] for name in COMMON)
        return LogLine(float(time), str(host), str(event), fields)
    except (ValueError, LookupError, TypeError):
        return None
