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
        Whether the work is served before all ranks on that day.
    method : str
        HTTP method, or an empty string for any.
    path : str
        Prefix of the path, which selects the work class.
    target_ms : int
        Time within which an answer counts as on time.
    deadline_ms : int
        Time after which the caller stops waiting.
    floor_percent : int
        Share of an instance's slot time that is reserved for the work's
        rank during a flood of other ranks.
    order : bool
        Whether the work is not idempotent and must run at most once.
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
        """Rank used by admission control: 0 for urgent work."""
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
        return frozenset(work_class.service for work_class in self.work)

    @cached_property
    def by_service(self) -> dict[str, tuple[WorkClass, ...]]:
        """Work classes of each service, in the order of the rows."""
        classes: dict[str, list[WorkClass]] = {}
        for work_class in self.work:
            classes.setdefault(work_class.service, []).append(work_class)
        return {service: tuple(rows) for service, rows in classes.items()}

    def of_service(self, service: str) -> tuple[WorkClass, ...]:
        """Return the work classes of one service."""
        return self.by_service.get(service, ())

    def floors_of(self, service: str) -> dict[int, float]:
        """Return the floor of each effective rank as a share, 0 to 1.

        The floor of a rank is the highest of its work classes.
        """
        floors: dict[int, float] = {}
        for work_class in self.of_service(service):
            rank = work_class.effective_rank
            share = work_class.floor_percent / FULL_PERCENT
            floors[rank] = max(floors.get(rank, 0), share)
        return floors
