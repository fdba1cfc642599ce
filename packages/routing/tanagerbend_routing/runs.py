"""Runs of the instance on this host, and the calls that they make.

The load it answers: an overload of a called service.  A run that is itself
a repeat makes its calls again, and these are repeats at the services below,
whichever daemon sent the request above.  Only the daemon beside the calling
instance sees both, so it tells which share of a call is a repeat.

A call carries no mark of the run that makes it, but it ends no later than
that run.  Of the runs that may have made a call, each counts by the rate at
which runs of its route call the service.
"""

import math
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import attrs

from tanagerbend_routing.call_rates import CallRates
from tanagerbend_timer import Timer

# A time that is left is rounded to milliseconds and read a little later, and
# an instance is told to end a little before its owner.
SLACK_SECONDS: Final = 0.02


@attrs.define(eq=False)
class Run:
    """One request at the instance.

    Parameters
    ==========

    route : str
    ends : float
        Monotonic seconds at which the instance gives it up.
    repeated : float
        Share of it that repeats earlier work, from 0 to 1.
    """

    route: str
    ends: float
    repeated: float = 0.0


class Runs:
    """Runs of the instance on this host.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> runs, timer = Runs(), ManualTimer()
    >>> first, again = Run('page', 9.0), Run('page', 5.0, repeated=1.0)
    >>> with runs.hold(first, timer), runs.hold(again, timer):
    ...     runs.called('price', ends=4.0), runs.called('price', ends=8.0)
    (0.5, 0.0)
    >>> runs.called('price', ends=4.0)
    0.0
    """

    def __init__(self) -> None:
        self.running: set[Run] = set()
        self.rates = CallRates()

    @contextmanager
    def hold(self, run: Run, timer: Timer) -> Iterator[None]:
        """Note a run while the instance has it."""
        started = timer.now()
        self.running.add(run)
        try:
            yield
        finally:
            self.running.discard(run)
            self.rates.ended(run.route, timer.now() - started)

    def called(self, service: str, ends: float) -> float:
        """Return the share of a request of this host that is a repeat.

        It is for ``service`` and its sender waits until ``ends``.  One
        that no run here can have made is a first one.
        """
        callers = self._callers(ends)
        if not callers:
            return 0.0
        # Learnt from all runs, since each could call at any time.
        rates = self.rates.called(service, [run.route for run in self.running])
        whole = math.fsum(rates[run.route] for run in callers)
        repeated = math.fsum(rates[run.route] * run.repeated for run in callers)
        return repeated / whole

    def _callers(self, ends: float) -> list[Run]:
        """Return the runs that can have made a call which ends then.

        It ends with its run, or before it.
        """
        least = ends - SLACK_SECONDS
        later = [run for run in self.running if run.ends >= least]
        most = ends + SLACK_SECONDS
        return [run for run in later if run.ends <= most] or later

    def repeated_calls(self) -> Counter[str]:
        """Return the calls that repeats which now run make, by service."""
        found: Counter[str] = Counter()
        for run in self.running:
            if run.repeated:
                for service, calls in self.rates.calls_of(run.route).items():
                    found[service] += calls * run.repeated
        return found
