"""Runs of the instance on this host, and the calls that they make.

Retries must not overload a service that is called indirectly.  A run that is
itself a retry makes its calls again, so these are retries at the called
services, whichever daemon sent the request.  Only the daemon on the host of
the calling instance sees both the run and its calls, so it determines which
share of a call is a retry.

A call does not identify the run that makes it, but it ends no later than
that run.  Each run that may have made a call is weighted by the rate at
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

# Tolerance when the deadlines of a call and a run are compared.  Remaining
# times are rounded to milliseconds and read slightly later, and the deadline
# given to an instance is slightly earlier than that of its owner.
DEADLINE_TOLERANCE_SECONDS: Final = 0.02


@attrs.define(eq=False)
class Run:
    """One request that the instance serves.

    Parameters
    ==========

    route : str
    deadline : float
        Monotonic seconds of its deadline at the instance.
    retry_share : float
        Share of it that is a retry of earlier work, from 0 to 1.
    """

    route: str
    deadline: float
    retry_share: float = 0.0


class Runs:
    """Tracks the active runs of the instance on this host.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> runs, timer = Runs(), ManualTimer()
    >>> first, again = Run('page', 9.0), Run('page', 5.0, retry_share=1.0)
    >>> with runs.hold(first, timer), runs.hold(again, timer):
    ...     (
    ...         runs.record_sent_call('price', ends=4.0),
    ...         runs.record_sent_call('price', ends=8.0),
    ...     )
    (0.5, 0.0)
    >>> runs.record_sent_call('price', ends=4.0)
    0.0
    """

    def __init__(self) -> None:
        self.running: set[Run] = set()
        self.rates = CallRates()

    @contextmanager
    def hold(self, run: Run, timer: Timer) -> Iterator[None]:
        """Track a run while the instance serves it."""
        started = timer.now()
        self.running.add(run)
        try:
            yield
        finally:
            self.running.discard(run)
            self.rates.record_run(run.route, timer.now() - started)

    def record_sent_call(self, service: str, ends: float) -> float:
        """Return the share of a request from this host that is a retry.

        The request is sent to ``service`` and its sender waits until
        ``ends``.  The share is 0 if no active run can have sent it.
        """
        callers = self._possible_callers(ends)
        if not callers:
            return 0.0
        # The rates are estimated from all active runs, since each may call at
        # any time.
        rates = self.rates.record_call(
            service, [run.route for run in self.running]
        )
        total = math.fsum(rates[run.route] for run in callers)
        repeated = math.fsum(
            rates[run.route] * run.retry_share for run in callers
        )
        return repeated / total

    def _possible_callers(self, ends: float) -> list[Run]:
        """Return the runs that can have made a call with this deadline.

        A call has the deadline of its run or an earlier one.  If runs with
        the same deadline are active, only these are returned.
        """
        earliest = ends - DEADLINE_TOLERANCE_SECONDS
        not_earlier = [run for run in self.running if run.deadline >= earliest]
        latest = ends + DEADLINE_TOLERANCE_SECONDS
        return [
            run for run in not_earlier if run.deadline <= latest
        ] or not_earlier

    def expected_retry_calls(self) -> Counter[str]:
        """Return the expected calls of the active retries by service."""
        expected: Counter[str] = Counter()
        for run in self.running:
            if run.retry_share:
                for service, calls in self.rates.calls_per_run(
                    run.route
                ).items():
                    expected[service] += calls * run.retry_share
        return expected
