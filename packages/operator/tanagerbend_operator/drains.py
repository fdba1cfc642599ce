"""Sub-commands ``drain`` and ``undrain``."""

import pathlib
from collections.abc import Sequence
from typing import Any, Final

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_operator import exit_codes
from tanagerbend_operator.access import Access, resolve_access
from tanagerbend_operator.client import DaemonClient, run_with_client
from tanagerbend_operator.fleet import DaemonView, FleetView, query_fleet
from tanagerbend_operator.output import (
    describe_refusal,
    write_error,
    write_json,
    write_line,
)

LIVE_STATE: Final = 'live'


def drain(
    host: str,
    *,
    force: bool = False,
    daemon: Sequence[str] = (),
    access: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Stop sending new work to an instance; running calls finish.

    The last live instance of a service is drained only with ``--force``.

    Exit codes: 0 draining; 1 the host is unknown, or has the last live
    instance of its service; 2 access is not valid; 3 the daemon does not
    answer.

    Examples::

        tanagerbend drain host-3
        tanagerbend drain host-3 --force --daemon 10.3.0.1:9003

    :param host: host name or operators' address.
    :param force: drain even the last live instance of a service.
    :param daemon: operators' addresses.
    :param access: TOML file with daemons and token.
    :param json: write JSON.
    """
    return _change_drain_state(host, '/drain', daemon, access, json, force)


def undrain(
    host: str,
    *,
    daemon: Sequence[str] = (),
    access: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Allow a drained instance to take new work again.

    Exit codes: 0 the instance is live; 1 the host is unknown, or is also
    draining for another reason; 2 access is not valid; 3 the daemon does
    not answer.

    Examples::

        tanagerbend undrain host-3

    :param host: host name or operators' address.
    :param daemon: operators' addresses.
    :param access: TOML file with daemons and token.
    :param json: write JSON.
    """
    return _change_drain_state(
        host, '/undrain', daemon, access, json, force=True
    )


def _change_drain_state(
    host: str,
    path: str,
    daemon: Sequence[str],
    access: pathlib.Path | None,
    as_json: bool,
    force: bool,
) -> int:
    resolved = resolve_access(daemon, access)
    match resolved:
        case Access(daemons=daemons):
            outcome = run_with_client(
                resolved,
                lambda client: _request_change(
                    client, daemons, host, path, force
                ),
            )
            expected = 'draining' if path == '/drain' else LIVE_STATE
            return _report_outcome(outcome, as_json, expected)
    for fault in resolved:
        write_error(str(fault))
    return exit_codes.USAGE_ERROR


async def _request_change(
    client: DaemonClient,
    daemons: tuple[str, ...],
    host: str,
    path: str,
    force: bool,
) -> Any:
    view = await query_fleet(client, daemons)
    target = view.find(host)
    if target is None:
        return f'{host} is not in the roster of the daemons that answered'
    if target.status is None:
        return Refusal(ResultCode.PEER_UNREACHABLE, target.error)
    if not force and is_last_live_instance(view, target):
        return (
            f'{host} is the last live instance of {target.service}; '
            'calls to the service would be refused (--force overrides this)'
        )
    return await client.request(target.address, path, method='POST')


def is_last_live_instance(view: FleetView, target: DaemonView) -> bool:
    """Return whether no other instance of the service is live."""
    return target.state == LIVE_STATE and not any(
        other.service == target.service
        and other.state == LIVE_STATE
        and other.host != target.host
        for other in view.daemons
    )


def _report_outcome(outcome: Any, as_json: bool, expected: str) -> int:
    match outcome:
        case Refusal():
            write_error(describe_refusal(outcome))
            return exit_codes.NO_ANSWER
        case str():
            write_error(outcome)
            return exit_codes.FAULT_FOUND
    if as_json:
        write_json(outcome)
    else:
        write_line(
            f'{outcome["host"]} is {outcome["state"]}, '
            f'{outcome["running"]} calls are running',
        )
        for reason in outcome['not_ready']:
            write_line(f'not ready: {reason}')
    return (
        exit_codes.OK
        if outcome['state'] == expected
        else exit_codes.FAULT_FOUND
    )
