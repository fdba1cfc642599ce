"""Requests that an instance may be running."""

import attrs

from tanagerbend_timer import Timer


@attrs.define(eq=False)
class Flight:
    """A request that an instance may be running.

    Parameters
    ==========

    fingerprint : bytes
    ends : float
        Monotonic seconds at which the instance gives it up.
    is_alone : bool
        Whether it is a suspect that runs without company.
    """

    fingerprint: bytes
    ends: float
    is_alone: bool = False


class Flights:
    """Requests at one instance, also those that were given up.

    Explanation
    ===========

    An instance may run on what its caller or its daemon gave up, until
    its deadline, and end under it then.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> flights = Flights(ManualTimer())
    >>> left, whole = Flight(b'left', 5.0), Flight(b'whole', 5.0)
    >>> for flight in (left, whole):
    ...     flights.begin(flight)
    >>> flights.give_up(left)
    >>> flights.end(whole)
    >>> [flight.fingerprint for flight in flights.at_risk()]
    [b'left']

    Parameters
    ==========

    timer : Timer
    """

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        # In order of their begin.
        self.flying: dict[Flight, None] = {}
        self.given_up: dict[Flight, None] = {}

    def begin(self, flight: Flight) -> None:
        """Note a request that is sent."""
        self.flying[flight] = None

    def end(self, flight: Flight) -> None:
        """Note that the instance does not run a request any more."""
        self.flying.pop(flight, None)

    def give_up(self, flight: Flight) -> None:
        """Note that nobody waits for a request any more."""
        self.end(flight)
        self.given_up[flight] = None
        self._forget()

    def at_risk(self) -> list[Flight]:
        """Return the requests that the instance may be running."""
        self._forget()
        return [*self.flying, *self.given_up]

    def crashed(self) -> list[bytes]:
        """Return the fingerprints of what ran when the instance ended.

        A request that is lost later and was among them belongs to the same
        end, and is in flight no more.
        """
        names = [flight.fingerprint for flight in self.at_risk()]
        self.flying.clear()
        self.given_up.clear()
        return names

    def _forget(self) -> None:
        now = self.timer.now()
        for flight in tuple(self.given_up):
            if flight.ends <= now:
                self.given_up.pop(flight)
