"""What one daemon repeats, and what repeated runs of its instance cause."""

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import CAUSED_REPEATS, REPEATS
from tanagerbend_model import Refusal
from tanagerbend_proxy.messages import Answer, Request
from tanagerbend_routing import InstanceRegistry, RetryAllowance, Runs


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
        self._count(share)
        return share

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
