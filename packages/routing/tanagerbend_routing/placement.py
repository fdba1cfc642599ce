"""Choice of an instance by the time until the answer is expected.

The load it answers: instances that differ in speed, are cold, grey or
busy, hosts whose links large answers fill, and links between failure
domains that cost time and money.  The owner of an instance reports its
load with each answer; between reports the daemon counts its own requests.

With hundreds of instances a daemon hears from each of them once in many
seconds, so that reports are too old to choose by.  The instance on its own
host is the one whose load it knows at any time, and whose answers pass one
daemon and one link; a free slot there is taken first.  Of the others only
some are compared, so that the time of a choice does not grow with them.
"""

import itertools
import math
from collections.abc import Callable, Iterable
from typing import Final

from tanagerbend_interfaces import Randomness
from tanagerbend_metrics import Recorder
from tanagerbend_routing.candidates import (
    MOST_COMPARED,
    Candidate,
    Candidates,
    Instances,
    allowed,
)
from tanagerbend_routing.prefixes import PrefixRoute
from tanagerbend_routing.registry import ListedInstance
from tanagerbend_routing.route_work import SPEED_WEIGHT, RouteWork
from tanagerbend_routing.seen import LoadReport, Seen

FAILURE_WEIGHT: Final = 0.15
# An instance that fails all requests looks slower by this factor.
FAILURE_FACTOR: Final = 20.0
COLD_FACTOR: Final = 2.0
# Expected waiting at an instance grows before all slots are taken, since
# requests come at random.
CROWDING: Final = 0.25
# Round trip between failure domains, and the time that each kilobyte
# between them is worth; the platform charges for these bytes.
DISTANCE_SECONDS: Final = 0.005
DISTANCE_SECONDS_PER_KB: Final = 0.003
# A route whose objective is longer than this many times its work can wait
# at a slow instance, and counts a fast one as slower by this many times its
# work there.
RELAXED_RATIO: Final = 4.0
RELAXED_WEIGHT: Final = 2.0
JITTER: Final = 0.1
# Time in which an instance of today's sizes frees two or three slots, for
# which an owner is not asked that refused.  It doubles with each refusal in
# a row: a question costs two daemons about as much as a served request.
FULL_SECONDS: Final = 0.04
LONGEST_FULL_SECONDS: Final = 0.16
# Bytes between failure domains that count as more of the objective than
# this are spared while an instance of the own domain is expected to answer
# within ``NEAR_SHARE`` of the objective.
COSTLY_SHARE: Final = 0.25
NEAR_SHARE: Final = 0.5
# One answer moves the estimate of a speed at most this far.
MOST_RATIO: Final = 10.0
LEAST_WORK_SECONDS: Final = 0.001
FIRST_AVOID_SECONDS: Final = 0.25
LONGEST_AVOID_SECONDS: Final = 2.0


def no_seconds(_size: float) -> float:
    """Return the time to send over a link that is not known."""
    return 0.0


