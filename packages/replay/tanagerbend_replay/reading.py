"""Reads traces and checks each line."""

import json
import pathlib
from typing import Any, Final

import attrs

from tanagerbend_replay.events import (
    DEFAULT_SLOTS,
    FORMAT_VERSION,
    CallEvent,
    Event,
    FaultEvent,
    FaultKind,
    HostsEvent,
    Instance,
    Publication,
    Trace,
    TraceError,
)

EVENT_CLASSES: Final = {
    'publication': Publication,
    'hosts': HostsEvent,
    'fault': FaultEvent,
    'call': CallEvent,
}
FIELD_CONVERSIONS: Final = {
    'at': float,
    'hosts': tuple,
    'leaving': tuple,
    'fault': FaultKind,
}


def load_trace(path: pathlib.Path) -> Trace | TraceError:
    """Read a trace from a file."""
    try:
        return read_trace(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        return TraceError(0, str(error))


def read_trace(text: str) -> Trace | TraceError:
    """Read a trace from its text.

    Examples
    ========

    >>> read_trace('{"trace":9}')
    TraceError(line=1, reason='version 9 of the format, expected 1')
    """
    trace: Trace | None = None
    events: list[Event] = []
    for number, line in enumerate(text.splitlines(), start=1):
        try:
            fields = json.loads(line)
            if trace is None:
                trace = _parse_header(fields)
            else:
                events.append(_parse_event(fields, events))
        except (ValueError, TypeError, KeyError) as error:
            return TraceError(number, _error_reason(error))
    if trace is None:
        return TraceError(1, 'the trace is empty')
    return attrs.evolve(trace, events=tuple(events))


def _error_reason(error: Exception) -> str:
    match error:
        case KeyError():
            return f'{error} is missing'
    return str(error)


def _parse_header(fields: dict[str, Any]) -> Trace:
    version = fields['trace']
    if version != FORMAT_VERSION:
        reason = f'version {version} of the format, expected {FORMAT_VERSION}'
        raise ValueError(reason)
    return Trace(
        deployment=str(fields['deployment']),
        origin=str(fields['origin']),
        instances=tuple(Instance(**entry) for entry in fields['instances']),
        slots=int(fields.get('slots', DEFAULT_SLOTS)),
        events=(),
    )


def _parse_event(fields: dict[str, Any], earlier: list[Event]) -> Event:
    event = _build_event(fields.pop('kind'), fields)
    if earlier and event.at < earlier[-1].at:
        raise ValueError('the event is earlier than the one before')
    return event


def _build_event(kind: str, fields: dict[str, Any]) -> Event:
    if kind not in EVENT_CLASSES:
        raise ValueError(f'kind {kind!r} is unknown')
    converted = {
        name: FIELD_CONVERSIONS[name](fields[name])
        for name in FIELD_CONVERSIONS.keys() & fields.keys()
    }
    return EVENT_CLASSES[kind](**{**fields, **converted})
