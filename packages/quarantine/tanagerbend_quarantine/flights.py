"""Requests that an instance may be running."""

import attrs

from tanagerbend_timer import Timer


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
    """

    fingerprint: bytes
    deadline: float
    is_alone: bool = False


class InFlightRequests:
    """Requests that one instance may be running, including abandoned ones.

    Explanation
    ===========

    An instance may continue to run a request that its caller or its daemon
    has abandoned, until its deadline, and crash because of it.

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
        self.abandoned: dict[InFlightRequest, None] = {}

    def begin(self, in_flight: InFlightRequest) -> None:
        """Record that a request is sent to the instance."""
        self.active[in_flight] = None

    def end(self, in_flight: InFlightRequest) -> None:
        """Record that the instance no longer runs a request."""
        self.active.pop(in_flight, None)

    def abandon(self, in_flight: InFlightRequest) -> None:
        """Record that the request was abandoned but may still run."""
        self.end(in_flight)
        self.abandoned[in_flight] = None
        self._drop_expired()

    def at_risk(self) -> list[InFlightRequest]:
        """Return the requests that the instance may be running."""
        self._drop_expired()
        return [*self.active, *self.abandoned]

    def remove_all_at_crash(self) -> list[bytes]:
        """Return the fingerprints of all requests at a crash and remove them.

        If one of these requests is reported lost later, that belongs to the
        same crash, and the request is no longer in flight.
        """
        fingerprints = [in_flight.fingerprint for in_flight in self.at_risk()]
        self.active.clear()
        self.abandoned.clear()
        return fingerprints

    def _drop_expired(self) -> None:
        now = self.timer.now()
        for in_flight in tuple(self.abandoned):
            if in_flight.deadline <= now:
                self.abandoned.pop(in_flight)
