"""State of a request at its entry daemon, and its log lines."""

from typing import Any, Final

import attrs

from tanagerbend_model import Refusal
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.knowledge import DeploymentState
from tanagerbend_proxy.messages import MILLISECONDS, Answer, Request
from tanagerbend_routing import ListedInstance, PrefixRoute
from tanagerbend_timer import Timer

NO_INSTANCES: Final[frozenset[str]] = frozenset()


@attrs.define
class RequestState:
    """State of one request at its entry daemon.

    Parameters
    ==========

    request : Request
    route : PrefixRoute
    service : str
    deadline, on_time_until : float
        Monotonic seconds.
    offered : int
        Number of instances that the request was sent to.
    placed : int
        Number of owners that were asked.
    attempts : int
        Number of instances that may have run it, or refused it.
    misplaced : int
        Number of owners whose instance was another one.
    tried : frozenset of str
        Identities of the instances whose owners were asked.
    last : Answer or Refusal or None
        Last answer, else the last refusal.
    has_run : bool
        Whether an instance may have run the request.
    instance : ListedInstance or None
        The instance whose owner was asked last.
    served : float
        Seconds for which the last instance ran the request.
    stopped_by : str
        Why the request wasn't retried.
    caused : float
        Estimated share of the request that was made by a repeated run.
    has_crash_evidence : bool
        Whether an owner returned evidence that the request crashes
        instances.
    lines : list of dict
        Log lines that are written when the request ends.
    """

    request: Request
    route: PrefixRoute
    service: str
    deadline: float
    on_time_until: float
    offered: int = 0
    placed: int = 0
    attempts: int = 0
    misplaced: int = 0
    tried: frozenset[str] = NO_INSTANCES
    last: Answer | Refusal | None = None
    has_run: bool = False
    instance: ListedInstance | None = None
    served: float = 0.0
    stopped_by: str = ''
    caused: float = 0.0
    has_crash_evidence: bool = False
    lines: list[dict[str, Any]] = attrs.field(factory=list)


@attrs.frozen
class RequestLines:
    """Builds the log lines of requests and writes them at their end.

    Parameters
    ==========

    log : DecisionLog
    knowledge : DeploymentState
    timer : Timer
    """

    log: DecisionLog
    knowledge: DeploymentState
    timer: Timer

    def add(
        self,
        event: str,
        state: RequestState,
        refusal: Refusal | None = None,
        **fields: Any,
    ) -> None:
        """Add a line for a decision, with the inputs that led to it."""
        now = self.timer.now()
        if refusal is not None:
            fields['code'] = refusal.code.name
            fields['ran'] = refusal.ran.value
            fields['reason'] = refusal.reason
        instance = state.instance
        if instance is not None:
            fields['instance'] = instance.identity
            fields['instance_host'] = instance.host_address
        fields.update(
            request=state.request.identifier,
            stopped_by=state.stopped_by,
            route=state.route.name,
            service=state.service,
            rank=state.route.rank,
            offered=state.offered,
            placed=state.placed,
            misplaced=state.misplaced,
            caused=round(state.caused, 3),
            served_ms=round(state.served * MILLISECONDS),
            age_ms=round((now - state.request.arrived) * MILLISECONDS),
            left_ms=round((state.deadline - now) * MILLISECONDS),
            late_ms=round((now - state.on_time_until) * MILLISECONDS),
            version=self.knowledge.version,
        )
        state.lines.append(self.log.line(event, fields))

    def add_retry(self, state: RequestState, result: Answer | Refusal) -> None:
        """Add why a request is sent to another instance."""
        match result:
            case Refusal():
                self.add('request_sent_again', state, result)
            case Answer(status=status):
                self.add('request_sent_again', state, status=status)

    def write(self, kind: str, state: RequestState) -> None:
        """Write the lines of a request; ``kind`` names how it ended."""
        self.log.request(kind, state.lines)

    def write_unrouted(self, request: Request, refusal: Refusal) -> None:
        """Write that a request was refused because no route matches."""
        fields = {
            'request': request.identifier,
            'code': refusal.code.name,
            'ran': refusal.ran.value,
            'reason': refusal.reason,
            'version': self.knowledge.version,
        }
        line = self.log.line('request_refused', fields)
        self.log.request(refusal.code.name, [line])
