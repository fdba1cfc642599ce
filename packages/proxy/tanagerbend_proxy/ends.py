"""How a request ends at its entry daemon, and whether it may be sent again."""

from typing import Final

import attrs

from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.messages import Answer, Request
from tanagerbend_proxy.request_lines import RequestState
from tanagerbend_proxy.uplink import Due
from tanagerbend_routing import InstanceRegistry, PrefixRoute, Repeat

SERVER_ERROR: Final = 500
ENDS_INSTANCES: Final = 'it ends the instances that run it'


def final_end(
    state: RequestState,
    registry: InstanceRegistry,
) -> Answer | Refusal:
    """Return how a request ends that is not sent again."""
    match state.last:
        case None:
            return no_place(registry, state.service)
        case Refusal(ran=Ran.NO) as last if state.has_run:
            # An earlier send may have run, so nothing is promised.
            return attrs.evolve(last, ran=Ran.UNKNOWN)
    return state.last


def no_place(registry: InstanceRegistry, service: str) -> Refusal:
    """Return why no owner of an instance of a service was asked."""
    if registry.usable(service):
        reason = f'all instances of {service!r} refused work just now'
        return Refusal(ResultCode.QUEUE_FULL, reason)
    reason = f'no instance of {service!r} is known'
    return Refusal(ResultCode.NO_INSTANCE, reason)


def due_of(request: Request, route: PrefixRoute | None) -> Due:
    """Return until when the answer to a request is of use."""
    if route is None:
        return Due(deadline=request.deadline)
    ends = min(request.arrived + route.timeout, request.deadline)
    return Due(route.rank, request.arrived + route.objective, ends, ends)


def forbidden(end: Answer | Refusal, repeat: Repeat) -> str:
    """Return why a request must not be sent again, empty if it may.

    Examples
    ========

    >>> lost = Refusal(ResultCode.CONNECTION_LOST, '', Ran.UNKNOWN)
    >>> forbidden(lost, Repeat.NEVER)
    'it may have run and must not run twice'
    >>> forbidden(lost, Repeat.FREELY)
    ''
    """
    match end:
        case Refusal(code=ResultCode.REQUEST_CRASHES_BACKEND):
            return ENDS_INSTANCES
        case Answer(status=status) if status < SERVER_ERROR:
            return 'answered'
        case Answer() if repeat is not Repeat.FREELY:
            return 'it has run and must not run twice'
        case Refusal(ran=ran) if (
            ran is not Ran.NO and repeat is not Repeat.FREELY
        ):
            return 'it may have run and must not run twice'
    return ''
