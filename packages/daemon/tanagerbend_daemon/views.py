"""State of a daemon for operators, as plain data."""

from collections import Counter
from typing import Any

import attrs

from tanagerbend_daemon.assembly import Parts
from tanagerbend_interfaces import MemberState
from tanagerbend_metrics import Event

NANOSECONDS_PER_SECOND = 1e9


def reasons_not_ready(parts: Parts) -> tuple[str, ...]:
    """Return why the daemon accepts no calls; empty if it does."""
    reasons = []
    if parts.store.current is None:
        reasons.append('no configuration')
    state = parts.roster.own.state
    if state is not MemberState.LIVE:
        reasons.append(state.name.lower())
    reasons.extend(f'drain: {reason}' for reason in sorted(parts.drain.reasons))
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
        'started': own.incarnation / NANOSECONDS_PER_SECOND,
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
    """Return the state of the instance, its admission and quarantine."""
    owner = parts.calls.owner
    quarantined = owner.quarantine.snapshot()
    return {
        'slots': parts.settings.instance.slots,
        'limit': owner.admission.limit.calls,
        'waiting': owner.admission.waiting,
        'orders_held': len(parts.orders.owner.ledger.records),
        'suspects': [entry.hex() for entry in quarantined.suspected],
        'convicted': [entry.hex() for entry in quarantined.convicted],
    }


def members_by_state(parts: Parts) -> dict[str, int]:
    """Return the number of members in each state."""
    counts = Counter(
        member.state.name.lower() for member in parts.roster.members.values()
    )
    return dict(counts)


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
    daemon_status = status(parts)
    numbers = {
        'ready': not daemon_status['not_ready'],
        'provisional': daemon_status['provisional'],
        'reader': daemon_status['reader'],
        'service_available': daemon_status['service_available'],
        'calls_running': daemon_status['running'],
        'calls_waiting': daemon_status['instance']['waiting'],
        'calls_limit': daemon_status['instance']['limit'],
        'orders_held': daemon_status['instance']['orders_held'],
    }
    if daemon_status['last_read_age'] is not None:
        numbers['last_read_age_seconds'] = daemon_status['last_read_age']
    table = {
        (name, ''): {'': float(number)} for name, number in numbers.items()
    }
    table['members', 'state'] = daemon_status['members']
    if daemon_status['adopted_at'] is not None:
        table['version_adopted_timestamp_seconds', 'version'] = {
            daemon_status['version']: daemon_status['adopted_at'],
        }
    return table


def adopted_at(parts: Parts) -> float | None:
    """Return when the version in force was adopted, epoch seconds.

    Explanation
    ===========

    A reader adopts a version as soon as its read returns.  The earliest
    adoption in the fleet is therefore the publication as seen by the
    readers, and the latest minus the earliest adoption is the convergence
    time, to the accuracy with which the clocks of the hosts agree.
    """
    current = parts.store.current
    if current is None:
        return None
    entry = parts.recorder.journal.latest(
        Event.VERSION_ADOPTED,
        str(current.version),
    )
    return None if entry is None else entry.wall
