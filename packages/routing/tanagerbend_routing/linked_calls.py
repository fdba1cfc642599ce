"""Calls that runs of each route make, of those whose run is known."""

from collections import Counter
from typing import Final

import attrs

# Runs of a route after which its counts are halved, so that they follow a
# change.
HALVING_RUNS: Final = 200


@attrs.define
class RouteCalls:
    """Ended runs of a route, and the calls of its runs by service."""

    runs: float = 0.0
    calls: Counter[str] = attrs.field(factory=Counter)

    def end_run(self) -> None:
        """Count a run that has ended."""
        self.runs += 1
        if self.runs >= HALVING_RUNS:
            self.runs /= 2
            halves = {name: count / 2 for name, count in self.calls.items()}
            self.calls = Counter(halves)


class LinkedCalls:
    """Counts the calls of each route.

    Examples
    ========

    >>> linked = LinkedCalls()
    >>> linked.record_call('page', 'price')
    >>> linked.record_run('page')
    >>> linked.record_run('page')
    >>> linked.calls_per_run('page'), linked.calls_per_run('order')
    ({'price': 0.5}, {})
    """

    def __init__(self) -> None:
        self.routes: dict[str, RouteCalls] = {}

    def record_call(self, route: str, service: str) -> None:
        """Count a call of a run of a route."""
        self.routes.setdefault(route, RouteCalls()).calls[service] += 1

    def record_run(self, route: str) -> None:
        """Count a run of a route that has ended."""
        self.routes.setdefault(route, RouteCalls()).end_run()

    def calls_per_run(self, route: str) -> dict[str, float]:
        """Return the expected calls of a run of a route by service."""
        known = self.routes.get(route)
        if known is None or not known.runs:
            return {}
        return {
            service: calls / known.runs
            for service, calls in known.calls.items()
        }
