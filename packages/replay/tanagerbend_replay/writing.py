"""Writes traces as lines of JSON."""

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

EVENT_KINDS: Final = {
    Publication: 'publication',
    HostsEvent: 'hosts',
    FaultEvent: 'fault',
    CallEvent: 'call',
}
# Times are written in microseconds, more exact than calls are timed.
TIME_DIGITS: Final = 6


def event_line(event: Event) -> str:
    """Return an event as a line without the newline.

    Examples
    ========

    >>> event_line(FaultEvent(1.5, FaultKind.SERVICE_LOST))
    '{"kind":"fault","at":1.5,"fault":"service_lost"}'
    """
    fields = attrs.asdict(
        event, filter=_differs_from_default, value_serializer=_json_value
    )
    return _json_line({'kind': EVENT_KINDS[type(event)], **fields})


def header_line(trace: Trace) -> str:
    """Return the first line of a trace without the newline."""
    fields = attrs.asdict(trace)
    fields.pop('events')
    return _json_line({'trace': FORMAT_VERSION, **fields})


def _json_line(fields: dict[str, Any]) -> str:
    return json.dumps(fields, separators=(',', ':'), ensure_ascii=False)


def _differs_from_default(field: attrs.Attribute, value: Any) -> bool:
    return value != field.default


def _json_value(_event: Any, _field: attrs.Attribute, value: Any) -> Any:
    match value:
        case FaultKind():
            return value.value
        case float():
            return round(value, TIME_DIGITS)
    return value


@attrs.define
class TraceWriter:
    """Collects the events of a run and writes them in order.

    Parameters
    ==========

    trace : Trace
        Header fields of the trace; its events are ignored.
    """

    trace: Trace
    events: list[Event] = attrs.field(factory=list)

    def add(self, event: Event) -> None:
        """Add an event, in any order of time."""
        self.events.append(event)

    def text(self) -> str:
        """Return the text of the trace, sorted by time."""
        ordered = sorted(self.events, key=lambda event: event.at)
        lines = [header_line(self.trace), *map(event_line, ordered)]
        return ''.join(f'{line}\n' for line in lines)
