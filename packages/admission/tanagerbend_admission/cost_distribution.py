"""Distribution of actual costs relative to their estimates.

A histogram with buckets of equal ratio.  It starts with a prior that has the
heavy tail of typical service times, which observations replace.
"""

import math
from typing import Final

BUCKETS_PER_OCTAVE: Final = 4
# Ratios below 2**-4 and above 2**4 are counted in the outermost buckets.
OCTAVES: Final = 4
BUCKETS: Final = 2 * OCTAVES * BUCKETS_PER_OCTAVE
RATIOS: Final = tuple(
    2 ** ((index + 0.5) / BUCKETS_PER_OCTAVE - OCTAVES)
    for index in range(BUCKETS)
)
# Prior: lognormal, with a share of requests that take several times longer.
PRIOR_SPREAD: Final = 0.45
PRIOR_TAIL_SHARE: Final = 0.02
PRIOR_TAIL_FACTOR: Final = 5.0
# The prior counts as much as this number of observations.
PRIOR_WEIGHT: Final = 12.0
# All counts are halved at this sum, so that old observations fade.
MAX_WEIGHT: Final = 600.0
# Observations after which the tables are computed again.
REFRESH_INTERVAL: Final = 16
# Least expected rest of a request, relative to the time that it has run; for
# requests that have run longer than nearly all before.
MIN_REST_RATIO: Final = 0.25


def bucket_of(ratio: float) -> int:
    """Return the bucket of a ratio.

    Examples
    ========

    >>> bucket_of(1.0), bucket_of(0.0), bucket_of(1e9)
    (16, 0, 31)
    """
    if ratio <= 0:
        return 0
    position = BUCKETS_PER_OCTAVE * (math.log2(ratio) + OCTAVES)
    return min(max(int(position), 0), BUCKETS - 1)


def _prior_density(ratio: float, center: float) -> float:
    distance = (math.log(ratio) - math.log(center)) / PRIOR_SPREAD
    return math.exp(-(distance**2) / 2)


def _prior_counts() -> list[float]:
    density = [
        (1 - PRIOR_TAIL_SHARE) * _prior_density(ratio, 1.0)
        + PRIOR_TAIL_SHARE * _prior_density(ratio, PRIOR_TAIL_FACTOR)
        for ratio in RATIOS
    ]
    scale = PRIOR_WEIGHT / sum(density)
    return [scale * each for each in density]


class RatioDistribution:
    """Distribution of ratios of actual to estimated costs.

    Examples
    ========

    >>> ratios = RatioDistribution()
    >>> round(ratios.remaining(0.0), 2)
    1.0
    >>> ratios.remaining(3.0) > ratios.remaining(1.0)
    True
    """

    def __init__(self) -> None:
        self.counts = _prior_counts()
        self.weight = PRIOR_WEIGHT
        self.unread = 0
        self._compute_tables()

    def observe(self, ratio: float) -> None:
        """Count the ratio of one request."""
        self.counts[bucket_of(ratio)] += 1
        self.weight += 1
        self.unread += 1
        if self.weight > MAX_WEIGHT:
            self.counts = [count / 2 for count in self.counts]
            self.weight /= 2
        if self.unread >= REFRESH_INTERVAL:
            self._compute_tables()

    def remaining(self, elapsed: float) -> float:
        """Return the expected rest after a time; both relative to the mean."""
        bucket = bucket_of(elapsed * self.scale)
        return max(self.total_after[bucket] - elapsed, MIN_REST_RATIO * elapsed)

    def share_within(self, ratio: float) -> float:
        """Return the share of requests that take at most this ratio."""
        if ratio <= 0:
            return 0.0
        position = BUCKETS_PER_OCTAVE * (
            math.log2(ratio * self.scale) + OCTAVES
        )
        if position <= 0:
            return 0.0
        bucket = int(position)
        if bucket >= BUCKETS:
            return 1.0
        before = self.cumulative[bucket]
        share = self.cumulative[bucket + 1] - before
        return before + share * (position - bucket)

    def _compute_tables(self) -> None:
        """Compute the tables of `remaining` and `share_within`.

        ``scale`` converts ratios whose mean is 1 to ratios as observed.
        """
        self.unread = 0
        self.scale = (
            math.fsum(
                ratio * count
                for ratio, count in zip(RATIOS, self.counts, strict=True)
            )
            / self.weight
        )
        cumulative = [0.0]
        for count in self.counts:
            cumulative.append(cumulative[-1] + count / self.weight)
        self.cumulative = cumulative
        self.total_after = self._means_from_bucket()
        self.deviation = math.fsum(
            abs(ratio / self.scale - 1) * count / self.weight
            for ratio, count in zip(RATIOS, self.counts, strict=True)
        )

    def _means_from_bucket(self) -> list[float]:
        """Return the mean of the ratios in each bucket and those above."""
        means = [0.0] * BUCKETS
        weight = 0.0
        total = 0.0
        for index in range(BUCKETS - 1, -1, -1):
            weight += self.counts[index]
            total += self.counts[index] * RATIOS[index]
            if weight:
                means[index] = total / weight / self.scale
        return means


PRIOR_DISTRIBUTION: Final = RatioDistribution()
