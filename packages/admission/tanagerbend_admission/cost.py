"""Model of what a request is likely to cost, learned from past requests.

Costs are seconds of work at an instance of usual speed.  The mean of a
route is refined by the features of a request: its caller, organisation, size
of body and path, each relative to what the earlier ones explain.  A feature
counts only as far as its earlier values have predicted later ones, so a
feature that predicts nothing changes nothing.
"""

from collections import OrderedDict
from typing import Final

import attrs

from tanagerbend_admission.cost_distribution import (
    PRIOR_DISTRIBUTION,
    RatioDistribution,
)

# Routes, and values of each feature of a route, that are remembered; the
# least recently used one is dropped.
MAX_ROUTES: Final = 1024
MAX_VALUES: Final = 128
# Least weight of a new cost in the mean of a route.
MIN_WEIGHT: Final = 0.02
# Number of observations of a value that count as much as the route's mean.
PRIOR_OBSERVATIONS: Final = 4.0
# Least weight of a new ratio in the mean of a value.
MIN_VALUE_WEIGHT: Final = 0.1
# Ratios above this are cut, so that one heavy request does not mark a value.
MAX_RATIO: Final = 8.0
# Weight of a new pair of ratios in the estimated reliability of a feature.
RELIABILITY_WEIGHT: Final = 0.02
# Variance added to that of past ratios; keeps reliability low at first.
PRIOR_VARIANCE: Final = 0.02
# Body sizes of one class differ by at most this power of two.
SIZE_CLASS_BITS: Final = 2
MAX_PATH_LENGTH: Final = 64


@attrs.frozen
class Features:
    """What is known of a request before it runs.

    Examples
    ========

    >>> Features.of_request('order', 'desk', '/order/7?x=1', 3000).size_class
    6

    Parameters
    ==========

    route : str
    caller : str
        Service on the host where the request originated.
    path : str
        Without the query, cut to ``MAX_PATH_LENGTH``.
    size_class : int
        Class of the size of its body; 0 without a body.
    organisation : str
        Empty if unknown.
    """

    route: str
    caller: str = ''
    path: str = ''
    size_class: int = 0
    organisation: str = ''

    @classmethod
    def of_request(
        cls,
        route: str,
        caller: str,
        path: str,
        size: int,
        organisation: str = '',
    ) -> 'Features':
        """Return the features of a request with a body of ``size`` bytes."""
        return cls(
            route,
            caller,
            path.partition('?')[0][:MAX_PATH_LENGTH],
            size.bit_length() // SIZE_CLASS_BITS,
            organisation,
        )


@attrs.frozen
class CostEstimate:
    """Estimated cost of a request in seconds of work at usual speed.

    Parameters
    ==========

    mean : float
        0 if nothing is known of its route.
    distribution : RatioDistribution
        Distribution of past costs, relative to their estimates.
    """

    mean: float = 0.0
    distribution: RatioDistribution = attrs.field(
        default=PRIOR_DISTRIBUTION, repr=False
    )

    @property
    def deviation(self) -> float:
        """Return the mean absolute deviation in seconds of work."""
        return self.mean * self.distribution.deviation

    def remaining(self, elapsed: float) -> float:
        """Return the expected work left after ``elapsed`` seconds of work.

        Most requests take about the mean, and a few take much longer, so a
        request that has run for several times the mean has much work left.
        """
        if not self.mean:
            return 0.0
        return self.mean * self.distribution.remaining(elapsed / self.mean)


@attrs.define
class ObservedValue:
    """Mean cost of one value of a feature, relative to its expectation."""

    ratio: float = 1.0
    count: int = 0

    @property
    def shrunk(self) -> float:
        """Return the ratio less 1, shrunk for few observations."""
        weight = self.count / (self.count + PRIOR_OBSERVATIONS)
        return weight * (self.ratio - 1)


