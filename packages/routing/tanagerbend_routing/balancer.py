"""Selection of an instance by the calls that this daemon has observed."""

from typing import Final

import attrs

from tanagerbend_interfaces import Member, Randomness
from tanagerbend_metrics import Event, Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_routing.stats import (
    SLOW_START_SECONDS,
    InstanceStats,
    Result,
)
from tanagerbend_routing.table import Route

# An instance of the own failure domain with this many outstanding calls from
# this daemon, or with a larger ratio of refusals, is overloaded: instances of
# other domains are considered as well.  An instance has 6 slots.
SPILL_OUTSTANDING_CALLS: Final = 6
SPILL_REFUSAL_RATIO: Final = 0.1
# Latency assumed for instances that have not answered yet.
INITIAL_LATENCY_SECONDS: Final = 0.005
# At most one of this many instances of a service is ejected at a time.
INSTANCES_PER_EJECTION: Final = 3

Members = tuple[Member, ...]


@attrs.frozen
class DomainSplit:
    """Instances of one service inside and outside the own failure domain.

    Parameters
    ==========

    members : tuple of Member
        All instances of the service.
    near : tuple of Member
        Instances in the failure domain of this daemon.
    far : tuple of Member
        Instances in other failure domains.
    """

    members: Members
    near: Members
    far: Members


class Balancer:
    """Chooses the better of two random instances, preferring its own domain.

    Explanation
    ===========

    Instances of other failure domains are considered when the chosen
    instance of the own domain is busy or refuses work, or when the own
    domain has none.  An instance that fails several times in a row is
    ejected: it gets no calls for a time that grows with each ejection.
    There are no health probes; the first call after that time is the test.

    Parameters
    ==========

    failure_domain : str
        Failure domain of this daemon, whose instances are preferred.
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
        self.stats: dict[str, InstanceStats] = {}
        self.ejected: dict[str, Member] = {}
        self.splits: dict[str, DomainSplit] = {}

    def choose(
        self,
        route: Route,
        exclude: frozenset[str] = frozenset(),
    ) -> Member | Refusal:
        """Return an instance whose host is not in ``exclude``."""
        split = self._split(route)
        now = self.timer.now()
        excluded = (
            exclude | self._ejected_hosts(now) if self.ejected else exclude
        )
        near = self._better_of_two(split.near, excluded, now)
        if near is not None and not self._is_overloaded(near, now):
            return near
        far = self._better_of_two(split.far, excluded, now)
        candidates = [member for member in (near, far) if member is not None]
        if candidates:
            return min(candidates, key=lambda member: self._score(member, now))
        # An ejected instance is used if there is no other.
        fallback = self._better_of_two(split.members, exclude, now)
        if fallback is None:
            reason = f'no instance of {route.work.service!r} is left'
            return Refusal(ResultCode.NO_INSTANCE, reason)
        return fallback

    def _split(self, route: Route) -> DomainSplit:
        service = route.work.service
        cached = self.splits.get(service)
        if cached is not None and cached.members is route.instances:
            return cached
        members = route.instances
        near = tuple(
            member
            for member in members
            if member.failure_domain == self.failure_domain
        )
        far = tuple(
            member
            for member in members
            if member.failure_domain != self.failure_domain
        )
        split = DomainSplit(members, near, far)
        self._init_stats(split, is_first=cached is None)
        self.splits[service] = split
        return split

    def _init_stats(self, split: DomainSplit, *, is_first: bool) -> None:
        """Create statistics of new instances.

        Instances that appear after the first table go through slow start.
        """
        warm_at = 0.0 if is_first else self.timer.now() + SLOW_START_SECONDS
        for member in split.members:
            stats = self.stats.get(member.host)
            if stats is None or _is_restarted(stats, member):
                self.stats[member.host] = InstanceStats(
                    member.incarnation,
                    warm_at,
                )
                self.ejected.pop(member.host, None)
            else:
                stats.incarnation = member.incarnation

    def _better_of_two(
        self,
        members: Members,
        excluded: frozenset[str],
        now: float,
    ) -> Member | None:
        if excluded:
            members = tuple(
                member for member in members if member.host not in excluded
            )
        count = len(members)
        if count < 2:
            return members[0] if members else None
        first = int(self.random.random() * count)
        second = int(self.random.random() * (count - 1))
        if second >= first:
            second += 1
        one, other = members[first], members[second]
        if self._score(other, now) < self._score(one, now):
            return other
        return one

    def _score(self, member: Member, now: float) -> float:
        return self.stats_of(member).score(now, INITIAL_LATENCY_SECONDS)

    def _is_overloaded(self, member: Member, now: float) -> bool:
        stats = self.stats_of(member)
        return (
            stats.outstanding >= SPILL_OUTSTANDING_CALLS
            or stats.recent_refusals(now) > SPILL_REFUSAL_RATIO
        )

    def _ejected_hosts(self, now: float) -> frozenset[str]:
        """Remove ejections that have ended and return the ejected hosts."""
        for host in list(self.ejected):
            stats = self.stats.get(host)
            if stats is None or now >= stats.ejected_until:
                self.ejected.pop(host)
        return frozenset(self.ejected)

    def stats_of(self, member: Member) -> InstanceStats:
        """Return the statistics of an instance."""
        stats = self.stats.get(member.host)
        if stats is None:
            stats = InstanceStats(member.incarnation)
            self.stats[member.host] = stats
        return stats

    def call_started(self, member: Member) -> InstanceStats:
        """Count a call sent to an instance.

        The returned statistics are passed to ``call_finished`` when it ends.
        """
        stats = self.stats_of(member)
        stats.outstanding += 1
        return stats

    def record_reported_load(self, stats: InstanceStats, load: str) -> None:
        """Record the load in percent that an answer reports, if it is valid."""
        if load.isascii() and load.isdigit() and len(load) < 4:
            stats.record_load(self.timer.now(), int(load))

    def call_finished(
        self,
        member: Member,
        stats: InstanceStats,
        result: Result,
        seconds: float,
    ) -> None:
        """Record the result of a call that took ``seconds``."""
        stats.outstanding -= 1
        stats.observe(result, seconds, self.timer.now())
        if result is Result.FAILED and stats.is_outlier():
            self._eject(member, stats)

    def _eject(self, member: Member, stats: InstanceStats) -> None:
        split = self.splits.get(member.service)
        now = self.timer.now()
        if split is None or self.stats.get(member.host) is not stats:
            return
        self._ejected_hosts(now)
        ejected = sum(
            other.service == member.service for other in self.ejected.values()
        )
        if (ejected + 1) * INSTANCES_PER_EJECTION > len(split.members):
            self.recorder.count('ejections_withheld', member.service)
            return
        stats.eject(now)
        self.ejected[member.host] = member
        reason = f'for {stats.ejection_seconds:.0f} s'
        self.recorder.record_event(Event.INSTANCE_EJECTED, member.host, reason)

    def retain(self, services: dict[str, tuple[Route, ...]]) -> None:
        """Remove the statistics of hosts that no route refers to."""
        hosts = {
            member.host
            for routes in services.values()
            for member in routes[0].instances
        }
        for host in self.stats.keys() - hosts:
            self.stats.pop(host)
            self.ejected.pop(host, None)
        for service in self.splits.keys() - services.keys():
            self.splits.pop(service)


def _is_restarted(stats: InstanceStats, member: Member) -> bool:
    # A host that is known only from the host list has incarnation 0 until
    # its daemon is heard from.
    return stats.incarnation not in {0, member.incarnation}
