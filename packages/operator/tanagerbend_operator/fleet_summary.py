"""Summary of a period, built from the journals and counters of a fleet."""

from collections import Counter
from typing import Any, Final

import attrs

from tanagerbend_metrics import Event
from tanagerbend_metrics.names import BACKEND_CRASHES, ORDERS_STARTED_AGAIN
from tanagerbend_operator.fleet import FleetView

HOUR_SECONDS: Final = 3600.0
WALL_KEY: Final = 'wall'
# Adoptions have their own section; refuted claims need no line.
UNGROUPED_EVENTS: Final = frozenset(
    (Event.VERSION_ADOPTED, Event.CLAIM_REFUTED)
)
ROUTINE_EVENTS: Final = frozenset(
    (
        Event.VERSION_ADOPTED,
        Event.CLAIM_REFUTED,
        Event.BOOTSTRAPPED,
        Event.READER_ROLE_TAKEN,
        Event.READER_ROLE_LEFT,
        Event.SERVICE_AVAILABLE,
        Event.DRAIN_ENDED,
        Event.REFUSALS_ENDED,
        Event.FLOOD_ENDED,
        Event.SHORTAGE_ENDED,
    ),
)

Record = dict[str, Any]


@attrs.frozen
class VersionRollout:
    """Adoption of one version by the fleet.

    Parameters
    ==========

    version : str
    first : float
        Earliest adoption in epoch seconds: when a read by a reader returned
        the version.
    seconds : float
        Time from the earliest to the latest adoption, over the daemons
        that had started before the earliest.
    daemons, late_starts : int
        Number of daemons that adopted the version, and how many of them
        started after the earliest adoption.
    """

    version: str
    first: float
    seconds: float
    daemons: int
    late_starts: int


@attrs.frozen
class EventGroup:
    """Entries of several journals with the same event and subject.

    Parameters
    ==========

    first, last : float
        Epoch seconds of the first and the last entry.
    event, subject, reason : str
        The reason is taken from the first entry.
    daemons : tuple of str
        Hosts whose journals have such an entry.
    """

    first: float
    last: float
    event: str
    subject: str
    reason: str
    daemons: tuple[str, ...]


@attrs.frozen
class FleetSummary:
    """Contents of the report.

    Parameters
    ==========

    begin, end : float
        Epoch seconds.
    asked : int
        Number of daemons that answered.
    unreachable : tuple of str
    restarted : tuple of str
        Daemons that started within the period, without earlier entries.
    spreads : tuple of VersionRollout
    happenings : tuple of EventGroup
    refusals : dict of str to int
        Number of refusals within the period, by name of the code.
    hours : dict of float to int
        Number of refusals by the start of the hour in epoch seconds.
    crashes, orders_started_again : int
        Totals since the start of each daemon.
    """

    begin: float
    end: float
    asked: int
    unreachable: tuple[str, ...]
    restarted: tuple[str, ...]
    spreads: tuple[VersionRollout, ...]
    happenings: tuple[EventGroup, ...]
    refusals: dict[str, int]
    hours: dict[float, int]
    crashes: int
    orders_started_again: int

    @property
    def needs_attention(self) -> bool:
        """Return whether anything in the summary needs attention.

        A restart does, because the journal of the daemon was lost.
        """
        counts = (
            self.unreachable,
            self.restarted,
            self.crashes,
            self.orders_started_again,
        )
        return any(counts) or any(
            event_group.event not in ROUTINE_EVENTS
            for event_group in self.happenings
        )


def build_summary(
    view: FleetView,
    period: tuple[float, float],
    journals: list[Record],
    counters: list[Record],
) -> FleetSummary:
    """Build the summary of a period.

    Parameters
    ==========

    view : FleetView
    period : pair of float
        Beginning and end in epoch seconds.
    journals, counters : list of dict
        Answers of the endpoints ``/journal`` and ``/counters``.
    """
    begin, end = period
    start_times = {
        daemon.host: daemon.status['started']
        for daemon in view.answered
        if daemon.status is not None
    }
    entries = _merge_journals(journals, begin)
    refusals, hours = _count_refusals(counters, begin)
    return FleetSummary(
        begin=begin,
        end=end,
        asked=len(view.answered),
        unreachable=_unreachable_hosts(view),
        restarted=tuple(host for host, at in start_times.items() if at > begin),
        spreads=_version_rollouts(entries, start_times),
        happenings=_group_events(entries),
        refusals=refusals,
        hours=hours,
        crashes=_sum_counter(counters, BACKEND_CRASHES),
        orders_started_again=_sum_counter(counters, ORDERS_STARTED_AGAIN),
    )


def _merge_journals(journals: list[Record], begin: float) -> list[Record]:
    """Return the entries of all journals since a time, sorted by time."""
    entries = [
        {'host': journal['host'], **entry}
        for journal in journals
        for entry in journal['entries']
        if begin <= entry[WALL_KEY]
    ]
    return sorted(entries, key=lambda entry: entry[WALL_KEY])


def _unreachable_hosts(view: FleetView) -> tuple[str, ...]:
    return tuple(
        daemon.host or daemon.address
        for daemon in view.daemons
        if daemon.status is None and not daemon.is_gone
    )


def _version_rollouts(
    entries: list[Record],
    start_times: dict[str, float],
) -> tuple[VersionRollout, ...]:
    adoptions: dict[str, list[Record]] = {}
    for entry in entries:
        if entry['event'] == Event.VERSION_ADOPTED:
            adoptions.setdefault(entry['subject'], []).append(entry)
    rollouts = []
    for version, adopted in adoptions.items():
        first = adopted[0][WALL_KEY]
        times = [
            entry[WALL_KEY]
            for entry in adopted
            if start_times.get(entry['host'], first) <= first
        ]
        hosts = {entry['host'] for entry in adopted}
        late = [host for host in hosts if start_times.get(host, first) > first]
        seconds = max(times, default=first) - first
        rollouts.append(
            VersionRollout(version, first, seconds, len(hosts), len(late))
        )
    return tuple(rollouts)


def _group_events(entries: list[Record]) -> tuple[EventGroup, ...]:
    groups: dict[tuple[str, str], list[Record]] = {}
    for entry in entries:
        if entry['event'] not in UNGROUPED_EVENTS:
            key = (entry['event'], entry['subject'])
            groups.setdefault(key, []).append(entry)
    return tuple(
        EventGroup(
            group[0][WALL_KEY],
            group[-1][WALL_KEY],
            event,
            subject,
            group[0]['reason'],
            tuple(sorted({entry['host'] for entry in group})),
        )
        for (event, subject), group in groups.items()
    )


def _count_refusals(
    counters: list[Record],
    begin: float,
) -> tuple[dict[str, int], dict[float, int]]:
    codes: Counter[str] = Counter()
    hours: Counter[float] = Counter()
    for answer in counters:
        for minute in answer['refusals']:
            if minute[WALL_KEY] >= begin:
                codes.update(minute['counts'])
                hour = minute[WALL_KEY] - minute[WALL_KEY] % HOUR_SECONDS
                hours[hour] += sum(minute['counts'].values())
    return dict(codes.most_common()), dict(sorted(hours.items()))


def _sum_counter(counters: list[Record], name: str) -> int:
    return sum(
        sum(answer['counters'].get(name, {}).values()) for answer in counters
    )
