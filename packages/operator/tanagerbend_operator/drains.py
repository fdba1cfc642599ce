"""Sub-commands ``drain`` and ``undrain``."""

import pathlib
from collections.abc import Sequence
from typing import Any, Final

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_operator import exits
from tanagerbend_operator.access import Access, find_access
from tanagerbend_operator.client import DaemonClient, run_with
from tanagerbend_operator.fleet import FleetView, Seen, survey
from tanagerbend_operator.output import (
    describe,
    write_error,
    write_json,
    write_line,
)

LIVE: Final = 'live'


def drain(
    host: str,
    *,
    force: bool = False,
    daemon: Sequence[str] = (),
    access: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Let an instance take no new work; running calls finish.

    The last live instance of a service is drained only with ``--force``.

    Exit codes: 0 draining; 1 the host is unknown, or the last live
    instance of its service; 2 access is not valid; 3 the daemon does not
    answer.

    Examples::

        tanagerbend drain host-3
        tanagerbend drain host-3 --force --daemon 10.3.0.1:9003

    :param host: host name or operators' address.
    :param force: drain the last live instance of a service as well.
    :param daemon: operators' addresses.
    :param access: TOML file with daemons and token.
    :param json: write JSON.
    """
    return _change(host, '/drain', daemon, access, json, force)


def undrain(
    host: str,
    *,
    daemon: Sequence[str] = (),
    access: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Let a drained instance take new work again.

    Exit codes: 0 it takes work; 1 the host is unknown, or drains for
    another reason as well; 2 access is not valid; 3 the daemon does not
    answer.

    Examples::

        tanagerbend undrain host-3

    :param host: host name or operators' address.
    :param daemon: operators' addresses.
    :param access: TOML file with daemons and token.
    :param json: write JSON.
    """
    return _change(host, '/undrain', daemon, access, json, force=True)


def _change(
    host: str,
    path: str,
    daemon: Sequence[str],
    access: pathlib.Path | None,
    as_json: bool,
    force: bool,
) -> int:
    found = find_access(daemon, access)
    match found:
        case Access(daemons=daemons):
            outcome = run_with(
                found,
                lambda client: _ask(client, daemons, host, path, force),
            )
            expected = 'draining' if path == '/drain' else LIVE
            return _show(outcome, as_json, expected)
    for fault in found:
        write_error(str(fault))
    return exits.USAGE


async def _ask(
    client: DaemonClient,
    daemons: tuple[str, ...],
    host: str,
    path: str,
    force: bool,
) -> Any:
    view = await survey(client, daemons)
    seen = view.find(host)
    if seen is None:
        return f'{host} is not in the roster of the daemons that answered'
    if seen.status is None:
        return Refusal(ResultCode.PEER_UNREACHABLE, seen.trouble)
    if not force and is_last(view, seen):
        return (
            f'{host} is the last live instance of {seen.service}; '
            'calls to it would be refused (--force drains it all the same)'
        )
    return await client.ask(seen.address, path, method='POST')


def is_last(view: FleetView, seen: Seen) -> bool:
    """Tell whether no other instance of the service is live."""
    return seen.state == LIVE and not any(
        other.service == seen.service
        and other.state == LIVE
        and other.host != seen.host
        for other in view.daemons
    )


def _show(outcome: Any, as_json: bool, expected: str) -> int:
    match outcome:
        case Refusal():
            write_error(describe(outcome))
            return exits.NO_ANSWER
        case str():
            write_error(outcome)
            return exits.PROBLEM
    if as_json:
        write_json(outcome)
    else:
        write_line(
            f'{outcome["host"]} is {outcome["state"]}, '
            f'{outcome["running"]} calls are running',
        )
        for reason in outcome['not_ready']:
            write_line(f'not ready: {reason}')
    return exits.FINE if outcome['state'] == expected else exits.PROBLEM
