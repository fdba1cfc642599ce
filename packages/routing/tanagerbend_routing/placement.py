"""Selection of an instance by the expected time until its answer.

It accounts for instances that differ in speed, are cold, failing or busy, for
host links that large answers keep busy, and for links between failure
domains that cost time and money.  The owner of an instance reports its load
with each answer; between reports the daemon counts its own requests.

With hundreds of instances a daemon gets a report from each of them only once
in many seconds, which is too old to choose by.  The daemon always knows the
load of the local instance, on its own host, whose answers pass only one
daemon and one link.  A free slot there is therefore used first.  Only some of
the other instances are compared, so that the time of a choice does not grow
with their number.
"""

import itertools
import math
from collections.abc import Callable, Iterable
from typing import Final

from tanagerbend_interfaces import Randomness
from tanagerbend_metrics import Recorder
from tanagerbend_routing.candidates import (
    MAX_COMPARED,
    Candidate,
    Candidates,
    Instances,
    eligible_candidates,
)
from tanagerbend_routing.observations import LoadReport, ObservedInstance
from tanagerbend_routing.prefixes import PrefixRoute
from tanagerbend_routing.listed_instance import ListedInstance
from tanagerbend_routing.route_work import SMOOTHING_WEIGHT, RouteWork

# Weight of one request in the moving average of failures.
FAILURE_WEIGHT: Final = 0.15
# The expected time of an instance is increased by this factor times its failure
# ratio, and multiplied by ``COLD_FACTOR`` while it is cold.
FAILURE_FACTOR: Final = 20.0
COLD_FACTOR: Final = 2.0
# Requests arrive at random, so the expected waiting time grows before all
# slots are taken: by this ratio of the work at full load.
QUEUEING_FACTOR: Final = 0.25
# Round trip between failure domains, and the cost of each kilobyte between
# them in seconds; the platform charges for these bytes.
CROSS_DOMAIN_SECONDS: Final = 0.005
CROSS_DOMAIN_SECONDS_PER_KB: Final = 0.003
# A route whose objective exceeds this multiple of its work can use a slow
# instance.  The cost of a fast instance is increased by ``RELAXED_WEIGHT``
# times the work, divided by the slowdown of the instance.
RELAXED_RATIO: Final = 4.0
RELAXED_WEIGHT: Final = 2.0
JITTER: Final = 0.1
# Time during which an owner that refused gets no requests of that rank.  An
# instance frees two or three slots in this time.  It doubles with each
# consecutive refusal, because a refused request costs the two daemons about
# as much as a served one.
REFUSAL_BACKOFF_SECONDS: Final = 0.04
MAX_REFUSAL_BACKOFF_SECONDS: Final = 0.16
# The same for an owner whose instance is cold: it takes a few requests a second
# from all daemons together, so with many daemons each has to ask seldom.
MAX_COLD_BACKOFF_SECONDS: Final = 1.0
# A transfer between failure domains is costly if it takes more than this ratio
# of the objective.  It is avoided while an instance of the own domain is
# expected to answer within ``NEARBY_OBJECTIVE_RATIO`` of the objective.
COSTLY_OBJECTIVE_RATIO: Final = 0.25
NEARBY_OBJECTIVE_RATIO: Final = 0.5
# Upper bound of the slowdown that one answer contributes to the average.
MAX_SLOWDOWN_SAMPLE: Final = 10.0
MIN_WORK_SECONDS: Final = 0.001
# Time during which an unreachable instance is avoided.  It doubles with each
# consecutive failure to reach it.
MIN_AVOID_SECONDS: Final = 0.25
MAX_AVOID_SECONDS: Final = 2.0


def no_delay(_size: float) -> float:
    """Return the time to send over an unknown link, which is 0."""
    return 0.0


