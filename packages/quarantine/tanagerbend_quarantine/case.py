"""Evidence on whether one request crashes the instances that run it."""

import enum
from typing import Final

import attrs

# Crashes without a success after which a request is refused although other
# requests ran beside it in all of them; users accept three.
CRASHES_TO_CONVICT: Final = 3
# Crashes kept per request, and as many that a success has refuted.
MAX_CRASHES: Final = 8


class Verdict(enum.Enum):
    """Decision on the requests with one fingerprint."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    CONVICTED = 'convicted'


@attrs.frozen
class Crash:
    """Crash of an instance with requests in flight.

    Parameters
    ==========

    instance : str
    at : float
        Unix seconds by the clock of the daemon beside the instance; with
        the instance it identifies the crash.
    is_alone : bool
        Whether a suspect was the only running request.
    """

    instance: str = ''
    at: float = 0.0
    is_alone: bool = False


Crashes = frozenset[Crash]


@attrs.frozen
class Case:
    """Evidence on the requests with one fingerprint.

    Two cases of one fingerprint are merged by the union of their sets, so
    that daemons converge whatever the order in which they receive cases.

    Examples
    ========

    >>> case = Case(frozenset({Crash('a', 1.0), Crash('b', 2.0)}))
    >>> case.verdict
    <Verdict.SUSPECT: 'suspect'>
    >>> case.merged(Case(frozenset({Crash('c', 3.0)}))).verdict
    <Verdict.CONVICTED: 'convicted'>
    >>> case.merged(Case(dismissed=frozenset({Crash('a', 1.0)}))).counted
    frozenset({Crash(instance='b', at=2.0, is_alone=False)})

    Parameters
    ==========

    crashes : frozenset of Crash
    dismissed : frozenset of Crash
        Crashes that no longer count, because the request succeeded or an
        operator cleared it.
    """

    crashes: Crashes = frozenset()
    dismissed: Crashes = frozenset()

    @property
    def counted(self) -> Crashes:
        """Crashes that count against the request."""
        return self.crashes - self.dismissed

    @property
    def has_solo_crash(self) -> bool:
        """Whether an instance crashed that ran nothing else."""
        return any(crash.is_alone for crash in self.counted)

    @property
    def verdict(self) -> Verdict:
        """Decision that follows from the crashes."""
        if self.has_solo_crash or len(self.counted) >= CRASHES_TO_CONVICT:
            return Verdict.CONVICTED
        return Verdict.SUSPECT if self.counted else Verdict.CLEAR

    def merged(self, other: 'Case') -> 'Case':
        """Return the union of this case and that of another daemon."""
        return Case(
            newest(self.crashes | other.crashes),
            newest(self.dismissed | other.dismissed),
        )

    def with_one_dismissed(self) -> 'Case':
        """Return the case without the oldest crash in company that counts."""
        in_company = [crash for crash in self.counted if not crash.is_alone]
        if not in_company:
            return self
        oldest = min(in_company, key=_crash_order)
        return Case(self.crashes, newest(self.dismissed | {oldest}))

    def with_all_dismissed(self) -> 'Case':
        """Return the case with all its crashes dismissed."""
        return Case(self.crashes, newest(self.dismissed | self.crashes))


def newest(crashes: Crashes) -> Crashes:
    """Return the latest crashes, at most as many as are kept."""
    if len(crashes) <= MAX_CRASHES:
        return crashes
    return frozenset(sorted(crashes, key=_crash_order)[-MAX_CRASHES:])


def _crash_order(crash: Crash) -> tuple[float, str]:
    return crash.at, crash.instance


@attrs.frozen
class SharedCase:
    """A case as one daemon sends it to another.

    Parameters
    ==========

    fingerprint : bytes
    case : Case
    seconds : float
        Time until the case expires.
    """

    fingerprint: bytes
    case: Case
    seconds: float
