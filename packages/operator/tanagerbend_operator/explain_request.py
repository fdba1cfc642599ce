"""Explanation of requests from log files."""

import pathlib
from collections import Counter
from collections.abc import Sequence
from typing import Final

import attrs

from tanagerbend_operator import exits
from tanagerbend_operator.logged import STARTED, Logs, read_logs
from tanagerbend_operator.output import (
    console,
    table,
    write_error,
    write_json,
    write_line,
)
from tanagerbend_operator.request_story import (
    ENDS,
    RequestStory,
    tell_request,
)
from tanagerbend_operator.times import clock, parse_since

STOPPED: Final = 'daemon_stopped'
# Requests that are shown for a route or a window.
MAX_SHOWN: Final = 20


@attrs.frozen
class Selection:
    """Requests that are looked for.

    Parameters
    ==========

    request : str
        Identifier; empty for all requests of the window.
    route : str
        Empty for all routes.
    since, until : str
        Ages before the last line, or times; empty for no bound.
    """

    request: str = ''
    route: str = ''
    since: str = ''
    until: str = ''


def explain_logged(
    paths: Sequence[pathlib.Path],
    selection: Selection,
    as_json: bool,
) -> int:
    """Explain a request, or list the failed requests of a window."""
    try:
        logs = read_logs(paths)
    except OSError as error:
        write_error(str(error))
        return exits.USAGE
    if logs.unreadable:
        write_error(f'{logs.unreadable} lines are not of a daemon')
    if selection.request:
        return _explain_one(logs, selection.request, as_json)
    return _list_window(logs, selection, as_json)


def _explain_one(logs: Logs, identifier: str, as_json: bool) -> int:
    story = tell_request(logs, identifier)
    if story is None:
        write_error(
            f'no line mentions {identifier!r}: it was served on time, its '
            'lines were left out under load, or it reached no daemon that '
            'lived until its end',
        )
        _tell_restarts(logs)
        return exits.PROBLEM
    if as_json:
        write_json(story.encode())
        return exits.FINE
    write_line(story.text)
    _print_lines(story)
    return exits.FINE


def _tell_restarts(logs: Logs) -> None:
    """Write which daemons started again without having stopped."""
    running = set()
    for line in logs.lines:
        if line.event == STOPPED:
            running.discard(line.host)
        if line.event == STARTED:
            if line.host in running:
                write_error(f'{clock(line.time)} {line.host} started again')
            running.add(line.host)


def _print_lines(story: RequestStory) -> None:
    rows = [
        (
            clock(line.time),
            line.host,
            line.event,
            line.fields.get('code', line.fields.get('status', '')),
            line.fields.get('reason', ''),
        )
        for line in story.lines
    ]
    columns = 'time', 'daemon', 'event', 'outcome', 'reason'
    console().print(table(columns, rows))


def _list_window(logs: Logs, selection: Selection, as_json: bool) -> int:
    if not logs.lines:
        write_error('the files have no lines of a daemon')
        return exits.PROBLEM
    last = logs.lines[-1].time
    since = parse_since(selection.since, last) if selection.since else 0.0
    until = parse_since(selection.until, last) if selection.until else last
    if since is None or until is None:
        write_error('--since and --until take 90m, 12h, 2d or a time')
        return exits.USAGE
    stories = [
        tell_request(logs, line.request)
        for line in logs.lines
        if line.event in ENDS
        and since <= line.time <= until
        and selection.route in {'', line.route}
    ]
    found = [story for story in stories if story is not None]
    counts = Counter(story.cause for story in found)
    if as_json:
        write_json(
            {
                'causes': {
                    cause.name.lower(): count
                    for cause, count in counts.most_common()
                },
                'requests': [
                    {
                        'request': story.request,
                        'cause': story.cause.name.lower(),
                    }
                    for story in found
                ],
            },
        )
        return exits.FINE if found else exits.PROBLEM
    rows = [
        (count, cause.name.lower(), cause.value)
        for cause, count in counts.most_common()
    ]
    console().print(table(('requests', 'cause', 'meaning'), rows))
    for story in found[:MAX_SHOWN]:
        write_line(f'{story.request} {story.cause.name.lower()}')
    return exits.FINE if found else exits.PROBLEM
