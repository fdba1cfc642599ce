"""Sub-command ``status``."""

import asyncio
import pathlib
import time
from collections.abc import Sequence
from typing import Any, Final

from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn

from tanagerbend_operator import exit_codes
from tanagerbend_operator.access import Access, resolve_access
from tanagerbend_operator.client import DaemonClient, run_with_client
from tanagerbend_operator.fleet import DaemonView, FleetView, query_fleet
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
    """Show the version of each daemon, and which lag or are unreachable.

    One daemon is asked for its roster; each member is then queried at its
    own IP address and the same port.

    Exit codes: 0 all daemons are ready with the newest version; 1 one
    lags, is not ready or does not answer; 2 access is not valid; 3 no
    daemon answered. With ``--watch``: 0 a newer version is in force at
    all daemons; 1 it was not within the time.

    Examples::

        tanagerbend status --daemon 10.3.0.1:9003
        tanagerbend status --watch 60
        tanagerbend status --json

    :param daemon: operators' addresses, at least one of a running daemon.
    :param access: TOML file with daemons and token.
    :param watch: seconds to wait for a newer version at all daemons.
    :param json: write JSON.
    """
    resolved = resolve_access(daemon, access)
    match resolved:
        case Access():
            if watch:
                return _watch(resolved, watch, json)
            view = run_with_client(
                resolved,
                lambda client: query_fleet(client, resolved.daemons),
            )
            return _report_fleet(view, json)
    for fault in resolved:
        write_error(str(fault))
    return exit_codes.USAGE_ERROR


def _watch(access: Access, seconds: float, as_json: bool) -> int:
    view, before = run_with_client(
        access,
        lambda client: watch_rollout(client, access.daemons, seconds),
    )
    exit_code = _report_fleet(view, as_json)
    if exit_code == exit_codes.OK and view.newest_version == before:
        return exit_codes.FAULT_FOUND
    return exit_code


async def watch_rollout(
    client: DaemonClient,
    addresses: tuple[str, ...],
    seconds: float,
) -> tuple[FleetView, str | None]:
    """Show progress until a newer version is in force at all daemons.

    Returns the last view and the newest version at the beginning.
    Progress goes to standard error to keep standard output valid JSON.
    """
    end = time.monotonic() + seconds
    view = await query_fleet(client, addresses)
    before = view.newest_version
    columns = (
        TextColumn('{task.description}', markup=False),
        BarColumn(),
        MofNCompleteColumn(),
    )
    with Progress(*columns, console=console(to_stderr=True)) as progress:
        tasks: dict[str, Any] = {}
        while time.monotonic() < end:
            _update_progress(progress, tasks, view, before)
            if view.newest_version != before and not view.has_fault():
                break
            await asyncio.sleep(POLL_SECONDS)
            view = await query_fleet(client, addresses)
        _update_progress(progress, tasks, view, before)
    return view, before


def _update_progress(
    progress: Progress,
    tasks: dict[str, Any],
    view: FleetView,
    before: str | None,
) -> None:
    for domain, daemons in view.group_by_domain().items():
        if domain not in tasks:
            tasks[domain] = progress.add_task(domain)
        is_newer = view.newest_version != before
        progress.update(
            tasks[domain],
            total=len(daemons),
            completed=view.count_at_newest_version(daemons) if is_newer else 0,
        )


def _report_fleet(view: FleetView, as_json: bool) -> int:
    if as_json:
        daemons = [_encode_daemon(view, member) for member in view.daemons]
        write_json({'newest': view.newest_version, 'daemons': daemons})
    else:
        _print_fleet(view)
    if not view.answered:
        return exit_codes.NO_ANSWER
    return exit_codes.FAULT_FOUND if view.has_fault() else exit_codes.OK


def _encode_daemon(view: FleetView, member: DaemonView) -> dict[str, Any]:
    reported = member.status or {}
    return {
        'host': member.host,
        'failure_domain': member.failure_domain,
        'service': member.service,
        'address': member.address,
        'state': member.state,
        'version': member.version,
        'lags': view.is_lagging(member),
        'provisional': reported.get('provisional'),
        'reader': reported.get('reader'),
        'last_read_age': reported.get('last_read_age'),
        'not_ready': reported.get('not_ready', []),
        'trouble': member.error,
        'roster_state': member.roster_state,
    }


def _print_fleet(view: FleetView) -> None:
    rows = [
        _table_cells(view, member)
        for daemons in view.group_by_domain().values()
        for member in daemons
    ]
    console().print(table(COLUMNS, rows))
    for domain, daemons in view.group_by_domain().items():
        up_to_date = view.count_at_newest_version(daemons)
        write_line(
            f'{domain}: {up_to_date} of {len(daemons)} at the newest version',
        )
    write_line(f'newest version: {view.newest_version}')


def _table_cells(view: FleetView, member: DaemonView) -> tuple[Any, ...]:
    reported = member.status or {}
    age = reported.get('last_read_age')
    remarks = [member.error, *reported.get('not_ready', [])]
    if member.roster_state and not reported:
        remarks.append(f'{member.roster_state} in the roster')
    if reported.get('provisional'):
        remarks.append('provisional')
    return (
        member.failure_domain,
        member.host or member.address,
        member.service,
        member.state,
        member.version,
        'yes' if view.is_lagging(member) else '',
        'yes' if reported.get('reader') else '',
        None if age is None else f'{age:.0f} s',
        ', '.join(filter(None, remarks)),
    )
