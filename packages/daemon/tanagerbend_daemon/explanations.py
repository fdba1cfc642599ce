"""Explanations of routes and order keys for operators."""

from typing import Any, Final

import attrs

from tanagerbend_daemon.assembly import Parts
from tanagerbend_interfaces import Member, MemberState
from tanagerbend_model import Refusal, ResultCode, WorkClass
from tanagerbend_model.faults import FaultList
from tanagerbend_model.spreadsheet import read_rows
from tanagerbend_orders import OrderKey
from tanagerbend_routing import Route
from tanagerbend_routing.stats import InstanceStats

STATE_REASONS: Final = {
    MemberState.STARTING: 'not used: starting, holds no sheet yet',
    MemberState.LIVE: 'not used: the host list says that it leaves',
    MemberState.DRAINING: 'not used: draining, takes no new work',
    MemberState.SUSPECTED: 'not used: unreachable, and others are live',
    MemberState.GONE: 'not used: gone',
}


def explain(
    parts: Parts,
    service: str,
    method: str,
    path: str,
) -> dict[str, Any] | Refusal:
    """Return the row that matches a request and the use of each instance."""
    table = parts.calls.table
    current = parts.store.current
    if table is None or current is None:
        reason = 'no sheet is in force yet'
        return Refusal(ResultCode.NO_CONFIGURATION, reason)
    route = table.match(service, method, path)
    match route:
        case Refusal():
            return route
    return {
        'version': str(table.version),
        'row': sheet_row(current.content, route.work),
        'work': attrs.asdict(route.work),
        'instances': [
            {
                'host': member.host,
                'failure_domain': member.failure_domain,
                'state': member.state.name.lower(),
                'why': _usage_reason(parts, route, member),
            }
            for member in parts.roster.members.values()
            if member.service == service
        ],
    }


def _usage_reason(parts: Parts, route: Route, member: Member) -> str:
    routed_hosts = {instance.host for instance in route.instances}
    if member.host not in routed_hosts:
        return STATE_REASONS[member.state]
    now = parts.timer.now()
    stats = parts.calls.balancer.stats.get(member.host, InstanceStats(0))
    if now < stats.ejected_until:
        seconds = stats.ejected_until - now
        return f'used last: failed calls from here, for {seconds:.0f} s more'
    if member.is_suspected_or_gone:
        return 'used: unreachable, but too few others are live'
    why = 'used: live, in another failure domain'
    if member.failure_domain == parts.roster.own.failure_domain:
        why = 'used first: live, in the own failure domain'
    if now < stats.warm_at:
        return f'{why}; slow start with {stats.weight(now):.0%} of its share'
    return f'{why}; {stats.outstanding} calls from here'


def sheet_row(content: bytes, work: WorkClass) -> int:
    r"""Return the row number of a work class, as a spreadsheet shows it.

    Examples
    ========

    >>> sheet = b'\r\nService,Work,rank\r\nartwork,plates,3\r\n'
    >>> sheet_row(sheet, WorkClass('artwork', 'plates', rank=3))
    3
    """
    columns: list[str] = []
    for row in read_rows(content, FaultList()):
        if not columns:
            names = [cell.lower() for cell in row.cells]
            columns = names if 'work' in names else []
            continue
        cells = dict(zip(columns, row.cells, strict=False))
        if (cells['service'], cells['work']) == (work.service, work.work):
            return row.number
    return 0


def explain_order(parts: Parts, token: str) -> dict[str, Any] | Refusal:
    """Return the owner of an order key and the outcome it has recorded.

    The outcome is included only if this daemon is the owner.

    Parameters
    ==========

    parts : Parts
    token : str
        Value of ``Idempotency-Key``.
    """
    key = parts.orders.issuer.read(token)
    match key:
        case Refusal():
            return key
    explanation = {
        'service': key.service,
        'host': key.host,
        'incarnation': key.incarnation,
        'expiry': key.expiry,
        'is_owner': _is_owner(parts, key),
    }
    if not explanation['is_owner']:
        return explanation
    outcome = parts.orders.owner.ledger.status(key)
    match outcome:
        case Refusal(code=code, reason=reason, ran=ran):
            return {
                **explanation,
                'outcome': code.name,
                'reason': reason,
                'ran': ran.value,
            }
    reason = f'answered with status {outcome.status}'
    return {**explanation, 'outcome': 'OK', 'reason': reason, 'ran': 'yes'}


def _is_owner(parts: Parts, key: OrderKey) -> bool:
    own = parts.orders.owner.own
    return (key.host, key.incarnation) == (own.host, own.incarnation)
