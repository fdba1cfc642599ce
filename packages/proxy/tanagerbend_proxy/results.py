"""Final results of requests at the entry daemon, and rules for retries."""

from typing import Final

import attrs

from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.messages import Answer, Outcome, Request
from tanagerbend_proxy.request_lines import RequestState
from tanagerbend_proxy.uplink import SendingLimits
from tanagerbend_routing import InstanceRegistry, PrefixRoute, Repeat

SERVER_ERROR: Final = 500
# A refusal by an owner costs one round trip and no work of an instance.
MAX_OWNERS_ASKED: Final = 3
# Owners that may be asked beyond the others because their instance isn't at its
# address.  It costs one round trip, once for all requests of the daemon.
MAX_MISPLACED: Final = 5
CRASHES_INSTANCES: Final = 'it crashes the instances that run it'


def final_result(
    state: RequestState,
    registry: InstanceRegistry,
) -> Answer | Refusal:
    """Return the result of a request that isn't retried."""
    match state.last:
        case None:
            return refuse_unplaced(registry, state.service)
        case Refusal(ran=Ran.NO) as last if state.has_run:
            # An earlier attempt may have run, so "not run" can't be promised.
            return attrs.evolve(last, ran=Ran.UNKNOWN)
    return state.last


def refuse_unplaced(registry: InstanceRegistry, service: str) -> Refusal:
    """Return the refusal of a request for which no owner was asked."""
    if registry.usable(service):
        reason = f'all instances of {service!r} refused work just now'
        return Refusal(ResultCode.QUEUE_FULL, reason)
    reason = f'no instance of {service!r} is known'
    if registry.usable_instances.is_evacuated(service):
        reason = f'all instances of {service!r} are in evacuated domains'
    return Refusal(ResultCode.NO_INSTANCE, reason)


def sending_limits(
    request: Request, route: PrefixRoute | None
) -> SendingLimits:
    """Return the time limits for sending the answer to a request."""
    if route is None:
        return SendingLimits(deadline=request.deadline)
    ends = min(request.arrived + route.timeout, request.deadline)
    return SendingLimits(
        route.rank, request.arrived + route.objective, ends, ends
    )


def count_placing(state: RequestState, outcome: Outcome) -> None:
    """Count a placing, as an attempt unless the instance wasn't there."""
    state.offered += outcome.is_offered
    match outcome.result:
        case Refusal(code=ResultCode.NO_INSTANCE):
            state.misplaced += 1
        case _:
            state.attempts += outcome.is_offered


def why_no_more_owners(state: RequestState) -> str:
    """Return why no other owner may be asked, empty if one may be."""
    if state.misplaced > MAX_MISPLACED:
        return f'{state.misplaced} instances were not at their addresses'
    asked = state.placed - state.misplaced
    if asked >= MAX_OWNERS_ASKED:
        return f'{asked} owners were asked'
    return ''


def why_not_retried(result: Answer | Refusal, repeat: Repeat) -> str:
    """Return why a request must not be retried, empty if it may be.

    Examples
    ========

    >>> lost = Refusal(ResultCode.CONNECTION_LOST, '', Ran.UNKNOWN)
    >>> why_not_retried(lost, Repeat.NEVER)
    'it may have run and must not run twice'
    >>> why_not_retried(lost, Repeat.FREELY)
    ''
    """
    match result:
        case Refusal(code=ResultCode.REQUEST_CRASHES_BACKEND):
            return CRASHES_INSTANCES
        case Answer(status=status) if status < SERVER_ERROR:
            return 'answered'
        case Answer() if repeat is not Repeat.FREELY:
            return 'it has run and must not run twice'
        case Refusal(ran=ran) if (
            ran is not Ran.NO and repeat is not Repeat.FREELY
        ):
            return 'it may have run and must not run twice'
    return ''
