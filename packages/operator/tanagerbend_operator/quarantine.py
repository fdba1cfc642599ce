"""Sub-command ``quarantine``: requests that end instances."""

from typing import Any, Final

from tanagerbend_model import Refusal
from tanagerbend_operator import exits
from tanagerbend_operator.access import Access
from tanagerbend_operator.client import run_with
from tanagerbend_operator.output import (
    console,
    describe,
    table,
    write_error,
    write_json,
)

PATH: Final = '/quarantine'
COLUMNS: Final = ('verdict', 'fingerprint', 'forgotten in s', 'crashes')


def quarantine(
    address: str,
    *,
    lift: str = '',
    json: bool = False,
) -> int:
    """Show which requests a daemon on a platform refuses, and why.

    A request that ended three instances, or one while it ran alone, is
    refused with code 604 for ten minutes. Daemons tell each other, so any
    of them can be asked, and a lifted conviction is lifted at all.

    Exit codes: 0 shown; 1 there is no such fingerprint; 3 no daemon
    answered.

    Examples::

        tanagerbend quarantine 10.1.0.35:7660
        tanagerbend quarantine 10.1.0.35:7660 --lift FINGERPRINT

    :param address: metrics address of a daemon.
    :param lift: fingerprint whose requests may run again.
    :param json: write JSON.
    """
    query = {'fingerprint': lift} if lift else {}
    method = 'POST' if lift else 'GET'
    found = run_with(
        Access((address,), ''),
        lambda client: client.ask(address, PATH, query, method),
    )
    match found:
        case Refusal():
            write_error(describe(found))
            return exits.PROBLEM if lift else exits.NO_ANSWER
    if json:
        write_json(found)
    else:
        console().print(table(COLUMNS, _rows(found)))
    return exits.FINE


def _rows(found: dict[str, Any]) -> list[tuple[Any, ...]]:
    return [
        (kind, case['fingerprint'], case['seconds'], _crashes(case))
        for kind, cases in found.items()
        for case in cases
    ]


def _crashes(case: dict[str, Any]) -> str:
    return ', '.join(
        f'{instance} at {at:.1f}{" alone" if is_alone else ""}'
        for instance, at, is_alone in case['crashes']
    )
