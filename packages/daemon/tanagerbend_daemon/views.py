"""What a daemon tells operators about itself, as plain data."""

from collections import Counter
from typing import Any

import attrs

from tanagerbend_daemon.assembly import Parts
from tanagerbend_interfaces import MemberState
from tanagerbend_metrics import Event

NANOSECONDS = 1e9


def reasons_not_ready(parts: Parts) -> tuple[str, ...]:
    """Return why the daemon takes no calls; empty if it does."""
    reasons = []
    if parts.store.current is None:
        reasons.append('no configuration')
    state = parts.roster.own.state
    if state is not MemberState.LIVE:
        reasons.append(state.name.lower())
    reasons.extend(f'drain: {it}' for it in sorted(parts.drain.reasons))
    if not parts.guard.is_verified:
        reasons.append('unverified after a pause')
    return tuple(reasons)


def status(parts: Parts) -> dict[str, Any]:
    """Return the state of the daemon; times in seconds."""
    own = parts.roster.own
    current = parts.store.current
    reader = parts.reader
    last_read = reader.last_read
    return {
        'host': own.host,
        'service': own.service,
        'failure_domain': own.failure_domain,
        'region': own.region,
        'state': own.state.name.lower(),
        'not_ready': reasons_not_ready(parts),
        'incarnation': own.incarnation,
        'started': own.incarnation / NANOSECONDS,
        'wall': parts.timer.wall(),
        'version': None if current is None else str(current.version),
        'position': None if current is None else current.version.position,
        'adopted_at': adopted_at(parts),
        'provisional': parts.propagation.is_provisional,
        'reader': reader.is_reader,
        'service_available': reader.is_available,
        'last_read_age': (
            None if last_read is None else parts.timer.now() - last_read
        ),
        'running': parts.calls.owner.running,
        'instance': instance(parts),
        'members': members_by_state(parts),
    }


def instance(parts: Parts) -> dict[str, Any]:
    """Return the state of the instance and of what guards it."""
    owner = parts.calls.owner
    known = owner.quarantine.snapshot()
    return {
        'slots': parts.settings.instance.slots,
        'limit': owner.admission.limit.calls,
        'waiting': owner.admission.waiting,
        'orders_held': len(parts.orders.owner.ledger.records),
        'suspects': [entry.hex() for entry in known.suspected],
        'convicted': [entry.hex() for entry in known.convicted],
    }


def members_by_state(parts: Parts) -> dict[str, int]:
    """Return the number of members in each state."""
    found = Counter(
        member.state.name.lower() for member in parts.roster.members.values()
    )
    return dict(found)


def roster(parts: Parts) -> list[dict[str, Any]]:
    """Return the member records, ordered by failure domain and host."""
    members = sorted(
        parts.roster.members.values(),
        key=lambda member: (member.failure_domain, member.host),
    )
    return [
        {**attrs.asdict(member), 'state': member.state.name.lower()}
        for member in members
    ]


def gauges(parts: Parts) -> dict[tuple[str, str], dict[str, float]]:
    """Return the gauges of the Prometheus text, by name and label."""
    found = status(parts)
    numbers = {
        'ready': not found['not_ready'],
        'provisional': found['provisional'],
        'reader': found['reader'],
        'service_available': found['service_available'],
        'calls_running': found['running'],
        'calls_waiting': found['instance']['waiting'],
        'calls_limit': found['instance']['limit'],
        'orders_held': found['instance']['orders_held'],
    }
    if found['last_read_age'] is not None:
        numbers['last_read_age_seconds'] = found['last_read_age']
    table = {(name, ''): {'': float(it)} for name, it in numbers.items()}
    table['members', 'state'] = found['members']
    if found['adopted_at'] is not None:
        table['version_adopted_timestamp_seconds', 'version'] = {
            found['version']: found['adopted_at'],
        }
    return table


def adopted_at(parts: Parts) -> float | None:
    """Return when the version in force was adopted, epoch seconds.

    Explanation
    ===========

    A reader adopts a version in the moment in which its read returns.
    The earliest adoption in the fleet is therefore the publication as
    the readers saw it, and the latest one minus the earliest one is the
    convergence time, as exact as the clocks of the hosts agree.
    """
    current = parts.store.current
    if current is None:
        return None
    entry = parts.recorder.journal.latest(
        Event.VERSION_ADOPTED,
        str(current.version),
    )
    return None if entry is None else entry.wall
