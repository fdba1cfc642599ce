"""Sub-command ``report``: the story of the night on one page."""

import pathlib
import time
from collections.abc import Sequence
from typing import Any, Final

import attrs

from tanagerbend_model import Refusal
from tanagerbend_operator import exits
from tanagerbend_operator.access import Access, find_access
from tanagerbend_operator.client import DaemonClient, run_with
from tanagerbend_operator.fleet import FleetView, survey
from tanagerbend_operator.output import describe, write_error, write_json
from tanagerbend_operator.page import print_page
from tanagerbend_operator.story import Story, tell
from tanagerbend_operator.times import parse_since

DEFAULT_SINCE: Final = '12h'


def report(
    *,
    since: str = DEFAULT_SINCE,
    daemon: Sequence[str] = (),
    access: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Tell on one page what happened since a time, and why.

    Versions adopted and rejected, members lost, outages of the
    configuration service, floods, refusals by code and hour, crashes. A
    restarted daemon has lost its journal; the page names such daemons.

    Exit codes: 0 nothing to look at; 1 something to look at; 2 the
    arguments or access are not valid; 3 no daemon answered.

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
    begin = parse_since(since, now)
    if begin is None:
        write_error(f'--since {since!r}: expected 90m, 12h, 2d or a time')
        return exits.USAGE
    found = find_access(daemon, access)
    match found:
        case Access(daemons=daemons):
            story = run_with(
                found,
                lambda client: collect(client, daemons, begin, now),
            )
            return _show(story, json)
    for fault in found:
        write_error(str(fault))
    return exits.USAGE


async def collect(
    client: DaemonClient,
    addresses: tuple[str, ...],
    begin: float,
    end: float,
) -> Story:
    """Ask all daemons for their journals and refusals."""
    view: FleetView = await survey(client, addresses)
    asked = tuple(seen.address for seen in view.answered)
    query = {'since': str(begin)}
    journals = await client.ask_all(asked, '/journal', query)
    counters = await client.ask_all(asked, '/counters')
    return tell(
        view,
        (begin, end),
        _without_refusals(journals),
        _without_refusals(counters),
    )


def _without_refusals(answers: dict[str, Any]) -> list[Any]:
    kept = []
    for answer in answers.values():
        match answer:
            case Refusal():
                write_error(describe(answer))
            case _:
                kept.append(answer)
    return kept


def _show(story: Story, as_json: bool) -> int:
    if as_json:
        write_json(
            {
                **attrs.asdict(story),
                'something_to_look_at': story.needs_attention,
            },
        )
    else:
        print_page(story)
    if not story.asked:
        return exits.NO_ANSWER
    return exits.PROBLEM if story.needs_attention else exits.FINE
