"""State of a request at its entry daemon, and the log lines that tell it."""

from typing import Any, Final

import attrs

from tanagerbend_model import Refusal
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.knowledge import Knowledge
from tanagerbend_proxy.messages import MILLISECONDS, Answer, Request
from tanagerbend_routing import ListedInstance, PrefixRoute
from tanagerbend_timer import Timer

NOBODY: Final[frozenset[str]] = frozenset()


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
        Instances that the request was sent to.
    placed : int
        Owners that were asked.
    tried : frozenset of str
    last : Answer or Refusal or None
        The best end so far.
    has_run : bool
        Whether an instance may have run the request.
    instance : ListedInstance or None
        The instance that was asked last.
    served : float
        Seconds that the last instance took.
    stopped_by : str
        Why the request was not sent once more.
    caused : float
        Share of it that is a call of a run that is a repeat.
    is_accused : bool
        Whether an instance ended while it ran the request.
    lines : list of dict
        Log lines so far.
    """

    request: Request
    route: PrefixRoute
    service: str
    deadline: float
    on_time_until: float
    offered: int = 0
    placed: int = 0
    tried: frozenset[str] = NOBODY
    last: Answer | Refusal | None = None
    has_run: bool = False
    instance: ListedInstance | None = None
    served: float = 0.0
    stopped_by: str = ''
    caused: float = 0.0
    is_accused: bool = False
    lines: list[dict[str, Any]] = attrs.field(factory=list)


@attrs.frozen
class RequestLines:
    """Builds the lines of requests and writes them when requests end.

    Parameters
    ==========

    log : DecisionLog
    knowledge : Knowledge
    timer : Timer
    """

    log: DecisionLog
    knowledge: Knowledge
    timer: Timer

    def add(
        self,
        event: str,
        state: RequestState,
        refusal: Refusal | None = None,
        **fields: Any,
    ) -> None:
        """Add a decision with the inputs that decided it."""
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
            caused=round(state.caused, 3),
            served_ms=round(state.served * MILLISECONDS),
            age_ms=round((now - state.request.arrived) * MILLISECONDS),
            left_ms=round((state.deadline - now) * MILLISECONDS),
            late_ms=round((now - state.on_time_until) * MILLISECONDS),
            version=self.knowledge.version,
        )
        state.lines.append(self.log.line(event, fields))

    def sent_again(self, state: RequestState, end: Answer | Refusal) -> None:
        """Add why a request is sent to one more instance."""
        match end:
            case Refusal():
                self.add('request_sent_again', state, end)
            case Answer(status=status):
                self.add('request_sent_again', state, status=status)

    def write(self, kind: str, state: RequestState) -> None:
        """Write the lines of a request that ended in a way."""
        self.log.request(kind, state.lines)

    def refuse_without_route(self, request: Request, refusal: Refusal) -> None:
        """Write that no route covers a request."""
        fields = {
            'request': request.identifier,
            'code': refusal.code.name,
            'ran': refusal.ran.value,
            'reason': refusal.reason,
            'version': self.knowledge.version,
        }
        line = self.log.line('request_refused', fields)
        self.log.request(refusal.code.name, [line])
