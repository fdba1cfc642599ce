"""Calls as admission policies see them, and the policy interface."""

import enum
from typing import Protocol

import attrs

from tanagerbend_model import Refusal


class Outcome(enum.Enum):
    """How a call that held a slot ended.

    Only ``SERVED`` and ``FAILED`` give valid service times; a shed or
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
        Seconds after arrival within which an answer is on time.
    """

    work: str
    rank: int
    tenant: str
    deadline: float
    target: float


class Admission(Protocol):
    """A policy that grants the slots of one instance to calls.

    See Also
    ========

    RankAdmission
    FifoAdmission
    StrictPriorityAdmission
    """

    @property
    def load_percent(self) -> int:
        """Running calls in percent of the slots, as reported to others."""

    async def enter(self, ticket: Ticket) -> Refusal | None:
        """Wait for a slot; return None once the call holds one."""

    def leave(self, ticket: Ticket, outcome: Outcome, seconds: float) -> None:
        """Release a slot that was held for ``seconds``."""

    def configure(self, floors: dict[int, float]) -> None:
        """Set the guaranteed share of slot time of each rank, 0 to 1."""
