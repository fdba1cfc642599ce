"""Expected time until an instance has answered a request.

It consists of the work of the request and of the wait for a slot, which the
owner of the instance reports in seconds.
"""

from typing import Final

from tanagerbend_routing.observations import ObservedInstance
from tanagerbend_routing.registry import ListedInstance
from tanagerbend_routing.route_work import RouteWork

# The expected time of an instance is increased by this factor times its failure
# ratio, and multiplied by ``COLD_FACTOR`` while it is cold.
FAILURE_FACTOR: Final = 20.0
COLD_FACTOR: Final = 2.0
# Requests arrive at random, so the expected waiting time grows before all
# slots are taken: by this ratio of the work at full load.
QUEUEING_FACTOR: Final = 0.25


def seconds_until_answered(
    instance: ListedInstance,
    observed: ObservedInstance,
    work: RouteWork,
    rank: int,
    now: float,
) -> float:
    """Return the expected seconds until an instance has answered."""
    seconds = work.seconds * observed.current_slowdown(now)
    if now < instance.cold_until:
        seconds *= COLD_FACTOR
    slots = max(instance.slots, 1)
    typical = seconds / work.weight
    seconds += _wait_seconds(observed, typical, slots, rank, now)
    if observed.failure_ratio:
        seconds *= 1 + FAILURE_FACTOR * observed.current_failure_ratio(now)
    if observed.owner_delay:
        seconds += observed.current_owner_delay(now)
    return seconds


def _wait_seconds(
    observed: ObservedInstance,
    typical: float,
    slots: int,
    rank: int,
    now: float,
) -> float:
    """Return the expected wait for a slot.

    It is the reported wait, or that behind the requests of this daemon if it
    is longer.  Owners of earlier releases report only how many requests are
    ahead.  ``typical`` is the time of a typical request in seconds.
    """
    wait = observed.reported_wait(rank, now)
    if wait is None:
        ahead = observed.requests_ahead(rank, now)
    else:
        ahead = observed.own_work_ahead(rank)
    load = (ahead + 1) / slots
    behind_others = typical * (load - 1) if load > 1 else 0.0
    return typical * QUEUEING_FACTOR * load + max(wait or 0.0, behind_others)
