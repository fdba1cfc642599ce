"""Explanation of requests from the log files of daemons."""

import pathlib
from collections import Counter
from collections.abc import Sequence
from typing import Final

import attrs

from tanagerbend_operator import exit_codes
from tanagerbend_operator.log_lines import STARTED_EVENT, Logs, read_logs
from tanagerbend_operator.output import (
    console,
    table,
    write_error,
    write_json,
    write_line,
)
from tanagerbend_operator.request_outcome import (
    FAILURE_EVENTS,
    RequestOutcome,
    reconstruct_request,
)
from tanagerbend_operator.times import format_time, parse_time

STOPPED_EVENT: Final = 'daemon_stopped'
MAX_LISTED_REQUESTS: Final = 20


@attrs.frozen
class RequestFilter:
    """Filter for the requests to explain.

    Parameters
    ==========

    request : str
        Identifier; empty for all requests of the period.
    route : str
        Empty for all routes.
    since, until : str
        Ages relative to the last line, or times; empty for no bound.
    """

    request: str = ''
    route: str = ''
    since: str = ''
    until: str = ''


def explain_from_logs(
    paths: Sequence[pathlib.Path],
    request_filter: RequestFilter,
    as_json: bool,
) -> int:
    """Explain one request, or list the failed requests of a period."""
    try:
        logs = read_logs(paths)
    except OSError as error:
        write_error(str(error))
        return exit_codes.USAGE_ERROR
    if logs.unreadable:
        write_error(f'{logs.unreadable} lines are not log lines of a daemon')
    if request_filter.request:
        return _explain_request(logs, request_filter.request, as_json)
    return _list_failed_requests(logs, request_filter, as_json)


def _explain_request(logs: Logs, identifier: str, as_json: bool) -> int:
    outcome = reconstruct_request(logs, identifier)
    if outcome is None:
        write_error(
            f'no line mentions {identifier!r}: it was served on time, its '
            'lines were dropped under load, or it reached no daemon that '
            'ran until its end',
        )
        _report_unclean_restarts(logs)
        return exit_codes.FAULT_FOUND
    if as_json:
        write_json(outcome.encode())
        return exit_codes.OK
    write_line(outcome.text)
    _print_lines(outcome)
    return exit_codes.OK


def _report_unclean_restarts(logs: Logs) -> None:
    """Report daemons that started again without a preceding stop line."""
    running = set()
    for line in logs.lines:
        if line.event == STOPPED_EVENT:
            running.discard(line.host)
        if line.event == STARTED_EVENT:
            if line.host in running:
                write_error(
                    f'{format_time(line.time)} {line.host} started again'
                )
            running.add(line.host)


def _print_lines(outcome: RequestOutcome) -> None:
    rows = [
        (
            format_time(line.time),
            line.host,
            line.event,
            line.fields.get('code', line.fields.get('status', '')),
            line.fields.get('reason', ''),
        )
        for line in outcome.lines
    ]
    columns = 'time', 'daemon', 'event', 'outcome', 'reason'
    console().print(table(columns, rows))


def _list_failed_requests(
    logs: Logs, request_filter: RequestFilter, as_json: bool
) -> int:
    if not logs.lines:
        write_error('the files contain no log lines of a daemon')
        return exit_codes.FAULT_FOUND
    last = logs.lines[-1].time
    since = (
        parse_time(request_filter.since, last) if request_filter.since else 0.0
    )
    until = (
        parse_time(request_filter.until, last) if request_filter.until else last
    )
    if since is None or until is None:
        write_error('--since and --until: expected 90m, 12h, 2d or a time')
        return exit_codes.USAGE_ERROR
    outcomes = [
        reconstruct_request(logs, line.request)
        for line in logs.lines
        if line.event in FAILURE_EVENTS
        and since <= line.time <= until
        and request_filter.route in {'', line.route}
    ]
    failed = [outcome for outcome in outcomes if outcome is not None]
    count_by_cause = Counter(outcome.cause for outcome in failed)
    if as_json:
        write_json(
            {
                'causes': {
                    cause.name.lower(): count
                    for cause, count in count_by_cause.most_common()
                },
                'requests': [
                    {
                        'request': outcome.request,
                        'cause': outcome.cause.name.lower(),
                    }
                    for outcome in failed
                ],
            },
        )
        return exit_codes.OK if failed else exit_codes.FAULT_FOUND
    rows = [
        (count, cause.name.lower(), cause.value)
        for cause, count in count_by_cause.most_common()
    ]
    console().print(table(('requests', 'cause', 'meaning'), rows))
    for outcome in failed[:MAX_LISTED_REQUESTS]:
        write_line(f'{outcome.request} {outcome.cause.name.lower()}')
    return exit_codes.OK if failed else exit_codes.FAULT_FOUND
