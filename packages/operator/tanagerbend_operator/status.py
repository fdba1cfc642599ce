"""Sub-command ``status``."""

import asyncio
import pathlib
import time
from collections.abc import Sequence
from typing import Any, Final

from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn

from tanagerbend_operator import exits
from tanagerbend_operator.access import Access, find_access
from tanagerbend_operator.client import DaemonClient, run_with
from tanagerbend_operator.fleet import FleetView, Seen, survey
from tanagerbend_operator.output import (
    console,
    table,
    write_error,
    write_json,
    write_line,
)

POLL_SECONDS: Final = 0.5
COLUMNS: Final = (
    'domain',
    'host',
    'service',
    'state',
    'version',
    'lags',
    'reader',
    'last read',
    'remarks',
)


def status(
    *,
    daemon: Sequence[str] = (),
    access: pathlib.Path | None = None,
    watch: float = 0.0,
    json: bool = False,
) -> int:
    """Show the version at each daemon, who lags and who is unreachable.

    One daemon is asked for its roster, then each member at its own IP
    number and the same port.

    Exit codes: 0 all daemons are ready with the newest version; 1 one
    lags, is not ready or does not answer; 2 access is not valid; 3 no
    daemon answered. With ``--watch``: 0 a newer version is in force
    everywhere; 1 not within the time.

    Examples::

        tanagerbend status --daemon 10.3.0.1:9003
        tanagerbend status --watch 60
        tanagerbend status --json

    :param daemon: operators' addresses, at least one that is up.
    :param access: TOML file with daemons and token.
    :param watch: seconds to watch a new sheet spread.
    :param json: write JSON.
    """
    found = find_access(daemon, access)
    match found:
        case Access():
            if watch:
                return _watch(found, watch, json)
            view = run_with(
                found,
                lambda client: survey(client, found.daemons),
            )
            return _show(view, json)
    for fault in found:
        write_error(str(fault))
    return exits.USAGE


def _watch(access: Access, seconds: float, as_json: bool) -> int:
    view, before = run_with(
        access,
        lambda client: follow(client, access.daemons, seconds),
    )
    shown = _show(view, as_json)
    if shown == exits.FINE and view.newest == before:
        return exits.PROBLEM
    return shown


async def follow(
    client: DaemonClient,
    addresses: tuple[str, ...],
    seconds: float,
) -> tuple[FleetView, str | None]:
    """Show a progress display until a newer version is everywhere.

    Returns the last view and the newest version at the beginning.
    The display goes to standard error, so that ``--json`` stays JSON.
    """
    end = time.monotonic() + seconds
    view = await survey(client, addresses)
    before = view.newest
    columns = (
        TextColumn('{task.description}', markup=False),
        BarColumn(),
        MofNCompleteColumn(),
    )
    with Progress(*columns, console=console(to_errors=True)) as progress:
        tasks: dict[str, Any] = {}
        while time.monotonic() < end:
            _advance(progress, tasks, view, before)
            if view.newest != before and not view.has_problem():
                break
            await asyncio.sleep(POLL_SECONDS)
            view = await survey(client, addresses)
        _advance(progress, tasks, view, before)
    return view, before


def _advance(
    progress: Progress,
    tasks: dict[str, Any],
    view: FleetView,
    before: str | None,
) -> None:
    for domain, daemons in view.by_domain().items():
        if domain not in tasks:
            tasks[domain] = progress.add_task(domain)
        is_newer = view.newest != before
        progress.update(
            tasks[domain],
            total=len(daemons),
            completed=view.count_newest(daemons) if is_newer else 0,
        )


def _show(view: FleetView, as_json: bool) -> int:
    if as_json:
        daemons = [_row(view, seen) for seen in view.daemons]
        write_json({'newest': view.newest, 'daemons': daemons})
    else:
        _print(view)
    if not view.answered:
        return exits.NO_ANSWER
    return exits.PROBLEM if view.has_problem() else exits.FINE


def _row(view: FleetView, seen: Seen) -> dict[str, Any]:
    own = seen.status or {}
    return {
        'host': seen.host,
        'failure_domain': seen.failure_domain,
        'service': seen.service,
        'address': seen.address,
        'state': seen.state,
        'version': seen.version,
        'lags': view.lags(seen),
        'provisional': own.get('provisional'),
        'reader': own.get('reader'),
        'last_read_age': own.get('last_read_age'),
        'not_ready': own.get('not_ready', []),
        'trouble': seen.trouble,
        'roster_state': seen.roster_state,
    }


def _print(view: FleetView) -> None:
    rows = [
        _cells(view, seen)
        for daemons in view.by_domain().values()
        for seen in daemons
    ]
    console().print(table(COLUMNS, rows))
    for domain, daemons in view.by_domain().items():
        newest = view.count_newest(daemons)
        write_line(f'{domain}: {newest} of {len(daemons)} at the newest')
    write_line(f'newest version: {view.newest}')


def _cells(view: FleetView, seen: Seen) -> tuple[Any, ...]:
    own = seen.status or {}
    age = own.get('last_read_age')
    remarks = [seen.trouble, *own.get('not_ready', [])]
    if seen.roster_state and not own:
        remarks.append(f'{seen.roster_state} in the roster')
    if own.get('provisional'):
        remarks.append('provisional')
    return (
        seen.failure_domain,
        seen.host or seen.address,
        seen.service,
        seen.state,
        seen.version,
        'yes' if view.lags(seen) else '',
        'yes' if own.get('reader') else '',
        None if age is None else f'{age:.0f} s',
        ', '.join(filter(None, remarks)),
    )
