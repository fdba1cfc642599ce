"""When a slot becomes free, and the likelihood of an answer in time.

Pure functions of the running requests, those ahead and the slots.
"""

import math
from collections.abc import Sequence
from typing import Final

import attrs

from tanagerbend_admission.cost import CostEstimate

# Shape of the Weibull distribution of the time until a running request ends.
# At 1, requests end at a constant rate however long they have run; at large
# values each takes exactly its expected time.
WEIBULL_SHAPE: Final = 1.6
# Coefficient of variation of that distribution.
WEIBULL_VARIATION: Final = 0.64
# Share of a passed time by which the rest of a running request shrinks.  With
# it, waits differ by at most a quarter from those of simulated lognormal times
# with a spread of 0.3 to 0.5, behind up to six requests at three to six slots.
AGEING: Final = 0.6
# Further requests ahead are assumed to keep all slots busy.
MAX_STEPS: Final = 12
# Three equally likely values, one at the mean, have a standard deviation of
# 1 if the others are this far from it.
THREE_POINT_SPREAD: Final = math.sqrt(3 / 2)
MIN_SECONDS: Final = 0.001


@attrs.frozen
class SlotWait:
    """Time until a slot is free for a request, in seconds.

    Parameters
    ==========

    mean, deviation : float
        Expected value and standard deviation.
    """

    mean: float = 0.0
    deviation: float = 0.0


def wait_for_slot(
    running: Sequence[float],
    ahead: Sequence[float],
    slots: int,
) -> SlotWait:
    """Return the time until a slot is free for a new request.

    The requests end one after the other, and each that ends is replaced by
    the next one ahead.

    Examples
    ========

    >>> wait_for_slot([0.2, 0.3], [], slots=3)
    SlotWait(mean=0.0, deviation=0.0)
    >>> round(wait_for_slot([0.2], [0.1], slots=1).mean, 3)
    0.3
    >>> light = wait_for_slot([0.1, 0.1, 0.1], [0.1, 0.1], slots=3)
    >>> heavy = wait_for_slot([0.7, 0.7, 0.1], [0.1, 0.1], slots=3)
    >>> heavy.mean > 1.5 * light.mean
    True

    Parameters
    ==========

    running : sequence of float
        Expected seconds until each running request ends.
    ahead : sequence of float
        Expected seconds of each request ahead, in order.
    slots : int

    References
    ==========

    .. [1] The least of independent Weibull times of one shape has a Weibull
       distribution of that shape.
    """
    slots = max(slots, 1)
    # Slots that are free already go to the first ones ahead.
    free = max(slots - len(running), 0)
    running = [*running, *ahead[:free]]
    ahead = ahead[free:]
    ends = len(running) + len(ahead) + 1 - slots
    if ends <= 0:
        return SlotWait()
    steps = min(ends, MAX_STEPS)
    mean, variance = _sum_steps(
        [max(each, MIN_SECONDS) for each in running], ahead, steps
    )
    beyond = math.fsum(
        ahead[len(ahead) - (ends - steps) :] if ends > steps else ()
    )
    mean += beyond / slots
    return SlotWait(mean, math.sqrt(variance))


def _sum_steps(
    left: list[float], ahead: Sequence[float], steps: int
) -> tuple[float, float]:
    """Return mean and variance of the time until ``steps`` requests ended."""
    total = 0.0
    variance = 0.0
    for step in range(steps):
        seconds = _expected_least(left)
        total += seconds
        variance += (WEIBULL_VARIATION * seconds) ** 2
        left.remove(min(left))
        aged = AGEING * seconds
        left = [max(each - aged, MIN_SECONDS, each / 2) for each in left]
        if step < len(ahead):
            left.append(max(ahead[step], MIN_SECONDS))
    return total, variance


def _expected_least(seconds: Sequence[float]) -> float:
    """Return the expected least of independent times."""
    rates = math.fsum(each**-WEIBULL_SHAPE for each in seconds)
    return rates ** (-1 / WEIBULL_SHAPE)


def likelihood_within(
    left: float, wait: SlotWait, estimate: CostEstimate, speed: float
) -> float:
    """Return the likelihood of an answer within ``left`` seconds.

    The wait is approximated by three equally likely values.

    Examples
    ========

    >>> likelihood_within(0.1, SlotWait(), CostEstimate(), 1.0)
    1.0
    >>> page = CostEstimate(0.1)
    >>> likelihood_within(1.0, SlotWait(), page, 1.0) > 0.95
    True
    >>> likelihood_within(0.1, SlotWait(0.2, 0.1), page, 1.0) < 0.05
    True
    """
    distance = wait.deviation * THREE_POINT_SPREAD
    service = max(estimate.mean * speed, MIN_SECONDS)
    if not estimate.mean:
        return float(wait.mean <= left)
    waits = (max(wait.mean - distance, 0.0), wait.mean, wait.mean + distance)
    shares = [
        estimate.distribution.share_within((left - each) / service)
        for each in waits
    ]
    return sum(shares) / len(shares)
