"""Log lines for changes of state, fed by the journal."""

import json
import sys
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, Final, TextIO

import logbook
from logbook.compat import RedirectLoggingHandler
import logging

from tanagerbend_metrics import Entry, Event, Recorder
from tanagerbend_settings import Settings

LINES_PER_WINDOW: Final = 10
WINDOW_SECONDS: Final = 60.0
# Events that operators should look at, logged as warnings; all others
# are logged as information.
WARNINGS: Final = frozenset(
    (
        Event.VERSION_REJECTED,
        Event.VERSION_CONFLICT,
        Event.SERVICE_LOST,
        Event.MEMBER_SUSPECTED,
        Event.INSTANCE_EJECTED,
        Event.REFUSALS_BEGAN,
        Event.FLOOD_BEGAN,
        Event.SHORTAGE_BEGAN,
        Event.REQUEST_CONVICTED,
        Event.ORDER_STARTED_AGAIN,
        Event.PAUSED,
        Event.CONTROL_FAULT,
        Event.OWN_HOST_TAKEN_OVER,
        Event.BOOTSTRAPPED_PROVISIONALLY,
    ),
)
REDACTED: Final = '[secret]'
UNQUOTED_CHARACTERS: Final = frozenset('._-/:,+@')

FieldsFormatter = Callable[[dict[str, Any]], str]


def as_json(fields: dict[str, Any]) -> str:
    """Return fields as one line of JSON."""
    return json.dumps(fields, ensure_ascii=True)


def as_key_values(fields: dict[str, Any]) -> str:
    r"""Return fields as ``key=value``, quoted where needed.

    Examples
    ========

    >>> as_key_values({'event': 'drain_started', 'reason': 'a b\n'})
    'event=drain_started reason="a b\\n"'
    """
    return ' '.join(f'{key}={_quoted(text)}' for key, text in fields.items())


def _quoted(text: Any) -> str:
    string = str(text)
    if string and all(
        character.isalnum() or character in UNQUOTED_CHARACTERS
        for character in string
    ):
        return string if string.isascii() else json.dumps(string)
    return json.dumps(string)


class RateLimit:
    """Admits a bounded number of entries of each event per time window.

    Explanation
    ===========

    When a failure domain is lost, each of its hosts is an event.  The
    journal keeps them all; the log shows the first ones and how many
    were left out.  Memory is bounded by the number of events.

    Examples
    ========

    >>> limit = RateLimit(max_entries=1, window=60.0)
    >>> limit.admit(Entry(0.0, 'member_suspected', 'host-1'))
    0
    >>> limit.admit(Entry(1.0, 'member_suspected', 'host-2')) is None
    True
    >>> limit.admit(Entry(61.0, 'member_suspected', 'host-3'))
    1

    Parameters
    ==========

    max_entries : int
        Entries of one event that are admitted per window.
    window : float
        Seconds.
    """

    def __init__(
        self,
        max_entries: int = LINES_PER_WINDOW,
        window: float = WINDOW_SECONDS,
    ) -> None:
        self.max_entries = max_entries
        self.window = window
        self.window_starts: dict[str, float] = {}
        self.counts: dict[str, int] = {}

    def admit(self, entry: Entry) -> int | None:
        """Count an entry; return None if it is over the limit.

        For an admitted entry, return how many entries of its event were
        left out in the previous window.
        """
        event = entry.event
        left_out = 0
        window_start = self.window_starts.get(event)
        if window_start is None or entry.wall - window_start >= self.window:
            left_out = max(0, self.counts.get(event, 0) - self.max_entries)
            self.window_starts[event] = entry.wall
            self.counts[event] = 0
        self.counts[event] += 1
        return left_out if self.counts[event] <= self.max_entries else None


class JournalLog:
    """Journal listener that writes log lines.

    Parameters
    ==========

    host : str
        Added to each line.
    """

    def __init__(self, host: str) -> None:
        self.logger = logbook.Logger('tanagerbendd')
        self.host = host
        self.limit = RateLimit()

    def __call__(self, entry: Entry) -> None:
        """Log one change of state, unless its event is over the limit."""
        left_out = self.limit.admit(entry)
        if left_out is None:
            return
        is_warning = entry.event in WARNINGS
        fields = {
            'host': self.host,
            'event': str(entry.event),
            'subject': entry.subject,
            'reason': entry.reason,
        }
        if left_out:
            fields['left_out'] = left_out
        self.logger.log(
            logbook.WARNING if is_warning else logbook.INFO,
            entry.event,
            extra={'wall': entry.wall, 'fields': fields},
        )


class LineHandler(logbook.StreamHandler):
    """Writes each record as one structured line without secrets.

    Parameters
    ==========

    stream : text stream
    format_fields : callable
        Formats fields as a line.
    secrets : tuple of str
        Texts that are replaced in every line.
    """

    def __init__(
        self,
        stream: TextIO,
        format_fields: FieldsFormatter,
        secrets: tuple[str, ...],
    ) -> None:
        super().__init__(stream, level=logbook.INFO)
        self.format_fields = format_fields
        self.secrets = secrets
        self.limit = RateLimit()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record; records of libraries share one rate limit."""
        if 'fields' not in record.extra:
            entry = Entry(record.time.timestamp(), 'library', record.channel)
            if self.limit.admit(entry) is None:
                return
        super().emit(record)

    def format(self, record: logbook.LogRecord) -> str:
        """Return the line of a record."""
        wall = record.extra.get('wall')
        time = datetime.fromtimestamp(wall, UTC) if wall else record.time
        fields = {
            'time': _format_rfc3339(time),
            'level': record.level_name.lower(),
        }
        event_fields = record.extra.get('fields') or {
            'event': 'library',
            'subject': record.channel,
            'reason': record.message,
            'trace': record.formatted_exception,
        }
        fields.update(
            (key, self._redact(text))
            for key, text in event_fields.items()
            if text
        )
        return self.format_fields(fields)

    def _redact(self, text: Any) -> str:
        redacted = str(text)
        for secret in self.secrets:
            redacted = redacted.replace(secret, REDACTED)
        return redacted


def _format_rfc3339(time: datetime) -> str:
    naive = time.replace(tzinfo=None).isoformat(timespec='milliseconds')
    return f'{naive}Z'


def line_handler(settings: Settings, stream: TextIO) -> LineHandler:
    """Return the handler for the log format of the settings."""
    is_json = settings.operators.log_format == 'json'
    return LineHandler(
        stream,
        as_json if is_json else as_key_values,
        (settings.operators.token, settings.peers.shared_key),
    )


def log_journal(recorder: Recorder, settings: Settings) -> None:
    """Log changes of state, and warnings of libraries, to standard error."""
    line_handler(settings, sys.stderr).push_application()
    logging.basicConfig(
        handlers=[RedirectLoggingHandler()],
        level=logging.WARNING,
        force=True,
    )
    recorder.journal.listeners.append(JournalLog(settings.host.name))
