"""Sub-command ``quarantine``: requests that crash instances."""

from typing import Any, Final

from tanagerbend_model import Refusal
from tanagerbend_operator import exit_codes
from tanagerbend_operator.access import Access
from tanagerbend_operator.client import run_with_client
from tanagerbend_operator.output import (
    console,
    describe_refusal,
    table,
    write_error,
    write_json,
)

PATH: Final = '/quarantine'
COLUMNS: Final = ('verdict', 'fingerprint', 'expires in s', 'crashes')


def quarantine(
    address: str,
    *,
    lift: str = '',
    json: bool = False,
) -> int:
    """Show requests that a daemon refuses because they crash instances.

    A request that crashed three instances, or one instance on which it
    ran alone, is refused with code 604 for ten minutes. Daemons exchange
    convictions, so any of them can be queried, and lifting a conviction at
    one daemon lifts it at all of them.

    Exit codes: 0 shown; 1 the fingerprint is unknown; 3 the daemon did not
    answer.

    Examples::

        tanagerbend quarantine 10.1.0.35:7660
        tanagerbend quarantine 10.1.0.35:7660 --lift FINGERPRINT

    :param address: metrics address of a daemon.
    :param lift: fingerprint of the requests that may run again.
    :param json: write JSON.
    """
    query = {'fingerprint': lift} if lift else {}
    method = 'POST' if lift else 'GET'
    answer = run_with_client(
        Access((address,), ''),
        lambda client: client.request(address, PATH, query, method),
    )
    match answer:
        case Refusal():
            write_error(describe_refusal(answer))
            return exit_codes.FAULT_FOUND if lift else exit_codes.NO_ANSWER
    if json:
        write_json(answer)
    else:
        console().print(table(COLUMNS, _rows(answer)))
    return exit_codes.OK


def _rows(answer: dict[str, Any]) -> list[tuple[Any, ...]]:
    return [
        (
            verdict,
            entry['fingerprint'],
            entry['seconds'],
            _format_crashes(entry),
        )
        for verdict, entries in answer.items()
        for entry in entries
    ]


def _format_crashes(entry: dict[str, Any]) -> str:
    return ', '.join(
        f'{instance} at {at:.1f}{" alone" if is_alone else ""}'
        for instance, at, is_alone in entry['crashes']
    )
