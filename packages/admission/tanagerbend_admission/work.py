"""What a request asks of an instance and of the link of its host."""

import attrs


@attrs.frozen
class Work:
    """A request that asks for a slot.

    Parameters
    ==========

    kind : str
        Requests of one kind take similar times.
    rank : int
        0 is the most urgent.
    on_time_until, deadline : float
        Monotonic seconds: when an answer is late, and when it is of no
        use.
    size, size_deviation : float
        Typical bytes of its answer, and their mean deviation.
    """

    kind: str
    rank: int
    on_time_until: float
    deadline: float
    size: float = 0.0
    size_deviation: float = 0.0
