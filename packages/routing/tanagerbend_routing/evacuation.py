"""Evacuation of failure domains: which share of the work they still get.

The operator asks that nothing more is sent to the instances of a failure
domain until the order is taken back.  Each daemon that chooses instances moves
its own requests away over a short time, and back over one, so that the queues
and load reports of the instances follow.  The owner beside
an instance refuses what daemons without the news still send.
"""

import math
from collections.abc import Iterable
from typing import Final

import attrs

from tanagerbend_timer import Timer

# Platforms allow five seconds from the acknowledged order to the last request
# that arrives.  The news takes up to 2.5 s, like that of a configuration.
# Requests move away within this time, in which owners have answered several
# requests and so reported how their queues grew.
DEPARTURE_SECONDS: Final = 1.0
# Time from the news to the refusals of the owner.  Longer than the move, so
# that only requests of daemons without the news are refused; short enough to
# meet the five seconds.
REFUSAL_DELAY_SECONDS: Final = 1.5
# Requests return over this time, since all daemons would choose the idle
# instances first.  Longer, callers are refused while there is room; cold
# instances have a limit of their own.
RETURN_SECONDS: Final = 1.0
# Fractional part of the golden ratio: its multiples modulo 1 are spread evenly
# over the unit interval, so that a share holds for a few requests already.
DRAW_STEP: Final = 0.6180339887498949


@attrs.frozen
class EvacuationOrder:
    """An order to evacuate a failure domain, or its end.

    Parameters
    ==========

    failure_domain : str
    is_in_force : bool
    """

    failure_domain: str
    is_in_force: bool


@attrs.frozen
class DomainEvacuation:
    """Evacuation of one failure domain, or the return from it.

    Parameters
    ==========

    is_ordered : bool
        Whether the order is in force; otherwise requests return.
    since : float
        Monotonic seconds at which this daemon learned of the last change.
    initial_share : float
        Share of its usual requests that the domain got then, from 0 to 1.
    """

    is_ordered: bool
    since: float
    initial_share: float

    def share(self, now: float) -> float:
        """Return the share of its usual requests that the domain gets now."""
        passed = now - self.since
        if self.is_ordered:
            return max(self.initial_share - passed / DEPARTURE_SECONDS, 0.0)
        return min(self.initial_share + passed / RETURN_SECONDS, 1.0)

    def refuses_work(self, now: float) -> bool:
        """Return whether owners in the domain refuse requests."""
        if not self.is_ordered:
            return False
        is_immediate = not self.initial_share
        return is_immediate or now - self.since >= REFUSAL_DELAY_SECONDS


class Evacuations:
    """Failure domains that are evacuated, or to which requests return.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> evacuations = Evacuations(ManualTimer())
    >>> evacuations.replace({'north'})
    (['north'], [])
    >>> evacuations.excluded(), evacuations.refuses_work('north')
    (frozenset({'north'}), True)
    >>> evacuations.replace(())
    ([], ['north'])
    >>> evacuations.refuses_work('north')
    False

    Parameters
    ==========

    timer : Timer

    Attributes
    ==========

    domains : dict of str to DomainEvacuation
        Only those whose share differs from 1.
    ordered : frozenset of str
        Failure domains whose order is in force.
    """

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.domains: dict[str, DomainEvacuation] = {}
        self.ordered: frozenset[str] = frozenset()
        self.is_started = False
        self.draw = 0.0

    def replace(self, ordered: Iterable[str]) -> tuple[list[str], list[str]]:
        """Set the orders in force; return the added and the lifted domains.

        Those of the first call may have been in force for long, so their
        requests don't move over a time.
        """
        now = self.timer.now()
        after = frozenset(ordered)
        added = sorted(after - self.ordered)
        lifted = sorted(self.ordered - after)
        for domain in (*added, *lifted):
            self.domains[domain] = DomainEvacuation(
                domain in after, now, self.share(domain, now)
            )
        self.ordered = after
        self.is_started = True
        return added, lifted

    def share(self, domain: str, now: float) -> float:
        """Return the share of its usual requests that a domain gets now."""
        found = self.domains.get(domain)
        if found is None:
            return 1.0 if self.is_started else 0.0
        return found.share(now)

    def excluded(self) -> frozenset[str]:
        """Return the domains that the next request must not be sent to.

        Of several consecutive requests, each domain gets its share.
        """
        now = self.timer.now()
        self._forget_returned(now)
        self.draw = math.fmod(self.draw + DRAW_STEP, 1)
        return frozenset(
            domain
            for domain, found in self.domains.items()
            if found.share(now) <= self.draw
        )

    def closed(self) -> frozenset[str]:
        """Return the domains that get nothing more, whatever else is left."""
        now = self.timer.now()
        return frozenset(
            domain
            for domain in self.ordered
            if not self.domains[domain].share(now)
        )

    def refuses_work(self, domain: str) -> bool:
        """Return whether the owners of a domain refuse requests."""
        found = self.domains.get(domain)
        return found is not None and found.refuses_work(self.timer.now())

    def _forget_returned(self, now: float) -> None:
        returned = [
            domain
            for domain, found in self.domains.items()
            if not found.is_ordered and found.share(now) >= 1
        ]
        for domain in returned:
            self.domains.pop(domain)
