"""Requests that reach instances, and which of them repeat earlier work."""

import bisect
import math
from typing import Final

import attrs

from tanagerbend_routing import RetryBudgetSettings

# Spans before a window from which its requests may be counted instead, in
# windows: a budget covers repeats of requests that came before them.
EARLIER: Final = (0.0, 0.5, 1.0)


@attrs.define
class ServiceArrivals:
    """Requests for one service and repeats that reached its instances.

    Parameters
    ==========

    requested, repeated : list of float
        Seconds, in their order.
    """

    requested: list[float] = attrs.field(factory=list)
    repeated: list[float] = attrs.field(factory=list)

    def beyond(self, terms: RetryBudgetSettings) -> float:
        """Return the most repeats of a window beyond the budget.

        Negative if the budget is kept in each window; without repeats it
        is what a window without requests allows.
        """
        worst = -math.inf if self.repeated else -terms.extra
        for number, begin in enumerate(self.repeated):
            end = begin + terms.window
            repeats = bisect.bisect_left(self.repeated, end) - number
            requests = max(
                _count(self.requested, begin - part * terms.window, terms)
                for part in EARLIER
            )
            allowed = terms.ratio * requests + terms.extra
            worst = max(worst, repeats - allowed)
        return worst


def _count(times: list[float], begin: float, terms: RetryBudgetSettings) -> int:
    end = begin + terms.window
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)


@attrs.define
class Arrivals:
    """Tells repeats from first arrivals over the whole fleet.

    The first arrival of a request at an instance is none, whether the
    instance runs it or not; later ones are.  Calls of a run that is a
    repeat are repeats as well, at any depth.

    Examples
    ========

    >>> arrivals = Arrivals()
    >>> arrivals.reach('cart', '1', 0.0), arrivals.reach('cart', '1', 0.1)
    (False, True)
    >>> arrivals.called('1.cost', is_repeat=True)
    >>> arrivals.reach('price', '1.cost', 0.2)
    True

    Parameters
    ==========

    services : dict of str to ServiceArrivals
    known, called_again : set of str
        Requests that were sent to an instance, and calls of repeats.
    caused : int
        Calls of repeats that reached an instance.
    """

    services: dict[str, ServiceArrivals] = attrs.field(factory=dict)
    known: set[str] = attrs.field(factory=set)
    called_again: set[str] = attrs.field(factory=set)
    caused: int = 0

    def requested(self, service: str, now: float) -> None:
        """Count a request for a service, whether it arrives or not."""
        self._of(service).requested.append(now)

    def called(self, identifier: str, *, is_repeat: bool) -> None:
        """Note a call that a run makes."""
        if is_repeat:
            self.called_again.add(identifier)

    def reach(self, service: str, identifier: str, now: float) -> bool:
        """Count an arrival at an instance; True if it is a repeat."""
        is_caused = identifier in self.called_again
        is_sent_again = identifier in self.known
        self.known.add(identifier)
        self.caused += is_caused and not is_sent_again
        is_repeat = is_caused or is_sent_again
        if is_repeat:
            self._of(service).repeated.append(now)
        return is_repeat

    def beyond(self, terms: RetryBudgetSettings) -> dict[str, int]:
        """Return the repeats beyond the budget of each service."""
        return {
            service: round(found.beyond(terms))
            for service, found in self.services.items()
        }

    def _of(self, service: str) -> ServiceArrivals:
        return self.services.setdefault(service, ServiceArrivals())
