"""Outages of the platform service, and the grace period after them.

Entries may expire during an outage only because their instances could not
renew them.  Daemons tell one another when the outage began and how much of
the grace period is left, so that no daemon begins either anew.

A service that refuses some daemons and answers others is not away: an entry
that disappears from it meanwhile names an instance that is gone.
"""

from typing import Final

from tanagerbend_timer import Timer

# Grace period for missing entries after an outage.  The platform states that
# expired entries of live instances are written again about two seconds after
# its service returns.  The period begins when this daemon reaches the service
# again, which is up to 0.9 s later.
OUTAGE_GRACE_SECONDS: Final = 1.95
# Contact of any daemon with the service within this time shows that the
# service is not away.  Daemons that watch it are in contact this often, and
# entries last longer without renewal.
RECENT_CONTACT_SECONDS: Final = 2.7


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
    others_reached_at : float
        Monotonic time of the latest contact of a peer with the service since
        calls of this daemon began to fail.
    is_confirmed : bool
        Whether a call of this daemon failed in the outage.
    """

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.began_at: float | None = None
        self.settled_from = 0.0
        self.others_reached_at = float('-inf')
        self.is_confirmed = False

    def begin(self, since: float | None = None) -> None:
        """Record that the service does not answer.

        ``since`` is the beginning in monotonic seconds that a peer reports;
        by default a call of this daemon failed now.  An outage that is known
        already keeps its beginning.  While the service answers other
        daemons, it is no outage.
        """
        if self.answers_others:
            if not self.is_settled:
                # It may be away again; the next reply of a peer in contact
                # replaces this.
                self._settle_after(OUTAGE_GRACE_SECONDS)
            return
        if self.began_at is None:
            self.began_at = self.timer.now() if since is None else since
            self.is_confirmed = False
        self.is_confirmed = self.is_confirmed or since is None
        self.settled_from = float('inf')

    def end(self) -> None:
        """Record that the service answers this daemon.

        The grace period starts, unless only a peer reported the outage and
        it was shorter than entries last.
        """
        self.others_reached_at = float('-inf')
        seconds = self.seconds
        if seconds is not None:
            is_outage = self.is_confirmed or seconds > RECENT_CONTACT_SECONDS
            self._settle_after(OUTAGE_GRACE_SECONDS if is_outage else 0.0)

    def begin_grace_period(self) -> None:
        """Start the grace period of an outage that may not have been seen."""
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
        is_answered = self.began_at is not None and reached_at > self.began_at
        if is_answered or self.answers_others:
            self.others_reached_at = max(self.others_reached_at, reached_at)
        if is_answered or self.began_at is None:
            self._settle_after(seconds)

    @property
    def answers_others(self) -> bool:
        """Whether the service refuses this daemon and answers others."""
        passed = self.timer.now() - self.others_reached_at
        return passed <= RECENT_CONTACT_SECONDS

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
