"""Estimated rates at which runs of each route make calls.

A call does not identify the run that makes it.  The rates are a maximum
likelihood estimate, given which runs were active when each call was made.
They are refined by one EM step at a time as calls arrive.

References
==========

.. [1] Dempster, Laird, Rubin, "Maximum likelihood from incomplete data via
   the EM algorithm", J. R. Stat. Soc. B 39 (1977).
"""

import math
from collections import Counter
from collections.abc import Container, Iterable, Mapping
from typing import Final

import attrs

# Minimum number of calls to a service between two EM steps, which limits the
# time spent on them.
MIN_CALLS_PER_STEP: Final = 8
# Total time of runs after which all counts are halved, so that rates follow
# a change.
HALVING_RUN_SECONDS: Final = 120.0
# Counts of calls and of runs below which an entry is removed.
MIN_CALLS: Final = 0.5
MIN_RUNS: Final = 0.01
# Lower bound of the run time by which a rate is computed.  A shorter time does
# not determine a rate.
MIN_ROUTE_SECONDS: Final = 0.001
# Minimum rate of every route, as a ratio of the mean rate.  A rate of zero
# would stay zero when a route begins to make calls.
MIN_RATE_RATIO: Final = 0.01
INITIAL_CALLS_PER_SECOND: Final = 1.0

# Routes of the runs that could have made a call, each with the number of its
# active runs.
ActiveRoutes = frozenset[tuple[str, int]]


@attrs.define
class RouteTime:
    """Number and total time in seconds of the ended runs of a route."""

    runs: float = 0.0
    seconds: float = 0.0

    @property
    def mean(self) -> float:
        """Mean time of a run in seconds."""
        return self.seconds / self.runs if self.runs else 0.0


@attrs.define
class ServiceCalls:
    """Calls to one service, and the rates at which each route makes them.

    Parameters
    ==========

    observed : Counter
        Calls by the routes of the runs that could have made them.
    rates : dict of str to float
        Calls per second of a run, by route.
    calls_since_step : int
        Calls that were counted after the last EM step.
    """

    observed: Counter[ActiveRoutes] = attrs.field(factory=Counter)
    rates: dict[str, float] = attrs.field(factory=dict)
    calls_since_step: int = 0

    def rate(self, route: str) -> float:
        """Return the calls per second of a run of a route."""
        return self.rates.get(route, INITIAL_CALLS_PER_SECOND)

    def em_step(self, run_times: Mapping[str, RouteTime]) -> None:
        """Update the rates by one EM step."""
        attributed: Counter[str] = Counter()
        for active, calls in self.observed.items():
            total = math.fsum(count * self.rate(name) for name, count in active)
            for name, count in active:
                attributed[name] += calls * count * self.rate(name) / total
        seconds = math.fsum(each.seconds for each in run_times.values())
        mean = math.fsum(attributed.values()) / seconds
        for route, time in run_times.items():
            rate = attributed[route] / max(time.seconds, MIN_ROUTE_SECONDS)
            self.rates[route] = max(rate, MIN_RATE_RATIO * mean)

    def halve(self, routes: Container[str]) -> None:
        """Halve the counts and keep only the rates of the given routes."""
        self.rates = {
            route: rate for route, rate in self.rates.items() if route in routes
        }
        halves = ((each, calls / 2) for each, calls in self.observed.items())
        self.observed = Counter(
            dict(half for half in halves if half[1] >= MIN_CALLS)
        )


class CallRates:
    """Estimates the calls that runs of the instance on this host make.

    Examples
    ========

    >>> rates = CallRates()
    >>> for number in range(400):
    ...     rates.record_run('page', 0.2)
    ...     rates.record_run('order', 0.3)
    ...     active = ['page'] * (1 + number % 3) + ['order']
    ...     shares = rates.record_call('price', active)
    >>> shares['page'] > 30 * shares['order']
    True
    >>> round(rates.calls_per_run('page')['price'], 1)
    1.0
    """

    def __init__(self) -> None:
        self.run_times: dict[str, RouteTime] = {}
        self.services: dict[str, ServiceCalls] = {}
        self.seconds = 0.0

    def record_run(self, route: str, seconds: float) -> None:
        """Count a run of a route that has ended."""
        time = self.run_times.setdefault(route, RouteTime())
        time.runs += 1
        time.seconds += seconds
        self.seconds += seconds
        if self.seconds > HALVING_RUN_SECONDS:
            self._halve()

    def record_call(
        self, service: str, routes: Iterable[str]
    ) -> dict[str, float]:
        """Count a call; ``routes`` are those of all active runs.

        Returns the relative likelihood that a run of each route made it.
        """
        calls = self.services.setdefault(service, ServiceCalls())
        active = Counter(routes)
        calls.observed[frozenset(active.items())] += 1
        calls.calls_since_step += 1
        if (
            calls.calls_since_step
            >= max(MIN_CALLS_PER_STEP, len(calls.observed))
            and self.seconds
        ):
            calls.calls_since_step = 0
            calls.em_step(self.run_times)
        return {route: calls.rate(route) for route in active}

    def calls_per_run(self, route: str) -> dict[str, float]:
        """Return the expected calls of a run of a route by service."""
        mean = self.run_times.get(route, RouteTime()).mean
        return {
            service: calls.rate(route) * mean
            for service, calls in self.services.items()
        }

    def _halve(self) -> None:
        self.seconds /= 2
        for route, time in tuple(self.run_times.items()):
            time.runs /= 2
            time.seconds /= 2
            if time.runs < MIN_RUNS:
                self.run_times.pop(route)
        for service, calls in tuple(self.services.items()):
            calls.halve(self.run_times)
            if not calls.observed:
                self.services.pop(service)
