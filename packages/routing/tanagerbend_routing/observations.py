"""Observed state of an instance: load, slowdown, failures and link."""

import math
from typing import Final

import attrs

# Half-life of the reported load: about the time of three requests at an
# instance.
REPORT_HALF_LIFE_SECONDS: Final = 0.25
FAILURE_HALF_LIFE_SECONDS: Final = 2.0
# Failure ratio above which an instance is used only if all are avoided.
MAX_FAILURE_RATIO: Final = 0.5


@attrs.frozen
class LoadReport:
    """Load of an instance that its owner reports with an answer.

    Parameters
    ==========

    busy : int
        Number of running requests, and of queued requests that are served
        before a new one with the rank of this request.
    slots : int
    service_seconds : float
        Seconds that the instance took for this request; 0 if it did not
        serve it.
    link_busy_seconds : float
        Seconds for which large answers keep the link of its host busy.
    link_seconds_per_kilobyte : float
        Seconds that the link needs for a kilobyte; 0 if unknown.
    owner_delay : float
        Seconds that a request waits until the owner daemon handles it.
    """

    busy: int
    slots: int
    service_seconds: float = 0.0
    link_busy_seconds: float = 0.0
    link_seconds_per_kilobyte: float = 0.0
    owner_delay: float = 0.0


@attrs.define
class RankLoad:
    """Load of an instance for requests of one rank.

    Parameters
    ==========

    outstanding : int
        Requests of this daemon at the instance.
    reported : float
        Requests that the owner reported as running, or as queued ahead of
        a new one of this rank.
    reported_at : float
        Monotonic seconds of the report.
    refusing_until : float
        Monotonic seconds until which the owner is expected to refuse
        requests of this rank.
    backoff_seconds : float
        Backoff after the last refusal; 0 if a request was served since.
    """

    outstanding: int = 0
    reported: float = 0.0
    reported_at: float = -math.inf
    refusing_until: float = -math.inf
    backoff_seconds: float = 0.0

    def decayed_report(self, now: float) -> float:
        """Return the reported load, decayed by the age of the report."""
        if not self.reported:
            return 0.0
        age = now - self.reported_at
        return self.reported * 0.5 ** (age / REPORT_HALF_LIFE_SECONDS)


@attrs.define(eq=False)
class ObservedInstance:
    """State of one start of an instance as observed by this daemon.

    Parameters
    ==========

    slowdown : float
        Typical time of a request, relative to the typical time of its route
        on all instances.
    failure_ratio, failure_ratio_at : float
        Ratio of failed requests, and the monotonic seconds of its last
        update.
    avoid_until, avoid_seconds : float
        Monotonic seconds until which an unreachable instance is avoided,
        and the length of that time.
    link_busy_until : float
        Monotonic seconds until which large answers keep the link of the
        host busy, by the last report and the requests placed there since.
    link_seconds_per_kilobyte : float
        Seconds that this link needs for a kilobyte.
    owner_delay, owner_delay_at : float
        Seconds that a request waits until the owner daemon handles it, and
        the monotonic seconds of that report.
    ranks : dict of int to RankLoad
    """

    slowdown: float = 1.0
    failure_ratio: float = 0.0
    failure_ratio_at: float = 0.0
    avoid_until: float = -math.inf
    avoid_seconds: float = 0.0
    link_busy_until: float = -math.inf
    link_seconds_per_kilobyte: float = 0.0
    owner_delay: float = 0.0
    owner_delay_at: float = 0.0
    ranks: dict[int, RankLoad] = attrs.field(factory=dict)

    def rank_load(self, rank: int) -> RankLoad:
        """Return the load for requests of a rank."""
        found = self.ranks.get(rank)
        if found is None:
            found = RankLoad()
            self.ranks[rank] = found
        return found

    def requests_ahead(self, rank: int, now: float) -> float:
        """Return the expected number of requests ahead of a new one."""
        outstanding_ahead = 0
        for other, load in self.ranks.items():
            if other <= rank:
                outstanding_ahead += load.outstanding
        load_of_rank = self.ranks.get(rank)
        if load_of_rank is None or load_of_rank.reported <= outstanding_ahead:
            # The decayed report never exceeds the report itself.
            return outstanding_ahead
        return max(load_of_rank.decayed_report(now), outstanding_ahead)

    def is_refusing(self, rank: int, now: float) -> bool:
        """Return whether the owner is expected to refuse requests of a rank."""
        load = self.ranks.get(rank)
        return load is not None and load.refusing_until > now

    def is_preferred(self, now: float) -> bool:
        """Return whether there is no reason to avoid the instance."""
        if self.avoid_until > now:
            return False
        # The decayed ratio never exceeds the stored one.
        return (
            self.failure_ratio <= MAX_FAILURE_RATIO
            or self.current_failure_ratio(now) <= MAX_FAILURE_RATIO
        )

    @property
    def outstanding(self) -> int:
        """Requests of this daemon at the instance."""
        return sum(load.outstanding for load in self.ranks.values())

    def current_owner_delay(self, now: float) -> float:
        """Return the delay of the owner, decayed by the age of the report."""
        if not self.owner_delay:
            return 0.0
        age = now - self.owner_delay_at
        return self.owner_delay * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS)

    def current_failure_ratio(self, now: float) -> float:
        """Return the ratio of failed requests, decayed by its age."""
        if not self.failure_ratio:
            return 0.0
        age = now - self.failure_ratio_at
        return self.failure_ratio * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS)
