"""Work classes and the sheet that lists them."""

from functools import cached_property
from typing import Final

import attrs

URGENT_RANK: Final = 0
LOWEST_RANK: Final = 9
FULL_PERCENT: Final = 100


@attrs.frozen
class WorkClass:
    """One row of the sheet: a kind of work of one service.

    Examples
    ========

    >>> WorkClass('artwork', 'colour', rank=2, urgent=True).effective_rank
    0

    Parameters
    ==========

    service : str
    work : str
        Name of the kind of work, unique within the service.
    rank : int
        1 (most urgent) to 9.
    urgent : bool
        Urgent work is served before every rank that day.
    method : str
        HTTP method, or an empty string for any.
    path : str
        Prefix of the path, which selects the work class.
    target_ms : int
        Time within which an answer is counted as on time.
    deadline_ms : int
        Time after which the caller no longer waits.
    floor_percent : int
        Share of an instance's slot time that a flood cannot take away.
    order : bool
        The work is not idempotent and runs at most once.
    """

    service: str
    work: str
    rank: int
    urgent: bool = False
    method: str = ''
    path: str = '/'
    target_ms: int = 500
    deadline_ms: int = 5000
    floor_percent: int = 0
    order: bool = False

    @property
    def effective_rank(self) -> int:
        """Rank used by admission: 0 for urgent work."""
        return URGENT_RANK if self.urgent else self.rank


@attrs.frozen(slots=False)
class Sheet:
    """Immutable content of an accepted sheet.

    Parameters
    ==========

    edition : tuple of int
        Year, month, day and serial number; empty if the sheet has none.
    work : tuple of WorkClass
        In the order of the rows.
    """

    edition: tuple[int, ...]
    work: tuple[WorkClass, ...]

    @cached_property
    def services(self) -> frozenset[str]:
        """Names of all services of the sheet."""
        return frozenset(entry.service for entry in self.work)

    @cached_property
    def by_service(self) -> dict[str, tuple[WorkClass, ...]]:
        """Work classes of each service, in the order of the rows."""
        found: dict[str, list[WorkClass]] = {}
        for entry in self.work:
            found.setdefault(entry.service, []).append(entry)
        return {service: tuple(rows) for service, rows in found.items()}

    def of_service(self, service: str) -> tuple[WorkClass, ...]:
        """Return the work classes of one service."""
        return self.by_service.get(service, ())

    def floors_of(self, service: str) -> dict[int, float]:
        """Return the floor of each effective rank as a share, 0 to 1.

        A rank has the highest floor of its work classes.
        """
        floors: dict[int, float] = {}
        for entry in self.of_service(service):
            rank = entry.effective_rank
            share = entry.floor_percent / FULL_PERCENT
            floors[rank] = max(floors.get(rank, 0), share)
        return floors
