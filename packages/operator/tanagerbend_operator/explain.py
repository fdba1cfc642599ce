"""Sub-command ``explain``."""

import pathlib
from collections.abc import Sequence
from typing import Any, Final

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_model.advice import ADVICE
from tanagerbend_operator import exit_codes
from tanagerbend_operator.access import Access, resolve_access
from tanagerbend_operator.client import DaemonClient, run_with_client
from tanagerbend_operator.explain_order import ORDER_KEY_PREFIX, explain_order
from tanagerbend_operator.explain_request import (
    RequestFilter,
    explain_from_logs,
)
from tanagerbend_operator.output import (
    console,
    describe_refusal,
    table,
    write_error,
    write_json,
    write_line,
)
from tanagerbend_operator.times import format_time

NO_ANSWER_CODES: Final = frozenset(
    (ResultCode.PEER_UNREACHABLE, ResultCode.TOKEN_REQUIRED),
)


def explain(
    subject: str = '',
    path: str = '',
    *,
    log: Sequence[pathlib.Path] = (),
    route: str = '',
    since: str = '',
    until: str = '',
    method: str = 'GET',
    daemon: Sequence[str] = (),
    access: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Explain a route, a result code, an order key or a journal subject.

    With a path, the subject is a service: the matching row of the sheet
    is shown, and for each instance why it is used or not. The number or
    name of a result code is explained without contacting a daemon. An
    order key is explained by the daemon that owns it. Any other subject
    (a host, a version, a request id) is searched for in the journals of
    the given daemons.

    With log files, the subject is the identifier of a request, and its
    log lines from all daemons are merged. Without a subject, the failed
    requests of a route or a period are listed by cause.

    Exit codes: 0 explained; 1 no row covers the request, or no entry or
    line mentions the subject; 2 access is not valid; 3 no daemon answered.

    Examples::

        tanagerbend explain 402
        tanagerbend explain artwork /plates/7 --method POST
        tanagerbend explain host-3 --daemon 10.3.0.1:9003
        tanagerbend explain 9c41d07be2a35f68 --log day.log
        tanagerbend explain --log day.log --route orders --since 5m

    :param subject: service, result code, order key or text to search for.
    :param path: path of a request.
    :param log: log files of daemons on a platform.
    :param route: list only failed requests of this route.
    :param since: start of the period: an age such as 90m or 2h, or a date
        and time.
    :param until: end of the period, in the same form.
    :param method: HTTP method of the request.
    :param daemon: operators' addresses.
    :param access: TOML file with daemons and token.
    :param json: write JSON.
    """
    if log:
        request_filter = RequestFilter(subject, route, since, until)
        return explain_from_logs(log, request_filter, json)
    if not subject:
        write_error('expected a subject or --log')
        return exit_codes.USAGE_ERROR
    code = None if path else parse_result_code(subject)
    if code is not None:
        return _explain_code(code, json)
    resolved = resolve_access(daemon, access)
    match resolved:
        case Access(daemons=daemons):
            if path:
                query = {'service': subject, 'method': method, 'path': path}
                return _explain_route(resolved, query, json)
            if subject.startswith(ORDER_KEY_PREFIX):
                return explain_order(resolved, subject, json)
            answers = run_with_client(
                resolved,
                lambda client: client.request_all(daemons, '/journal'),
            )
            return _explain_from_journals(answers, subject, json)
    for fault in resolved:
        write_error(str(fault))
    return exit_codes.USAGE_ERROR


def parse_result_code(text: str) -> ResultCode | None:
    """Return the result code with a number or name, or None.

    Examples
    ========

    >>> parse_result_code('queue_full') is ResultCode.QUEUE_FULL
    True
    >>> parse_result_code('402') is ResultCode.QUEUE_FULL
    True
    >>> parse_result_code('host-3') is None
    True
    """
    for code in ResultCode:
        if text.upper() == code.name or text == str(int(code)):
            return code
    return None


def _explain_code(code: ResultCode, as_json: bool) -> int:
    advice = ADVICE[code]
    if as_json:
        write_json(
            {
                'code': int(code),
                'name': code.name,
                'meaning': advice.meaning,
                'ran': advice.ran,
                'to_do': advice.to_do,
            },
        )
        return exit_codes.OK
    write_line(f'{int(code)} {code.name}: {advice.meaning}')
    write_line(f'request ran: {advice.ran}')
    write_line(f'what to do: {advice.to_do}')
    return exit_codes.OK


async def _query_first_reachable(
    client: DaemonClient,
    daemons: tuple[str, ...],
    query: dict[str, str],
) -> Any:
    answer: Any = Refusal(
        ResultCode.PEER_UNREACHABLE, 'no daemon address is given'
    )
    for address in daemons:
        answer = await client.request(address, '/explain', query)
        match answer:
            case Refusal(code=ResultCode.PEER_UNREACHABLE):
                continue
        break
    return answer


def _explain_route(
    access: Access,
    query: dict[str, str],
    as_json: bool,
) -> int:
    answer = run_with_client(
        access,
        lambda client: _query_first_reachable(client, access.daemons, query),
    )
    match answer:
        case Refusal(code=code):
            write_error(describe_refusal(answer))
            return (
                exit_codes.NO_ANSWER
                if code in NO_ANSWER_CODES
                else exit_codes.FAULT_FOUND
            )
    if as_json:
        write_json(answer)
        return exit_codes.OK
    work = answer['work']
    write_line(f'version {answer["version"]}, row {answer["row"]}')
    write_line(', '.join(f'{key} {cell}' for key, cell in work.items()))
    columns = 'host', 'failure_domain', 'state', 'why'
    rows = [
        [instance[name] for name in columns] for instance in answer['instances']
    ]
    console().print(table(columns, rows))
    return exit_codes.OK


def _explain_from_journals(
    answers: dict[str, Any],
    subject: str,
    as_json: bool,
) -> int:
    entries = []
    answered = 0
    for answer in answers.values():
        match answer:
            case Refusal():
                write_error(describe_refusal(answer))
                continue
        answered += 1
        entries += [
            {'host': answer['host'], **entry}
            for entry in answer['entries']
            if subject in entry['subject'] or subject in entry['reason']
        ]
    entries.sort(key=lambda entry: entry['wall'])
    if not answered:
        return exit_codes.NO_ANSWER
    if as_json:
        write_json({'entries': entries})
    else:
        _print_entries(entries)
    return exit_codes.OK if entries else exit_codes.FAULT_FOUND


def _print_entries(entries: list[dict[str, Any]]) -> None:
    if not entries:
        write_line('no journal entry mentions the subject')
        return
    rows = [
        (
            format_time(entry['wall']),
            entry['host'],
            entry['event'],
            entry['subject'],
            entry['reason'],
        )
        for entry in entries
    ]
    columns = 'time', 'daemon', 'event', 'subject', 'reason'
    console().print(table(columns, rows))
