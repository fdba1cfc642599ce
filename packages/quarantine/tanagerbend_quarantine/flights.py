"""Requests that an instance may be running."""

from typing import Final

import attrs

from tanagerbend_timer import Timer

# Within this time after their connection closed, instances end their work on
# a request.
WORK_AFTER_CLOSE_SECONDS: Final = 0.5


@attrs.define(eq=False)
class InFlightRequest:
    """A request that an instance may be running.

    Parameters
    ==========

    fingerprint : bytes
    deadline : float
        Monotonic seconds after which the instance no longer runs it.
    is_alone : bool
        Whether it is a suspect that runs alone.
    abandoned_at : float
        Monotonic seconds at which its connection was closed; infinite
        before.
    is_watched : bool
        Whether an end of the instance would have been noticed.
    """

    fingerprint: bytes
    deadline: float
    is_alone: bool = False
    abandoned_at: float = float('inf')
    is_watched: bool = True

    @property
    def work_ends_at(self) -> float:
        """Monotonic seconds at which the instance has stopped working."""
        return self.abandoned_at + WORK_AFTER_CLOSE_SECONDS


class InFlightRequests:
    """Requests that one instance may be running, including abandoned ones.

    Explanation
    ===========

    An instance may continue to run a request that its caller or its daemon
    has abandoned, and crash because of it.  Most instances stop soon after
    the connection of the request has closed, some only at its deadline.  A
    crash is attributed to a request that was abandoned a short time before;
    later crashes are far more likely to have another cause.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> flights = InFlightRequests(ManualTimer())
    >>> left = InFlightRequest(b'left', 5.0)
    >>> completed = InFlightRequest(b'completed', 5.0)
    >>> for in_flight in (left, completed):
    ...     flights.begin(in_flight)
    >>> flights.abandon(left)
    >>> flights.end(completed)
    >>> [in_flight.fingerprint for in_flight in flights.at_risk()]
    [b'left']

    Parameters
    ==========

    timer : Timer
    """

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        # In the order in which the requests were sent.
        self.active: dict[InFlightRequest, None] = {}
        # In the order in which they were abandoned.
        self.abandoned: dict[InFlightRequest, None] = {}
        # Abandoned requests on which the instance may still be working.
        self.recently_abandoned: dict[InFlightRequest, None] = {}

    def begin(self, in_flight: InFlightRequest) -> None:
        """Record that a request is sent to the instance."""
        self.active[in_flight] = None

    def end(self, in_flight: InFlightRequest) -> None:
        """Record that the instance no longer runs a request."""
        self.active.pop(in_flight, None)

    def abandon(self, in_flight: InFlightRequest) -> None:
        """Record that the request was abandoned but may still run."""
        self.end(in_flight)
        in_flight.abandoned_at = self.timer.now()
        self.abandoned[in_flight] = None
        self.recently_abandoned[in_flight] = None
        self._drop_expired()

    def at_risk(self) -> list[InFlightRequest]:
        """Return the requests that the instance may be running."""
        self._drop_expired()
        return [*self.active, *self.abandoned]

    def suspects_of_crash(self) -> list[InFlightRequest]:
        """Return the requests that may be the cause of a crash now."""
        now = self.timer.now()
        recent = (
            in_flight
            for in_flight in self.recently_abandoned
            if in_flight.work_ends_at > now
        )
        return [*self.active, *recent]

    def remove_all_at_crash(self) -> list[InFlightRequest]:
        """Return the possible causes of a crash and remove all requests.

        If one of these requests is reported lost later, that belongs to the
        same crash, and the request is no longer in flight.
        """
        suspects = self.suspects_of_crash()
        self.active.clear()
        self.abandoned.clear()
        self.recently_abandoned.clear()
        return suspects

    def seconds_to_watch(self) -> float:
        """Return the time until the next abandoned request has ended.

        Zero if there is none.
        """
        oldest = next(iter(self.recently_abandoned), None)
        if oldest is None:
            return 0.0
        return max(oldest.work_ends_at - self.timer.now(), 0.0)

    def stop_watching(self) -> None:
        """Record that an end of the instance may not have been noticed."""
        for in_flight in self.recently_abandoned:
            in_flight.is_watched = False

    def remove_survived(self) -> list[InFlightRequest]:
        """Return the abandoned requests that have ended, and forget them.

        Those that were not watched are left out of the result.
        """
        now = self.timer.now()
        ended = [
            in_flight
            for in_flight in self.recently_abandoned
            if in_flight.work_ends_at <= now
        ]
        for in_flight in ended:
            self.recently_abandoned.pop(in_flight)
        return [in_flight for in_flight in ended if in_flight.is_watched]

    def _drop_expired(self) -> None:
        now = self.timer.now()
        for in_flight in tuple(self.abandoned):
            if max(in_flight.deadline, in_flight.work_ends_at) <= now:
                self.abandoned.pop(in_flight)