class FeatureCosts:
    """Costs by value of one feature of a route.

    Attributes
    ==========

    reliability : float
        How far earlier ratios of a value predict its later ones, between
        0 and 1; the slope of the linear regression of the one on the other.
    """

    def __init__(self) -> None:
        self.known: OrderedDict[str | int, ObservedValue] = OrderedDict()
        self.covariance = 0.0
        self.variance = 0.0

    @property
    def reliability(self) -> float:
        """Return the regression slope of new ratios on earlier ones."""
        slope = self.covariance / (self.variance + PRIOR_VARIANCE)
        return min(max(slope, 0.0), 1.0)

    def factor(self, key: str | int) -> float:
        """Return the factor by which a value changes the expected cost."""
        found = self.known.get(key)
        if found is None:
            return 1.0
        return 1 + self.reliability * found.shrunk

    def observe(self, key: str | int, ratio: float) -> None:
        """Record a cost relative to what was expected without the value."""
        found = self.known.get(key)
        if found is None:
            if len(self.known) >= MAX_VALUES:
                self.known.popitem(last=False)
            found = ObservedValue()
            self.known[key] = found
        else:
            self.known.move_to_end(key)
            self._observe_reliability(found.shrunk, ratio - 1)
        found.count += 1
        weight = max(1 / found.count, MIN_VALUE_WEIGHT)
        found.ratio += weight * (ratio - found.ratio)

    def _observe_reliability(self, predicted: float, observed: float) -> None:
        self.covariance += RELIABILITY_WEIGHT * (
            predicted * observed - self.covariance
        )
        self.variance += RELIABILITY_WEIGHT * (predicted**2 - self.variance)


class RouteCosts:
    """Costs of the requests of one route."""

    def __init__(self) -> None:
        self.mean = 0.0
        self.count = 0
        self.features = tuple(FeatureCosts() for _ in range(4))
        self.distribution = RatioDistribution()

    def estimate(self, keys: tuple[str | int, ...]) -> CostEstimate:
        """Return the estimated cost of a request with these keys."""
        mean = self.mean
        for feature, key in zip(self.features, keys, strict=True):
            if key:
                mean *= feature.factor(key)
        return CostEstimate(mean, self.distribution)

    def observe(self, keys: tuple[str | int, ...], cost: float) -> None:
        """Record the cost of a request with these keys."""
        expected = self.mean
        for feature, key in zip(self.features, keys, strict=True):
            if not key or not expected:
                continue
            factor = feature.factor(key)
            feature.observe(key, min(cost / expected, MAX_RATIO))
            expected *= factor
        if expected:
            self.distribution.observe(cost / expected)
        self.count += 1
        weight = max(1 / self.count, MIN_WEIGHT)
        self.mean += weight * (cost - self.mean)


class CostModel:
    """Costs by the features of requests; O(1) for each request.

    Examples
    ========

    >>> model = CostModel()
    >>> model.estimate(Features('page')).mean
    0.0
    >>> model.observe(Features('page'), seconds=0.3, speed=1.5)
    >>> round(model.estimate(Features('page')).mean, 3)
    0.2
    """

    def __init__(self) -> None:
        self.routes: OrderedDict[str, RouteCosts] = OrderedDict()

    def estimate(self, features: Features) -> CostEstimate:
        """Return the estimated cost of a request."""
        found = self.routes.get(features.route)
        if found is None:
            return CostEstimate()
        return found.estimate(_refining_values(features))

    def weight(self, features: Features) -> float:
        """Return the expected cost relative to the mean of the route."""
        found = self.routes.get(features.route)
        if found is None or not found.mean:
            return 1.0
        return found.estimate(_refining_values(features)).mean / found.mean

    def observe(
        self, features: Features, seconds: float, speed: float = 1.0
    ) -> None:
        """Record a request that took ``seconds``.

        ``speed`` is the mean time of work while it ran, relative to the
        usual time: 2 if the instance took twice as long as usual.
        """
        found = self.routes.get(features.route)
        if found is None:
            if len(self.routes) >= MAX_ROUTES:
                self.routes.popitem(last=False)
            found = RouteCosts()
            self.routes[features.route] = found
        else:
            self.routes.move_to_end(features.route)
        found.observe(_refining_values(features), seconds / speed)


def _refining_values(features: Features) -> tuple[str | int, ...]:
    return (
        features.caller,
        features.organisation,
        features.size_class,
        features.path,
    )
