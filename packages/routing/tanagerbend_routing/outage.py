"""Outages of the platform service, and the grace period after them.

Entries may expire during an outage only because their instances could not
renew them.  Daemons tell one another when the outage began and how much of
the grace period is left, so that no daemon begins either anew.
"""

from typing import Final

from tanagerbend_timer import Timer

# Grace period for missing entries after an outage.  The platform states that
# expired entries of live instances are written again about two seconds after
# its service returns.  The period begins when this daemon reaches the service
# again, which is up to 0.9 s later.
OUTAGE_GRACE_SECONDS: Final = 1.95


class Outage:
    """Outage of the platform service as one daemon knows it.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> outage = Outage(ManualTimer())
    >>> outage.begin()
    >>> outage.is_settled, outage.seconds
    (False, 0.0)
    >>> outage.end()
    >>> outage.is_settled, outage.seconds, outage.grace_seconds_left
    (False, None, 1.95)

    Parameters
    ==========

    timer : Timer

    Attributes
    ==========

    began_at : float or None
        In monotonic seconds; None without an outage.
    settled_from : float
        Monotonic seconds from which a missing entry means that its instance
        is gone; infinite during an outage.
    """

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.began_at: float | None = None
        self.settled_from = 0.0

    def begin(self, since: float | None = None) -> None:
        """Record that the service does not answer.

        ``since`` is the beginning in monotonic seconds, now by default.  An
        outage that is known already keeps its beginning.
        """
        if self.began_at is None:
            self.began_at = self.timer.now() if since is None else since
        self.settled_from = float('inf')

    def end(self) -> None:
        """Record that the service answers, and start the grace period."""
        if self.began_at is not None:
            self._settle_after(OUTAGE_GRACE_SECONDS)

    def adopt_grace_period(self, seconds: float, reached_at: float) -> None:
        """Adopt the grace period that a peer reports.

        Explanation
        ===========

        ``seconds`` are those that are left of it; ``reached_at`` is when the
        peer last reached the service, in monotonic seconds.  A daemon that
        could not reach the service for a local reason, such as a full link,
        has no reason to keep missing entries for longer than its peers.  A
        peer that reached the service only before the outage began here may
        not have noticed it yet.
        """
        if self.began_at is None or reached_at > self.began_at:
            self._settle_after(seconds)

    @property
    def seconds(self) -> float | None:
        """Duration of the outage so far, None without one."""
        if self.began_at is None:
            return None
        return self.timer.now() - self.began_at

    @property
    def grace_seconds_left(self) -> float:
        """Seconds until a missing entry means that its instance is gone.

        At most ``OUTAGE_GRACE_SECONDS``, also during the outage.
        """
        left = self.settled_from - self.timer.now()
        return min(max(left, 0.0), OUTAGE_GRACE_SECONDS)

    @property
    def is_settled(self) -> bool:
        """Whether a missing entry means that its instance is gone."""
        return self.timer.now() >= self.settled_from

    def _settle_after(self, seconds: float) -> None:
        self.began_at = None
        self.settled_from = self.timer.now() + seconds
