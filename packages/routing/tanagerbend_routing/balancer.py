"""Choice of an instance by what this daemon itself observes."""

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

# Calls that one entry daemon keeps at an instance of the own domain
# before it looks further; an instance has 6 slots.
SPILL_OUTSTANDING: Final = 6
SPILL_REFUSALS: Final = 0.1
# Assumed for instances that have not answered yet.
FIRST_LATENCY: Final = 0.005
EJECTED_SHARE: Final = 3

Members = tuple[Member, ...]


@attrs.frozen
class Split:
    """Instances of one service by distance."""

    members: Members
    near: Members
    far: Members


class Balancer:
    """Chooses the better of two random instances, near ones first.

    Explanation
    ===========

    Instances of other failure domains are considered when the near ones
    are busy, refuse work or are missing.  An instance that fails several
    times in a row gets no work for a growing time; there are no probes,
    the first call after that time is the test.

    Parameters
    ==========

    failure_domain : str
        Own failure domain, which is preferred.
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
        self.splits: dict[str, Split] = {}

    def choose(
        self,
        route: Route,
        exclude: frozenset[str] = frozenset(),
    ) -> Member | Refusal:
        """Return an instance whose host is not in ``exclude``."""
        split = self._split(route)
        now = self.timer.now()
        left_out = exclude | self._unusable(now) if self.ejected else exclude
        near = self._better(split.near, left_out, now)
        if near is not None and not self._is_short(near, now):
            return near
        far = self._better(split.far, left_out, now)
        found = [member for member in (near, far) if member is not None]
        if found:
            return min(found, key=lambda member: self._score(member, now))
        # An ejected instance is better than none.
        last = self._better(split.members, exclude, now)
        if last is None:
            reason = f'no instance of {route.work.service!r} is left'
            return Refusal(ResultCode.NO_INSTANCE, reason)
        return last

    def _split(self, route: Route) -> Split:
        service = route.work.service
        known = self.splits.get(service)
        if known is not None and known.members is route.instances:
            return known
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
        split = Split(members, near, far)
        self._meet(split, is_first=known is None)
        self.splits[service] = split
        return split

    def _meet(self, split: Split, *, is_first: bool) -> None:
        """Start slowly with instances that appear later than others."""
        warm_at = 0.0 if is_first else self.timer.now() + SLOW_START_SECONDS
        for member in split.members:
            held = self.stats.get(member.host)
            if held is None or _is_reborn(held, member):
                self.stats[member.host] = InstanceStats(
                    member.incarnation,
                    warm_at,
                )
                self.ejected.pop(member.host, None)
            else:
                held.incarnation = member.incarnation

    def _better(
        self,
        members: Members,
        left_out: frozenset[str],
        now: float,
    ) -> Member | None:
        if left_out:
            members = tuple(
                member for member in members if member.host not in left_out
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
        return self.of(member).score(now, FIRST_LATENCY)

    def _is_short(self, member: Member, now: float) -> bool:
        stats = self.of(member)
        return (
            stats.outstanding >= SPILL_OUTSTANDING
            or stats.recent_refusals(now) > SPILL_REFUSALS
        )

    def _unusable(self, now: float) -> frozenset[str]:
        for host in list(self.ejected):
            stats = self.stats.get(host)
            if stats is None or now >= stats.ejected_until:
                self.ejected.pop(host)
        return frozenset(self.ejected)

    def of(self, member: Member) -> InstanceStats:
        """Return the statistics of an instance."""
        stats = self.stats.get(member.host)
        if stats is None:
            stats = InstanceStats(member.incarnation)
            self.stats[member.host] = stats
        return stats

    def started(self, member: Member) -> InstanceStats:
        """Count a call sent to an instance; pass the result on at its end."""
        stats = self.of(member)
        stats.outstanding += 1
        return stats

    def answered(self, stats: InstanceStats, load: str) -> None:
        """Take the load that came with an answer, in percent."""
        if load.isascii() and load.isdigit() and len(load) < 4:
            stats.report(self.timer.now(), int(load))

    def finished(
        self,
        member: Member,
        stats: InstanceStats,
        result: Result,
        seconds: float,
    ) -> None:
        """Count the end of a call that began ``seconds`` ago."""
        stats.outstanding -= 1
        stats.observe(result, seconds, self.timer.now())
        if result is Result.FAILED and stats.is_outlier():
            self._eject(member, stats)

    def _eject(self, member: Member, stats: InstanceStats) -> None:
        split = self.splits.get(member.service)
        now = self.timer.now()
        if split is None or self.stats.get(member.host) is not stats:
            return
        self._unusable(now)
        ejected = sum(
            other.service == member.service for other in self.ejected.values()
        )
        if (ejected + 1) * EJECTED_SHARE > len(split.members):
            self.recorder.count('ejections_withheld', member.service)
            return
        stats.eject(now)
        self.ejected[member.host] = member
        reason = f'for {stats.ejection_seconds:.0f} s'
        self.recorder.note(Event.INSTANCE_EJECTED, member.host, reason)

    def retain(self, services: dict[str, tuple[Route, ...]]) -> None:
        """Drop the statistics of hosts that no route names any more."""
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


def _is_reborn(held: InstanceStats, member: Member) -> bool:
    # A host known from the host list alone has incarnation 0 until its
    # daemon is heard.
    return held.incarnation not in {0, member.incarnation}
