"""What is known of one request that may end the instances that run it."""

import enum
from typing import Final

import attrs

# Crashes without a success after which a request is refused although it had
# company in all of them: users grant a request three.
CRASHES_IN_COMPANY: Final = 3
# Crashes and successes of one request that are remembered.
MOST_REMEMBERED: Final = 8


class Verdict(enum.Enum):
    """What is known of a fingerprint."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    CONVICTED = 'convicted'


@attrs.frozen
class Crash:
    """End of an instance with requests in flight.

    Parameters
    ==========

    instance : str
    at : float
        Unix seconds by the daemon beside the instance; with the instance
        it tells one crash from another.
    is_alone : bool
        Whether a suspect ran and nothing else.
    """

    instance: str = ''
    at: float = 0.0
    is_alone: bool = False


Crashes = frozenset[Crash]


@attrs.frozen
class Case:
    """What is known of one fingerprint.

    Two cases of one fingerprint are joined by the union of what they
    hold, so that daemons agree whatever the order in which they hear.

    Examples
    ========

    >>> case = Case(frozenset({Crash('a', 1.0), Crash('b', 2.0)}))
    >>> case.verdict
    <Verdict.SUSPECT: 'suspect'>
    >>> case.joined(Case(frozenset({Crash('c', 3.0)}))).verdict
    <Verdict.CONVICTED: 'convicted'>
    >>> case.joined(Case(struck=frozenset({Crash('a', 1.0)}))).counted
    frozenset({Crash(instance='b', at=2.0, is_alone=False)})

    Parameters
    ==========

    crashes : frozenset of Crash
    struck : frozenset of Crash
        Those that a success, or an operator, has proved wrong.
    """

    crashes: Crashes = frozenset()
    struck: Crashes = frozenset()

    @property
    def counted(self) -> Crashes:
        """Crashes that no success has proved wrong."""
        return self.crashes - self.struck

    @property
    def is_proved(self) -> bool:
        """Whether an instance ended that ran nothing else."""
        return any(crash.is_alone for crash in self.counted)

    @property
    def verdict(self) -> Verdict:
        """What the crashes say."""
        if self.is_proved or len(self.counted) >= CRASHES_IN_COMPANY:
            return Verdict.CONVICTED
        return Verdict.SUSPECT if self.counted else Verdict.CLEAR

    def joined(self, other: 'Case') -> 'Case':
        """Return what two daemons know together."""
        return Case(
            newest(self.crashes | other.crashes),
            newest(self.struck | other.struck),
        )

    def cleared(self) -> 'Case':
        """Return the case with all its crashes struck."""
        return Case(self.crashes, newest(self.struck | self.crashes))


def newest(crashes: Crashes) -> Crashes:
    """Return the crashes that are remembered."""
    if len(crashes) <= MOST_REMEMBERED:
        return crashes
    ordered = sorted(crashes, key=lambda crash: (crash.at, crash.instance))
    return frozenset(ordered[-MOST_REMEMBERED:])


@attrs.frozen
class Told:
    """A case as one daemon tells it another.

    Parameters
    ==========

    fingerprint : bytes
    case : Case
    seconds : float
        Until it is forgotten.
    """

    fingerprint: bytes
    case: Case
    seconds: float
