"""Sub-command ``report``: recent events of the fleet on one page."""

import pathlib
import time
from collections.abc import Sequence
from typing import Any, Final

import attrs

from tanagerbend_model import Refusal
from tanagerbend_operator import exit_codes
from tanagerbend_operator.access import Access, resolve_access
from tanagerbend_operator.client import DaemonClient, run_with_client
from tanagerbend_operator.fleet import FleetView, query_fleet
from tanagerbend_operator.fleet_summary import FleetSummary, build_summary
from tanagerbend_operator.output import (
    describe_refusal,
    write_error,
    write_json,
)
from tanagerbend_operator.report_page import print_summary
from tanagerbend_operator.times import parse_time

DEFAULT_SINCE: Final = '12h'


def report(
    *,
    since: str = DEFAULT_SINCE,
    daemon: Sequence[str] = (),
    access: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Summarise on one page the events of the fleet since a time.

    Covers adopted and rejected versions, lost members, outages of the
    configuration service, floods, refusals by code and hour, and crashes.
    A restarted daemon has lost its journal; the report lists such daemons.

    Exit codes: 0 nothing needs attention; 1 something needs attention; 2
    the arguments or access are not valid; 3 no daemon answered.

    Examples::

        tanagerbend report
        tanagerbend report --since 2026-12-03T18:00
        tanagerbend report --since 8h --json

    :param since: an age such as 90m, 12h or 2d, or a local time.
    :param daemon: operators' addresses.
    :param access: TOML file with daemons and token.
    :param json: write JSON.
    """
    now = time.time()
    begin = parse_time(since, now)
    if begin is None:
        write_error(f'--since {since!r}: expected 90m, 12h, 2d or a time')
        return exit_codes.USAGE_ERROR
    resolved = resolve_access(daemon, access)
    match resolved:
        case Access(daemons=daemons):
            summary = run_with_client(
                resolved,
                lambda client: collect_summary(client, daemons, begin, now),
            )
            return _report_summary(summary, json)
    for fault in resolved:
        write_error(str(fault))
    return exit_codes.USAGE_ERROR


async def collect_summary(
    client: DaemonClient,
    addresses: tuple[str, ...],
    begin: float,
    end: float,
) -> FleetSummary:
    """Summarise the journals and counters of all daemons."""
    view: FleetView = await query_fleet(client, addresses)
    asked = tuple(member.address for member in view.answered)
    query = {'since': str(begin)}
    journals = await client.request_all(asked, '/journal', query)
    counters = await client.request_all(asked, '/counters')
    return build_summary(
        view,
        (begin, end),
        _drop_refusals(journals),
        _drop_refusals(counters),
    )


def _drop_refusals(answers: dict[str, Any]) -> list[Any]:
    kept = []
    for answer in answers.values():
        match answer:
            case Refusal():
                write_error(describe_refusal(answer))
            case _:
                kept.append(answer)
    return kept


def _report_summary(summary: FleetSummary, as_json: bool) -> int:
    if as_json:
        write_json(
            {
                **attrs.asdict(summary),
                'something_to_look_at': summary.needs_attention,
            },
        )
    else:
        print_summary(summary)
    if not summary.asked:
        return exit_codes.NO_ANSWER
    return exit_codes.FAULT_FOUND if summary.needs_attention else exit_codes.OK
