"""Limits the repeats of a daemon and those that its instance causes.

If a called service is overloaded, its callers fail and are repeated, which
adds to the overload.  A repeat is refused at the daemon where it would run
if the budgets of the services that the run would call don't cover it.
"""

from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import CALLS_OF_REPEATED_RUNS, REPEATS
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.messages import Answer, Placed, Request
from tanagerbend_routing import InstanceRegistry, RetryAllowance, Runs

# A run with fewer expected calls counts as making none: requests of callers
# are now and then mistaken for its calls.
MIN_CALLS: Final = 0.05
# Share of a request that is known to be a repeat, and the largest share of
# one that is estimated, since a caller may have sent it.
CERTAIN_SHARE: Final = 1.0
MAX_ESTIMATED_SHARE: Final = 0.99


@attrs.define
class Repeats:
    """Counts the requests and repeats of a daemon, as entry and as owner.

    Parameters
    ==========

    allowance : RetryAllowance
    registry : InstanceRegistry
    recorder : Recorder
    runs : Runs
        Requests that run at the instance on this host.
    uncounted : float
        Sum of the shares that the metrics don't contain yet.
    """

    allowance: RetryAllowance
    registry: InstanceRegistry
    recorder: Recorder
    runs: Runs = attrs.field(factory=Runs)
    uncounted: float = 0.0

    @property
    def daemons(self) -> int:
        """Number of daemons in the deployment, one beside each instance."""
        return max(self.registry.occupancy.address_count, 1)

    def requested(self, service: str, request: Request) -> float:
        """Count a request that begins on this host.

        Returns the estimated share of it that a repeated run made.
        """
        self.allowance.record_request(service, request.arrived)
        share = self.runs.record_sent_call(service, request.deadline)
        if share:
            self.allowance.charge(service, share, request.arrived)
            self._count_caused(share)
        return min(share, MAX_ESTIMATED_SHARE)

    def refuse(self, placed: Placed) -> Refusal | None:
        """Refuse a repeat whose calls would exceed the budget of a service.

        A request whose share is only estimated is accepted, since refusing
        it may cost its caller more than a retry.
        """
        if placed.repeated < CERTAIN_SHARE:
            return None
        now = self.recorder.timer.now()
        expected = self.runs.expected_retry_calls()
        for service, calls in self.runs.rates.calls_per_run(
            placed.route
        ).items():
            left = self.allowance.remaining(service, now, self.daemons)
            if calls > max(left - expected[service], MIN_CALLS):
                reason = (
                    f'its {calls:.2f} calls of {service!r} would be repeats,'
                    f' {left:.2f} are left, {expected[service]:.2f} expected'
                )
                return Refusal(ResultCode.RETRY_BUDGET_SPENT, reason)
        return None

    def take(self, service: str, result: Answer | Refusal) -> bool:
        """Use the budget for one repeat; return False if it is spent."""
        now = self.recorder.timer.now()
        if not self.allowance.take(service, now, self.daemons):
            return False
        match result:
            case Answer(status=status):
                self.recorder.count(REPEATS, str(status))
            case Refusal(code=code):
                self.recorder.count(REPEATS, code.name)
        return True

    def _count_caused(self, share: float) -> None:
        """Add a share to the metrics, which count whole requests."""
        self.uncounted += share
        whole = int(self.uncounted)
        if whole:
            self.uncounted -= whole
            self.recorder.count(CALLS_OF_REPEATED_RUNS, amount=whole)
