"""What one daemon repeats, and what repeated runs of its instance cause.

The load it answers: a called service in an overload, whose callers fail and
are sent again.  A repeat is refused where it would run, if the budgets of
the services that the run would call don't cover it.
"""

from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import CAUSED_REPEATS, REPEATS
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.messages import Answer, Placed, Request
from tanagerbend_routing import InstanceRegistry, RetryAllowance, Runs

# Calls of a run below which it is taken to make none: requests of callers
# that were taken for calls now and then.
NEGLIGIBLE_CALLS: Final = 0.05
# Share of a request that is certain to be a repeat, and the largest that is
# an estimate: a caller may have sent it.
CERTAIN: Final = 1.0
MOST_CERTAIN: Final = 0.99


@attrs.define
class Repeats:
    """Counts requests and repeats for the entry and the owner of a daemon.

    Parameters
    ==========

    allowance : RetryAllowance
    registry : InstanceRegistry
    recorder : Recorder
    runs : Runs
        Requests at the instance on this host.
    """

    allowance: RetryAllowance
    registry: InstanceRegistry
    recorder: Recorder
    runs: Runs = attrs.field(factory=Runs)
    uncounted: float = 0.0

    @property
    def daemons(self) -> int:
        """Daemons of the deployment; one runs beside each instance."""
        return max(len(self.registry.entries), 1)

    def requested(self, service: str, request: Request) -> float:
        """Count a request of this host.

        Returns the share of it that is a call of a run that is a repeat.
        """
        self.allowance.requested(service, request.arrived)
        share = self.runs.called(service, request.deadline)
        if share:
            self.allowance.charge(service, share, request.arrived)
            self._count(share)
        return min(share, MOST_CERTAIN)

    def refuse(self, placed: Placed) -> Refusal | None:
        """Refuse a repeat whose calls would exceed a budget below.

        What may be a call of a repeat is let through: it is an estimate,
        and its caller has more to lose than a second try.
        """
        if placed.repeated < CERTAIN:
            return None
        now = self.recorder.timer.now()
        expected = self.runs.repeated_calls()
        for service, calls in self.runs.rates.calls_of(placed.route).items():
            left = self.allowance.left(service, now, self.daemons)
            if calls > max(left - expected[service], NEGLIGIBLE_CALLS):
                reason = (
                    f'its {calls:.2f} calls of {service!r} would be repeats,'
                    f' {left:.2f} are left, {expected[service]:.2f} expected'
                )
                return Refusal(ResultCode.RETRY_BUDGET_SPENT, reason)
        return None

    def take(self, service: str, end: Answer | Refusal) -> bool:
        """Take a repeat of a request that ended; False if none is left."""
        now = self.recorder.timer.now()
        if not self.allowance.take(service, now, self.daemons):
            return False
        match end:
            case Answer(status=status):
                self.recorder.count(REPEATS, str(status))
            case Refusal(code=code):
                self.recorder.count(REPEATS, code.name)
        return True

    def _count(self, share: float) -> None:
        """Count shares as whole requests."""
        self.uncounted += share
        whole = int(self.uncounted)
        if whole:
            self.uncounted -= whole
            self.recorder.count(CAUSED_REPEATS, amount=whole)
