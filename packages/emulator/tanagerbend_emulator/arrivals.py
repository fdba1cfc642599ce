"""Counts requests and repeats over all instances of a deployment."""

import bisect
import math
from typing import Final

import attrs

from tanagerbend_routing import RetryBudgetSettings

# Shifts, in windows, of the window in which requests are counted against
# the repeats: repeats may draw on the budget of requests that came earlier.
WINDOW_SHIFTS: Final = (0.0, 0.5, 1.0)


@attrs.define
class ServiceArrivals:
    """Times of the requests for a service and of repeats at its instances.

    Parameters
    ==========

    request_times, repeat_times : list of float
        Seconds, in ascending order.
    """

    request_times: list[float] = attrs.field(factory=list)
    repeat_times: list[float] = attrs.field(factory=list)

    def budget_excess(self, budget: RetryBudgetSettings) -> float:
        """Return the largest excess of repeats over the budget of a window.

        The value is negative if no window exceeds the budget. Without
        repeats, its magnitude is the budget of a window without requests.
        """
        worst = -math.inf if self.repeat_times else -budget.extra
        for number, begin in enumerate(self.repeat_times):
            end = begin + budget.window
            repeats = bisect.bisect_left(self.repeat_times, end) - number
            requests = max(
                _count_in_window(
                    self.request_times, begin - shift * budget.window, budget
                )
                for shift in WINDOW_SHIFTS
            )
            allowed = budget.ratio * requests + budget.extra
            worst = max(worst, repeats - allowed)
        return worst


def _count_in_window(
    times: list[float], begin: float, budget: RetryBudgetSettings
) -> int:
    end = begin + budget.window
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)


@attrs.define
class Arrivals:
    """Distinguishes repeats from first arrivals over the whole fleet.

    The first arrival of a request at any instance is not a repeat, whether
    or not the instance runs it; every later arrival is. Calls made by a
    repeated run are repeats as well, at any depth.

    Examples
    ========

    >>> arrivals = Arrivals()
    >>> [arrivals.record_arrival('cart', '1', now) for now in (0.0, 0.1)]
    [False, True]
    >>> arrivals.record_call('1.cost', is_repeat=True)
    >>> arrivals.record_arrival('price', '1.cost', 0.2)
    True

    Parameters
    ==========

    services : dict of str to ServiceArrivals
    seen, caused_calls : set of str
        Identifiers of requests that reached an instance, and of calls made
        by repeated runs.
    caused_repeats : int
        Calls made by repeated runs that reached an instance.
    """

    services: dict[str, ServiceArrivals] = attrs.field(factory=dict)
    seen: set[str] = attrs.field(factory=set)
    caused_calls: set[str] = attrs.field(factory=set)
    caused_repeats: int = 0

    def record_request(self, service: str, now: float) -> None:
        """Record a request, whether or not it reaches an instance."""
        self._service(service).request_times.append(now)

    def record_call(self, identifier: str, *, is_repeat: bool) -> None:
        """Record a call; ``is_repeat`` tells whether its run is a repeat."""
        if is_repeat:
            self.caused_calls.add(identifier)

    def record_arrival(self, service: str, identifier: str, now: float) -> bool:
        """Record an arrival at an instance; return whether it is a repeat."""
        is_caused = identifier in self.caused_calls
        is_resent = identifier in self.seen
        self.seen.add(identifier)
        self.caused_repeats += is_caused and not is_resent
        is_repeat = is_caused or is_resent
        if is_repeat:
            self._service(service).repeat_times.append(now)
        return is_repeat

    def budget_excess(self, budget: RetryBudgetSettings) -> dict[str, int]:
        """Return the largest excess of repeats over the budget by service."""
        return {
            service: round(arrivals.budget_excess(budget))
            for service, arrivals in self.services.items()
        }

    def _service(self, service: str) -> ServiceArrivals:
        return self.services.setdefault(service, ServiceArrivals())