class Placement:
    """Selects instances for the requests of one daemon.

    Attributes
    ==========

    local_address : str
        ``address:port`` of the local instance, which is on the same host.
        Its answers cross only the link of this host.
    link_delay : callable
        Returns the seconds until an answer of the given size in bytes has
        left this host.
    local_free_slots : callable
        Returns the number of free slots of the local instance.

    Parameters
    ==========

    failure_domain : str
    random : Randomness
    recorder : Recorder
    """

    def __init__(
        self,
        failure_domain: str,
        random: Randomness,
        recorder: Recorder,
    ) -> None:
        self.failure_domain = failure_domain
        self.random = random
        self.recorder = recorder
        self.timer = recorder.timer
        self.observations: dict[tuple[str, int], ObservedInstance] = {}
        self.route_work: dict[str, RouteWork] = {}
        self.local_address = ''
        self.link_delay: Callable[[float], float] = no_delay
        self.local_free_slots: Callable[[], int] = int
        # By the ``id`` of each tuple of instances that was chosen from.
        self.cached_candidates: dict[int, Candidates] = {}

    def choose(
        self,
        instances: Instances,
        route: PrefixRoute,
        exclude: frozenset[str],
    ) -> ListedInstance | None:
        """Return the instance that is expected to answer first.

        ``exclude`` holds identities.  The local instance is preferred while
        it has a free slot.  An avoided instance is used only if there is no
        other.  Large answers cross to another failure domain only if no
        instance of the own domain is likely to answer on time.
        """
        now = self.timer.now()
        candidate_set = self._candidates(instances)
        is_first = not exclude
        if is_first and candidate_set.is_local_preferred(
            route.rank, self.local_free_slots(), now
        ):
            return candidate_set.local[0]
        if is_first and self._is_costly_to_transfer(route):
            eligible = list(
                eligible_candidates(
                    candidate_set.pairs, route.rank, exclude, now
                )
            )
            on_time = self._on_time_in_own_domain(eligible, route, now)
            return self._select_cheapest(on_time or eligible, route, now)
        sampled = candidate_set.rotated(self.random)
        eligible = eligible_candidates(sampled, route.rank, exclude, now)
        return self._select_cheapest(
            itertools.islice(eligible, MAX_COMPARED), route, now
        )

    def _on_time_in_own_domain(
        self,
        candidates: Iterable[Candidate],
        route: PrefixRoute,
        now: float,
    ) -> list[Candidate]:
        """Return the candidates of the own domain that are likely on time."""
        work = self.work_of(route.name)
        time_limit = NEARBY_OBJECTIVE_RATIO * route.objective
        return [
            (instance, observed)
            for instance, observed in candidates
            if self._is_in_own_domain(instance)
            and self.expected_seconds(instance, observed, route, work, now)
            <= time_limit
        ]

    def _candidates(self, instances: Instances) -> Candidates:
        """Return the instances with their observed state."""
        found = self.cached_candidates.get(id(instances))
        if found is None:
            found = Candidates.build(
                instances,
                [(each, self.observed_instance(each)) for each in instances],
                self.local_address,
                self.random,
            )
            self.cached_candidates[id(instances)] = found
        return found

    def _select_cheapest(
        self,
        candidates: Iterable[Candidate],
        route: PrefixRoute,
        now: float,
    ) -> ListedInstance | None:
        """Return the instance of least expected cost, with random jitter."""
        work = self.work_of(route.name)
        cheapest = None
        least_cost = math.inf
        for instance, observed in candidates:
            jitter = 1 + JITTER * self.random.random()
            # The cost is never less than the time of the work itself.
            if (
                cheapest is not None
                and work.seconds * observed.slowdown >= least_cost
            ):
                continue
            jittered_cost = (
                self.expected_cost(instance, observed, route, work, now)
                * jitter
            )
            if cheapest is None or jittered_cost < least_cost:
                cheapest = instance
                least_cost = jittered_cost
        return cheapest

    def _is_in_own_domain(self, instance: ListedInstance) -> bool:
        return instance.failure_domain == self.failure_domain

    def _is_costly_to_transfer(self, route: PrefixRoute) -> bool:
        work = self.work_of(route.name)
        cost = CROSS_DOMAIN_SECONDS_PER_KB * work.kilobytes
        return cost > COSTLY_OBJECTIVE_RATIO * route.objective

    def expected_cost(
        self,
        instance: ListedInstance,
        observed: ObservedInstance,
        route: PrefixRoute,
        work: RouteWork,
        now: float,
    ) -> float:
        """Return the expected seconds until an answer plus other costs."""
        seconds = self.expected_seconds(instance, observed, route, work, now)
        if route.objective > RELAXED_RATIO * work.seconds:
            # Keeps fast instances free for routes with tight objectives.
            seconds += RELAXED_WEIGHT * work.seconds / observed.slowdown
        if self._is_in_own_domain(instance):
            return seconds
        return (
            seconds
            + CROSS_DOMAIN_SECONDS
            + CROSS_DOMAIN_SECONDS_PER_KB * work.kilobytes
        )

    def expected_seconds(
        self,
        instance: ListedInstance,
        observed: ObservedInstance,
        route: PrefixRoute,
        work: RouteWork,
        now: float,
    ) -> float:
        """Return the expected seconds until an answer reaches its caller."""
        seconds = work.seconds * observed.slowdown
        if now < instance.cold_until:
            seconds *= COLD_FACTOR
        busy = observed.requests_ahead(route.rank, now)
        load = (busy + 1) / max(instance.slots, 1)
        occupancy = load if load > 1 else 1.0
        seconds *= occupancy + QUEUEING_FACTOR * load
        if observed.failure_ratio:
            seconds *= 1 + FAILURE_FACTOR * observed.current_failure_ratio(now)
        if observed.owner_delay:
            seconds += observed.current_owner_delay(now)
        if not work.is_large:
            return seconds
        # Sending earlier answers overlaps with the work of the instance.
        seconds = max(seconds, observed.link_busy_until - now)
        seconds += work.kilobytes * observed.link_seconds_per_kilobyte
        is_local = instance.address == self.local_address
        return seconds if is_local else seconds + self.link_delay(work.size)

    def remaining_objective(self, route: PrefixRoute, left: float) -> float:
        """Return the seconds within which an answer is on time.

        ``left`` is the time until the deadline of the caller.  The objective
        counts from the first attempt of a caller, so less time remains for
        one that tries again after a refusal.  This is considered only for
        routes with large answers.
        """
        work = self.work_of(route.name)
        if not work.is_large:
            return route.objective
        return route.objective - work.seconds_since_first_attempt(left)

    def work_of(self, route: str) -> RouteWork:
        """Return the typical work of a route."""
        found = self.route_work.get(route)
        if found is None:
            found = RouteWork()
            self.route_work[route] = found
        return found

    def observed_instance(self, instance: ListedInstance) -> ObservedInstance:
        """Return the observed state of this start of an instance."""
        key = (instance.identity, instance.born)
        found = self.observations.get(key)
        if found is None:
            found = ObservedInstance()
            self.observations[key] = found
        return found

    def record_report(
        self,
        instance: ListedInstance,
        rank: int,
        report: LoadReport,
    ) -> None:
        """Record the load that an owner reports for a rank."""
        observed = self.observed_instance(instance)
        now = self.timer.now()
        load = observed.rank_load(rank)
        load.reported = report.busy
        load.reported_at = now
        if report.service_seconds:
            load.backoff_seconds = 0.0
        observed.link_busy_until = now + report.link_busy_seconds
        observed.link_seconds_per_kilobyte = report.link_seconds_per_kilobyte
        if instance.address != self.local_address:
            # The delay of this daemon affects requests to all instances
            # equally.
            observed.owner_delay = report.owner_delay
            observed.owner_delay_at = now

    def record_placed(self, instance: ListedInstance, route: str) -> None:
        """Add an expected large answer to the busy time of the host link.

        The next report of the owner replaces this estimate.
        """
        work = self.work_of(route)
        if not work.is_large:
            return
        observed = self.observed_instance(instance)
        begin = max(observed.link_busy_until, self.timer.now())
        observed.link_busy_until = (
            begin + work.kilobytes * observed.link_seconds_per_kilobyte
        )

    def back_off(
        self,
        instance: ListedInstance,
        rank: int,
        *,
        is_large: bool = False,
    ) -> None:
        """Back off from an owner that refused a request of a rank.

        The backoff doubles with each consecutive refusal: the owner has
        queued requests that fill each free slot.  It stays short for large
        answers, which wait for a link that becomes free after each answer.
        """
        load = self.observed_instance(instance).rank_load(rank)
        backoff = max(
            REFUSAL_BACKOFF_SECONDS,
            0.0 if is_large else 2 * load.backoff_seconds,
        )
        now = self.timer.now()
        maximum = MAX_REFUSAL_BACKOFF_SECONDS
        if now < instance.cold_until:
            maximum = MAX_COLD_BACKOFF_SECONDS
        load.backoff_seconds = min(backoff, maximum)
        load.refusing_until = now + load.backoff_seconds

    def record_answer(
        self,
        instance: ListedInstance,
        route: str,
        seconds: float,
        kilobytes: float,
    ) -> None:
        """Record an answer of an instance."""
        observed = self.observed_instance(instance)
        work = self.work_of(route)
        ratio = seconds / max(work.seconds, MIN_WORK_SECONDS)
        observed.slowdown += SMOOTHING_WEIGHT * (
            min(ratio, MAX_SLOWDOWN_SAMPLE) - observed.slowdown
        )
        work.observe(seconds / max(observed.slowdown, 0.1), kilobytes)
        self._record_outcome(observed, 0.0)
        observed.avoid_seconds = 0.0

    def record_failure(self, instance: ListedInstance) -> None:
        """Record a failed request at the instance."""
        self._record_outcome(self.observed_instance(instance), 1.0)

    def record_unreachable(self, instance: ListedInstance) -> None:
        """Avoid an instance whose daemon or process cannot be reached."""
        observed = self.observed_instance(instance)
        backoff = max(MIN_AVOID_SECONDS, 2 * observed.avoid_seconds)
        observed.avoid_seconds = min(backoff, MAX_AVOID_SECONDS)
        observed.avoid_until = self.timer.now() + observed.avoid_seconds
        self._record_outcome(observed, 1.0)

    def _record_outcome(
        self, observed: ObservedInstance, failure: float
    ) -> None:
        now = self.timer.now()
        before = observed.current_failure_ratio(now)
        observed.failure_ratio = before + FAILURE_WEIGHT * (failure - before)
        observed.failure_ratio_at = now

    def retain(self, instances: Iterable[ListedInstance]) -> None:
        """Remove the state of instances that are no longer listed."""
        self.cached_candidates.clear()
        listed = {(each.identity, each.born) for each in instances}
        for key in self.observations.keys() - listed:
            if not self.observations[key].outstanding:
                self.observations.pop(key)
