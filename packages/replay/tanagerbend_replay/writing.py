"""Traces as lines of JSON."""

import json
from typing import Any, Final

import attrs

from tanagerbend_replay.events import (
    FORMAT_VERSION,
    CallEvent,
    Event,
    FaultEvent,
    FaultKind,
    HostsEvent,
    Publication,
    Trace,
)

KINDS: Final = {
    Publication: 'publication',
    HostsEvent: 'hosts',
    FaultEvent: 'fault',
    CallEvent: 'call',
}
# Microseconds: finer than the arrival of a call can be observed.
DIGITS: Final = 6


def event_line(event: Event) -> str:
    """Return one event as a line without its end.

    Examples
    ========

    >>> event_line(FaultEvent(1.5, FaultKind.SERVICE_LOST))
    '{"kind":"fault","at":1.5,"fault":"service_lost"}'
    """
    fields = attrs.asdict(event, filter=_is_written, value_serializer=_plain)
    return _line({'kind': KINDS[type(event)], **fields})


def header_line(trace: Trace) -> str:
    """Return the first line of a trace without its end."""
    fields = attrs.asdict(trace)
    fields.pop('events')
    return _line({'trace': FORMAT_VERSION, **fields})


def _line(fields: dict[str, Any]) -> str:
    return json.dumps(fields, separators=(',', ':'), ensure_ascii=False)


def _is_written(field: attrs.Attribute, found: Any) -> bool:
    return found != field.default


def _plain(_event: Any, _field: attrs.Attribute, found: Any) -> Any:
    match found:
        case FaultKind():
            return found.value
        case float():
            return round(found, DIGITS)
    return found


@attrs.define
class TraceWriter:
    """Collects the events of a run and writes them in order.

    Parameters
    ==========

    trace : Trace
        Without events.
    """

    trace: Trace
    events: list[Event] = attrs.field(factory=list)

    def add(self, event: Event) -> None:
        """Add an event; the order does not matter."""
        self.events.append(event)

    def text(self) -> str:
        """Return the whole trace."""
        ordered = sorted(self.events, key=lambda event: event.at)
        lines = [header_line(self.trace), *map(event_line, ordered)]
        return ''.join(f'{line}\n' for line in lines)
