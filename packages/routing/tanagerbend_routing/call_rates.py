"""Calls that runs of each route make, learnt from what runs beside a call.

A call carries no mark of the run that makes it.  The rates of calls are
those under which the calls seen are most likely, given which runs could
have made each; they are improved a step at a time, as calls come.

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

# Fewest calls of a service between two steps, which bounds their time.
STEP_CALLS: Final = 8
# Seconds of all runs after which what was seen counts half, so that rates
# follow a change.
HALVED_AFTER_SECONDS: Final = 120.0
# Calls of one kind, and runs of a route, that are worth keeping.
LEAST_CALLS: Final = 0.5
LEAST_RUNS: Final = 0.01
# Time below which the runs of a route tell no rate.
LEAST_SECONDS: Final = 0.001
# Share of the mean rate that every route keeps: a route that begins to make
# calls is found again.
LEAST_SHARE: Final = 0.01
FIRST_RATE: Final = 1.0

# Routes of the runs that could have made a call, with their numbers.
Beside = frozenset[tuple[str, int]]


@attrs.define
class RouteTime:
    """Runs of a route that have ended, and their time in seconds."""

    runs: float = 0.0
    seconds: float = 0.0

    @property
    def mean(self) -> float:
        """Seconds of a run."""
        return self.seconds / self.runs if self.runs else 0.0


@attrs.define
class ServiceCalls:
    """Calls to one service, and the rates at which each route makes them.

    Parameters
    ==========

    seen : Counter
        Calls by the routes of the runs that could have made them.
    rates : dict of str to float
        Calls a second of a run.
    """

    seen: Counter[Beside] = attrs.field(factory=Counter)
    rates: dict[str, float] = attrs.field(factory=dict)
    waiting: int = 0

    def rate(self, route: str) -> float:
        """Return the calls a second of a run of a route."""
        return self.rates.get(route, FIRST_RATE)

    def step(self, times: Mapping[str, RouteTime]) -> None:
        """Improve the rates once."""
        made: Counter[str] = Counter()
        for beside, calls in self.seen.items():
            whole = math.fsum(count * self.rate(name) for name, count in beside)
            for name, count in beside:
                made[name] += calls * count * self.rate(name) / whole
        seconds = math.fsum(each.seconds for each in times.values())
        mean = math.fsum(made.values()) / seconds
        for route, time in times.items():
            rate = made[route] / max(time.seconds, LEAST_SECONDS)
            self.rates[route] = max(rate, LEAST_SHARE * mean)

    def halve(self, routes: Container[str]) -> None:
        """Let the calls so far count half; keep the rates of some routes."""
        self.rates = {
            route: rate for route, rate in self.rates.items() if route in routes
        }
        halves = ((each, calls / 2) for each, calls in self.seen.items())
        self.seen = Counter(
            dict(half for half in halves if half[1] >= LEAST_CALLS)
        )


class CallRates:
    """Rates of the calls that runs of the instance on this host make.

    Examples
    ========

    >>> rates = CallRates()
    >>> for number in range(400):
    ...     rates.ended('page', 0.2)
    ...     rates.ended('order', 0.3)
    ...     beside = ['page'] * (1 + number % 3) + ['order']
    ...     shares = rates.called('price', beside)
    >>> shares['page'] > 30 * shares['order']
    True
    >>> round(rates.calls_of('page')['price'], 1)
    1.0
    """

    def __init__(self) -> None:
        self.times: dict[str, RouteTime] = {}
        self.services: dict[str, ServiceCalls] = {}
        self.seconds = 0.0

    def ended(self, route: str, seconds: float) -> None:
        """Count a run."""
        time = self.times.setdefault(route, RouteTime())
        time.runs += 1
        time.seconds += seconds
        self.seconds += seconds
        if self.seconds > HALVED_AFTER_SECONDS:
            self._halve()

    def called(self, service: str, routes: Iterable[str]) -> dict[str, float]:
        """Count a call that a run of one of some routes has made.

        Returns how likely it is for a run of each route, relative to the
        others.
        """
        calls = self.services.setdefault(service, ServiceCalls())
        beside = Counter(routes)
        calls.seen[frozenset(beside.items())] += 1
        calls.waiting += 1
        if calls.waiting >= max(STEP_CALLS, len(calls.seen)) and self.seconds:
            calls.waiting = 0
            calls.step(self.times)
        return {route: calls.rate(route) for route in beside}

    def calls_of(self, route: str) -> dict[str, float]:
        """Return the calls that a run of a route makes, by service."""
        mean = self.times.get(route, RouteTime()).mean
        return {
            service: calls.rate(route) * mean
            for service, calls in self.services.items()
        }

    def _halve(self) -> None:
        self.seconds /= 2
        for route, time in tuple(self.times.items()):
            time.runs /= 2
            time.seconds /= 2
            if time.runs < LEAST_RUNS:
                self.times.pop(route)
        for service, calls in tuple(self.services.items()):
            calls.halve(self.times)
            if not calls.seen:
                self.services.pop(service)