class Placement:
    """Chooses instances for the requests of one daemon.

    Attributes
    ==========

    own_address : str
        ``address:port`` of the instance on the same host, whose answers
        leave this host once.
    sending : callable
        Returns the seconds until an answer of some bytes has left this
        host.
    own_free : callable
        Returns the free slots of the instance on the same host.

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
        self.seen: dict[tuple[str, int], Seen] = {}
        self.work: dict[str, RouteWork] = {}
        self.own_address = ''
        self.sending: Callable[[float], float] = no_seconds
        self.own_free: Callable[[], int] = int
        # By the identity of each tuple that was chosen from.
        self.known: dict[int, Candidates] = {}

    def choose(
        self,
        instances: Instances,
        route: PrefixRoute,
        exclude: frozenset[str],
    ) -> ListedInstance | None:
        """Return the instance that is expected to answer first.

        ``exclude`` holds identities.  The instance on the own host goes
        first while it has a free slot.  An instance that is avoided is used
        only where there is no other.  Large answers leave the own failure
        domain only if it has no instance that is likely to be on time.
        """
        now = self.timer.now()
        known = self._candidates(instances)
        is_first = not exclude
        if is_first and known.is_own_idle(route.rank, self.own_free(), now):
            return known.own[0]
        if is_first and self._is_costly_to_move(route):
            left = list(allowed(known.pairs, route.rank, exclude, now))
            near = self._on_time_nearby(left, route, now)
            return self._first(near or left, route, now)
        drawn = known.drawn(self.random)
        left = allowed(drawn, route.rank, exclude, now)
        return self._first(itertools.islice(left, MOST_COMPARED), route, now)

    def _on_time_nearby(
        self,
        left: Iterable[Candidate],
        route: PrefixRoute,
        now: float,
    ) -> list[Candidate]:
        """Return those of the own failure domain that are likely on time."""
        work = self.work_of(route.name)
        most = NEAR_SHARE * route.objective
        return [
            (instance, seen)
            for instance, seen in left
            if self._is_near(instance)
            and self.ends_in(instance, seen, route, work, now) <= most
        ]

    def _candidates(self, instances: Instances) -> Candidates:
        """Return the instances with what was seen of them."""
        found = self.known.get(id(instances))
        if found is None:
            found = Candidates.build(
                instances,
                [(each, self.of(each)) for each in instances],
                self.own_address,
                self.random,
            )
            self.known[id(instances)] = found
        return found

    def _first(
        self,
        left: Iterable[Candidate],
        route: PrefixRoute,
        now: float,
    ) -> ListedInstance | None:
        """Return the one that is expected to answer first, by chance."""
        work = self.work_of(route.name)
        first = None
        least = math.inf
        for instance, seen in left:
            jitter = 1 + JITTER * self.random.random()
            # An answer takes at least the work, whatever else is ahead.
            if first is not None and work.seconds * seen.speed >= least:
                continue
            expected = self.expected(instance, seen, route, work, now) * jitter
            if first is None or expected < least:
                first = instance
                least = expected
        return first

    def _is_near(self, instance: ListedInstance) -> bool:
        return instance.failure_domain == self.failure_domain

    def _is_costly_to_move(self, route: PrefixRoute) -> bool:
        work = self.work_of(route.name)
        cost = DISTANCE_SECONDS_PER_KB * work.kilobytes
        return cost > COSTLY_SHARE * route.objective

    def expected(
        self,
        instance: ListedInstance,
        seen: Seen,
        route: PrefixRoute,
        work: RouteWork,
        now: float,
    ) -> float:
        """Return the seconds until an answer, and what else it costs."""
        seconds = self.ends_in(instance, seen, route, work, now)
        if route.objective > RELAXED_RATIO * work.seconds:
            # Fast instances are left to work that needs them.
            seconds += RELAXED_WEIGHT * work.seconds / seen.speed
        if self._is_near(instance):
            return seconds
        return (
            seconds
            + DISTANCE_SECONDS
            + DISTANCE_SECONDS_PER_KB * work.kilobytes
        )

    def ends_in(
        self,
        instance: ListedInstance,
        seen: Seen,
        route: PrefixRoute,
        work: RouteWork,
        now: float,
    ) -> float:
        """Return the seconds until an answer is expected at its caller."""
        seconds = work.seconds * seen.speed
        if now < instance.cold_until:
            seconds *= COLD_FACTOR
        busy = seen.busy_now(route.rank, now)
        load = (busy + 1) / max(instance.slots, 1)
        taken = load if load > 1 else 1.0
        seconds *= taken + CROWDING * load
        if seen.failures:
            seconds *= 1 + FAILURE_FACTOR * seen.failing(now)
        if seen.behind:
            seconds += seen.behind_now(now)
        if not work.is_large:
            return seconds
        # The link is used by others while the instance works.
        seconds = max(seconds, seen.sending_until - now)
        seconds += work.kilobytes * seen.per_kilobyte
        is_own = instance.address == self.own_address
        return seconds if is_own else seconds + self.sending(work.size)

    def on_time_in(self, route: PrefixRoute, left: float) -> float:
        """Return the seconds left for an answer on time.

        A caller with ``left`` seconds that comes back after a refusal has
        less time left than others, and its objective counts from its
        first attempt.  Only large answers heed this.
        """
        work = self.work_of(route.name)
        if not work.is_large:
            return route.objective
        return route.objective - work.age_of(left)

    def work_of(self, route: str) -> RouteWork:
        """Return the typical work of a route."""
        found = self.work.get(route)
        if found is None:
            found = RouteWork()
            self.work[route] = found
        return found

    def of(self, instance: ListedInstance) -> Seen:
        """Return what was seen of this start of an instance."""
        key = (instance.identity, instance.born)
        found = self.seen.get(key)
        if found is None:
            found = Seen()
            self.seen[key] = found
        return found

    def reported(
        self,
        instance: ListedInstance,
        rank: int,
        report: LoadReport,
    ) -> None:
        """Take the load that an owner reports for a rank."""
        seen = self.of(instance)
        now = self.timer.now()
        load = seen.of_rank(rank)
        load.reported = report.busy
        load.reported_at = now
        if report.served:
            load.full_seconds = 0.0
        seen.sending_until = now + report.sending
        seen.per_kilobyte = report.per_kilobyte
        if instance.address != self.own_address:
            # A request waits for the own daemon wherever it is placed.
            seen.behind = report.behind
            seen.behind_at = now

    def asked(self, instance: ListedInstance, route: str) -> None:
        """Count a large answer that is to come, until the next report."""
        work = self.work_of(route)
        if not work.is_large:
            return
        seen = self.of(instance)
        begin = max(seen.sending_until, self.timer.now())
        seen.sending_until = begin + work.kilobytes * seen.per_kilobyte

    def full(
        self,
        instance: ListedInstance,
        rank: int,
        *,
        is_large: bool = False,
    ) -> None:
        """Ask an owner that refused a rank no more for a moment.

        It has requests that wait, so no slot stays free meanwhile.  For a
        large answer the link decides, which is free after each answer.
        """
        load = self.of(instance).of_rank(rank)
        longer = max(FULL_SECONDS, 0.0 if is_large else 2 * load.full_seconds)
        load.full_seconds = min(longer, LONGEST_FULL_SECONDS)
        load.full_until = self.timer.now() + load.full_seconds

    def served(
        self,
        instance: ListedInstance,
        route: str,
        seconds: float,
        kilobytes: float,
    ) -> None:
        """Take the end of a request that the instance answered."""
        seen = self.of(instance)
        work = self.work_of(route)
        ratio = seconds / max(work.seconds, LEAST_WORK_SECONDS)
        seen.speed += SPEED_WEIGHT * (min(ratio, MOST_RATIO) - seen.speed)
        work.observe(seconds / max(seen.speed, 0.1), kilobytes)
        self._count(seen, 0.0)
        seen.avoid_seconds = 0.0

    def failed(self, instance: ListedInstance) -> None:
        """Take a failure of the instance."""
        self._count(self.of(instance), 1.0)

    def unreachable(self, instance: ListedInstance) -> None:
        """Avoid an instance whose daemon or process is not there."""
        seen = self.of(instance)
        longer = max(FIRST_AVOID_SECONDS, 2 * seen.avoid_seconds)
        seen.avoid_seconds = min(longer, LONGEST_AVOID_SECONDS)
        seen.avoid_until = self.timer.now() + seen.avoid_seconds
        self._count(seen, 1.0)

    def _count(self, seen: Seen, failure: float) -> None:
        now = self.timer.now()
        before = seen.failing(now)
        seen.failures = before + FAILURE_WEIGHT * (failure - before)
        seen.failed_at = now

    def retain(self, instances: Iterable[ListedInstance]) -> None:
        """Forget instances that are not listed any more."""
        self.known.clear()
        listed = {(each.identity, each.born) for each in instances}
        for key in self.seen.keys() - listed:
            if not self.seen[key].outstanding:
                self.seen.pop(key)
