"""What admission knows of a call."""

import attrs


@attrs.frozen
class Ticket:
    """A call that asks for a slot.

    Parameters
    ==========

    work : str
        Name of the work class.
    rank : int
        Effective rank, 0 is the most urgent.
    tenant : str
    deadline : float
        Monotonic seconds after which the caller no longer waits.
    target : float
        Seconds within which an answer is on time.
    """

    work: str
    rank: int
    tenant: str
    deadline: float
    target: float
