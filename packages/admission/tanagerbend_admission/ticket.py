"""What admission knows of a call and of its end."""

import enum
from typing import Protocol

import attrs

from tanagerbend_model import Refusal


class Outcome(enum.Enum):
    """How a call that held a slot ended.

    Only ``SERVED`` and ``FAILED`` tell how long the work takes; a shed or
    cancelled call ends early and would make the estimates too low.
    """

    SERVED = 'served'
    SHED = 'shed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


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


class Admission(Protocol):
    """A policy that hands out the slots of one instance.

    See Also
    ========

    RankAdmission
    FifoAdmission
    StrictPriorityAdmission
    """

    @property
    def load_percent(self) -> int:
        """Running calls in relation to the slots; a hint for others."""

    async def enter(self, ticket: Ticket) -> Refusal | None:
        """Wait for a slot; None means that the caller holds one."""

    def leave(self, ticket: Ticket, outcome: Outcome, used: float) -> None:
        """Give the slot back after ``used`` seconds."""

    def configure(self, floors: dict[int, float]) -> None:
        """Set the guaranteed share of slot time of each rank, 0 to 1."""
