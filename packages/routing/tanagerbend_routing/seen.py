"""What a daemon has seen of an instance: load, speed, failures, its link."""

import math
from typing import Final

import attrs

# Half of a report is forgotten after this time, about three requests of
# an instance at today's sizes.
REPORT_HALF_LIFE_SECONDS: Final = 0.25
FAILURE_HALF_LIFE_SECONDS: Final = 2.0
# Share of failures above which an instance is used only as the last.
FAILING_SHARE: Final = 0.5


@attrs.frozen
class LoadReport:
    """What the owner of an instance says of it with an answer.

    Parameters
    ==========

    busy : int
        Running requests, and those to be served before a new one of the
        rank of this request.
    slots : int
    served : float
        Seconds that the instance took for this request; 0 if it ran none.
    sending : float
        Seconds for which large answers fill the link of its host.
    per_kilobyte : float
        Seconds that the link needs for a kilobyte; 0 if not known.
    behind : float
        Seconds for which a request waits for the owner itself.
    """

    busy: int
    slots: int
    served: float = 0.0
    sending: float = 0.0
    per_kilobyte: float = 0.0
    behind: float = 0.0


@attrs.define
class RankLoad:
    """Load of an instance as the requests of one rank meet it.

    Parameters
    ==========

    outstanding : int
        Requests of this daemon at the instance.
    reported : float
        Requests that the owner reported: running, or to be served before
        a new one of this rank.
    reported_at, full_until : float
        Monotonic seconds: of the report, and until when the owner is
        expected to refuse requests of this rank.
    full_seconds : float
        How long it is not asked after its last refusal, 0 if it has taken
        a request since.
    """

    outstanding: int = 0
    reported: float = 0.0
    reported_at: float = -math.inf
    full_until: float = -math.inf
    full_seconds: float = 0.0

    def faded(self, now: float) -> float:
        """Return what is left of the report."""
        if not self.reported:
            return 0.0
        age = now - self.reported_at
        return self.reported * 0.5 ** (age / REPORT_HALF_LIFE_SECONDS)


@attrs.define(eq=False)
class Seen:
    """What this daemon has seen of one start of an instance.

    Parameters
    ==========

    sending_until : float
        Monotonic seconds until which large answers fill the link of the
        host, by the last report and what was placed there since.
    per_kilobyte : float
        Seconds that this link needs for a kilobyte.
    behind, behind_at : float
        Seconds for which a request waited for the owner itself, and the
        monotonic seconds of that report.
    """

    speed: float = 1.0
    failures: float = 0.0
    failed_at: float = 0.0
    avoid_until: float = -math.inf
    avoid_seconds: float = 0.0
    sending_until: float = -math.inf
    per_kilobyte: float = 0.0
    behind: float = 0.0
    behind_at: float = 0.0
    ranks: dict[int, RankLoad] = attrs.field(factory=dict)

    def of_rank(self, rank: int) -> RankLoad:
        """Return the load as a rank meets it."""
        found = self.ranks.get(rank)
        if found is None:
            found = RankLoad()
            self.ranks[rank] = found
        return found

    def busy_now(self, rank: int, now: float) -> float:
        """Return the expected requests before a new one of a rank."""
        own = 0
        for other, load in self.ranks.items():
            if other <= rank:
                own += load.outstanding
        met = self.ranks.get(rank)
        if met is None or met.reported <= own:
            # What has faded is never more than what was reported.
            return own
        return max(met.faded(now), own)

    def is_full(self, rank: int, now: float) -> bool:
        """Return whether the owner is expected to refuse a rank."""
        load = self.ranks.get(rank)
        return load is not None and load.full_until > now

    def is_preferred(self, now: float) -> bool:
        """Return whether the instance need not be avoided."""
        if self.avoid_until > now:
            return False
        # What has faded is never more than what was counted.
        return (
            self.failures <= FAILING_SHARE or self.failing(now) <= FAILING_SHARE
        )

    @property
    def outstanding(self) -> int:
        """Requests of this daemon at the instance."""
        return sum(load.outstanding for load in self.ranks.values())

    def behind_now(self, now: float) -> float:
        """Return the seconds of waiting for the owner, which fade."""
        if not self.behind:
            return 0.0
        age = now - self.behind_at
        return self.behind * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS)

    def failing(self, now: float) -> float:
        """Return the share of failed requests, which fades."""
        if not self.failures:
            return 0.0
        age = now - self.failed_at
        return self.failures * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS)
