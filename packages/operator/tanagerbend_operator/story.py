"""The story of a night, put together from the journals of a fleet."""

from collections import Counter
from typing import Any, Final

import attrs

from tanagerbend_metrics import Event
from tanagerbend_metrics.names import BACKEND_CRASHES, ORDERS_STARTED_AGAIN
from tanagerbend_operator.fleet import FleetView

HOUR: Final = 3600.0
WALL: Final = 'wall'
# Told by sections of their own, or of no interest on their own.
TOLD: Final = frozenset((Event.VERSION_ADOPTED, Event.CLAIM_REFUTED))
QUIET: Final = frozenset(
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
class Spread:
    """How a version came into force.

    Parameters
    ==========

    version : str
    first : float
        Earliest adoption, epoch seconds: the moment in which a reader's
        read returned it.
    seconds : float
        From the earliest to the latest adoption, over the daemons that
        were up at the earliest one.
    daemons, late_starts : int
        Daemons that adopted it; those of them that started afterwards.
    """

    version: str
    first: float
    seconds: float
    daemons: int
    late_starts: int


@attrs.frozen
class Happening:
    """Equal entries of several journals as one line of the page.

    Parameters
    ==========

    first, last : float
        Epoch seconds of the first and the last entry.
    event, subject, reason : str
        The reason is that of the first entry.
    daemons : tuple of str
        Hosts whose journal has it.
    """

    first: float
    last: float
    event: str
    subject: str
    reason: str
    daemons: tuple[str, ...]


@attrs.frozen
class Story:
    """Everything on the page.

    Parameters
    ==========

    begin, end : float
        Epoch seconds.
    asked : int
        Daemons that answered.
    unreachable : tuple of str
    restarted : tuple of str
        Daemons that started within the time; their journal begins there.
    spreads : tuple of Spread
    happenings : tuple of Happening
    refusals : dict of str to int
        By name of the code, within the time.
    hours : dict of float to int
        Refusals by the hour, epoch seconds of its beginning.
    crashes, orders_started_again : int
        Since the start of each daemon.
    """

    begin: float
    end: float
    asked: int
    unreachable: tuple[str, ...]
    restarted: tuple[str, ...]
    spreads: tuple[Spread, ...]
    happenings: tuple[Happening, ...]
    refusals: dict[str, int]
    hours: dict[float, int]
    crashes: int
    orders_started_again: int

    @property
    def needs_attention(self) -> bool:
        """Tell whether the page has anything that people should look at.

        A restart counts, because a part of the story is lost with it.
        """
        counts = (
            self.unreachable,
            self.restarted,
            self.crashes,
            self.orders_started_again,
        )
        return any(counts) or any(
            happening.event not in QUIET for happening in self.happenings
        )


def tell(
    view: FleetView,
    period: tuple[float, float],
    journals: list[Record],
    counters: list[Record],
) -> Story:
    """Put the story together.

    Parameters
    ==========

    view : FleetView
    period : pair of float
        Begin and end in epoch seconds.
    journals, counters : list of dict
        Answers of the endpoints ``/journal`` and ``/counters``.
    """
    begin, end = period
    started = {
        seen.host: seen.status['started']
        for seen in view.answered
        if seen.status is not None
    }
    entries = _entries(journals, begin)
    refusals, hours = _refusals(counters, begin)
    return Story(
        begin=begin,
        end=end,
        asked=len(view.answered),
        unreachable=_unreachable(view),
        restarted=tuple(host for host, at in started.items() if at > begin),
        spreads=_spreads(entries, started),
        happenings=_happenings(entries),
        refusals=refusals,
        hours=hours,
        crashes=_total(counters, BACKEND_CRASHES),
        orders_started_again=_total(counters, ORDERS_STARTED_AGAIN),
    )


def _entries(journals: list[Record], begin: float) -> list[Record]:
    """Return the entries of all journals in the order of their time."""
    entries = [
        {'host': journal['host'], **entry}
        for journal in journals
        for entry in journal['entries']
        if begin <= entry[WALL]
    ]
    return sorted(entries, key=lambda entry: entry[WALL])


def _unreachable(view: FleetView) -> tuple[str, ...]:
    return tuple(
        seen.host or seen.address
        for seen in view.daemons
        if seen.status is None and not seen.is_gone
    )


def _spreads(
    entries: list[Record],
    started: dict[str, float],
) -> tuple[Spread, ...]:
    adoptions: dict[str, list[Record]] = {}
    for entry in entries:
        if entry['event'] == Event.VERSION_ADOPTED:
            adoptions.setdefault(entry['subject'], []).append(entry)
    found = []
    for version, adopted in adoptions.items():
        first = adopted[0][WALL]
        times = [
            entry[WALL]
            for entry in adopted
            if started.get(entry['host'], first) <= first
        ]
        hosts = {entry['host'] for entry in adopted}
        late = [host for host in hosts if started.get(host, first) > first]
        seconds = max(times, default=first) - first
        found.append(Spread(version, first, seconds, len(hosts), len(late)))
    return tuple(found)


def _happenings(entries: list[Record]) -> tuple[Happening, ...]:
    groups: dict[tuple[str, str], list[Record]] = {}
    for entry in entries:
        if entry['event'] not in TOLD:
            key = (entry['event'], entry['subject'])
            groups.setdefault(key, []).append(entry)
    return tuple(
        Happening(
            group[0][WALL],
            group[-1][WALL],
            event,
            subject,
            group[0]['reason'],
            tuple(sorted({entry['host'] for entry in group})),
        )
        for (event, subject), group in groups.items()
    )


def _refusals(
    counters: list[Record],
    begin: float,
) -> tuple[dict[str, int], dict[float, int]]:
    codes: Counter[str] = Counter()
    hours: Counter[float] = Counter()
    for answer in counters:
        for minute in answer['refusals']:
            if minute[WALL] >= begin:
                codes.update(minute['counts'])
                hour = minute[WALL] - minute[WALL] % HOUR
                hours[hour] += sum(minute['counts'].values())
    return dict(codes.most_common()), dict(sorted(hours.items()))


def _total(counters: list[Record], name: str) -> int:
    return sum(
        sum(answer['counters'].get(name, {}).values()) for answer in counters
    )
