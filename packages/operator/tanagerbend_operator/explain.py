"""Sub-command ``explain``."""

import pathlib
from collections.abc import Sequence
from typing import Any, Final

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_model.advice import ADVICE
from tanagerbend_operator import exits
from tanagerbend_operator.access import Access, find_access
from tanagerbend_operator.client import DaemonClient, run_with
from tanagerbend_operator.explain_order import ORDER_KEY, explain_order
from tanagerbend_operator.explain_request import Selection, explain_logged
from tanagerbend_operator.output import (
    console,
    describe,
    table,
    write_error,
    write_json,
    write_line,
)
from tanagerbend_operator.times import clock

UNANSWERED: Final = frozenset(
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
    """Explain a route, a result code, or what the journals say.

    With a path, the subject is a service: the row of the sheet that
    covers the request is shown, and each instance with the reason why it
    is used or not. A number or name of a result code is explained
    without asking a daemon. An order key is explained by the daemon that
    owns it. Anything else (a host, a version, a request id) is looked up
    in the journals of the given daemons.

    With log files, the subject is the identifier of a request, and its
    lines of all daemons are put together; without a subject the failed
    requests of a route or a time are listed by cause.

    Exit codes: 0 explained; 1 nothing covers or mentions the subject;
    2 access is not valid; 3 no daemon answered.

    Examples::

        tanagerbend explain 402
        tanagerbend explain artwork /plates/7 --method POST
        tanagerbend explain host-3 --daemon 10.3.0.1:9003
        tanagerbend explain 9c41d07be2a35f68 --log day.log
        tanagerbend explain --log day.log --route orders --since 5m

    :param subject: service, result code, or text to look up.
    :param path: path of a request.
    :param log: files with the lines of daemons on a platform.
    :param route: route whose failed requests are listed.
    :param since: begin of the time, such as 90m, 2h or a date and time.
    :param until: end of the time.
    :param method: HTTP method of the request.
    :param daemon: operators' addresses.
    :param access: TOML file with daemons and token.
    :param json: write JSON.
    """
    if log:
        selection = Selection(subject, route, since, until)
        return explain_logged(log, selection, json)
    if not subject:
        write_error('a subject or --log is needed')
        return exits.USAGE
    code = None if path else find_code(subject)
    if code is not None:
        return _explain_code(code, json)
    found = find_access(daemon, access)
    match found:
        case Access(daemons=daemons):
            if path:
                query = {'service': subject, 'method': method, 'path': path}
                return _explain_route(found, query, json)
            if subject.startswith(ORDER_KEY):
                return explain_order(found, subject, json)
            answers = run_with(
                found,
                lambda client: client.ask_all(daemons, '/journal'),
            )
            return _explain_entries(answers, subject, json)
    for fault in found:
        write_error(str(fault))
    return exits.USAGE


def find_code(text: str) -> ResultCode | None:
    """Return the result code of a number or name, if it is one.

    Examples
    ========

    >>> find_code('queue_full') is find_code('402') is ResultCode.QUEUE_FULL
    True
    >>> find_code('host-3') is None
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
        return exits.FINE
    write_line(f'{int(code)} {code.name}: {advice.meaning}')
    write_line(f'request ran: {advice.ran}')
    write_line(f'what to do: {advice.to_do}')
    return exits.FINE


async def _first_answer(
    client: DaemonClient,
    daemons: tuple[str, ...],
    query: dict[str, str],
) -> Any:
    answer: Any = Refusal(ResultCode.PEER_UNREACHABLE, 'no daemon is given')
    for address in daemons:
        answer = await client.ask(address, '/explain', query)
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
    answer = run_with(
        access,
        lambda client: _first_answer(client, access.daemons, query),
    )
    match answer:
        case Refusal(code=code):
            write_error(describe(answer))
            return exits.NO_ANSWER if code in UNANSWERED else exits.PROBLEM
    if as_json:
        write_json(answer)
        return exits.FINE
    work = answer['work']
    write_line(f'version {answer["version"]}, row {answer["row"]}')
    write_line(', '.join(f'{key} {cell}' for key, cell in work.items()))
    columns = 'host', 'failure_domain', 'state', 'why'
    rows = [
        [instance[name] for name in columns] for instance in answer['instances']
    ]
    console().print(table(columns, rows))
    return exits.FINE


def _explain_entries(
    answers: dict[str, Any],
    subject: str,
    as_json: bool,
) -> int:
    entries = []
    answered = 0
    for answer in answers.values():
        match answer:
            case Refusal():
                write_error(describe(answer))
                continue
        answered += 1
        entries += [
            {'host': answer['host'], **entry}
            for entry in answer['entries']
            if subject in entry['subject'] or subject in entry['reason']
        ]
    entries.sort(key=lambda entry: entry['wall'])
    if not answered:
        return exits.NO_ANSWER
    if as_json:
        write_json({'entries': entries})
    else:
        _print_entries(entries)
    return exits.FINE if entries else exits.PROBLEM


def _print_entries(entries: list[dict[str, Any]]) -> None:
    if not entries:
        write_line('no journal mentions it')
        return
    rows = [
        (
            clock(entry['wall']),
            entry['host'],
            entry['event'],
            entry['subject'],
            entry['reason'],
        )
        for entry in entries
    ]
    columns = 'time', 'daemon', 'event', 'subject', 'reason'
    console().print(table(columns, rows))
