"""Resources that a request needs: slot time and link capacity."""

import attrs


@attrs.frozen
class Work:
    """A request that asks for a slot.

    Parameters
    ==========

    kind : str
        Key of the service time estimate; requests of one kind take similar
        times.
    rank : int
        0 is the most urgent.
    on_time_until, deadline : float
        Monotonic seconds after which an answer is late, and after which
        the caller no longer waits for it.
    size, size_deviation : float
        Expected size of the answer in bytes, and its mean deviation.
    """

    kind: str
    rank: int
    on_time_until: float
    deadline: float
    size: float = 0.0
    size_deviation: float = 0.0
