"""Compares a replay with the expected outcomes of its trace."""

from collections.abc import Iterator
from typing import Final

import attrs

from tanagerbend_replay.stated import ExpectedOutcomes
from tanagerbend_replay.tally import Tally, WorkTally

FULL_PERCENT: Final = 100
INVARIANTS: Final = ('I1', 'I2', 'I3', 'I5', 'I6', 'I7', 'I8', 'I9', 'ended')


@attrs.frozen
class Check:
    """An expected outcome and the actual one."""

    name: str
    expected: str
    actual: str
    is_met: bool

    def __str__(self) -> str:
        result = 'met' if self.is_met else 'NOT MET'
        return f'{result}: {self.name}: {self.expected}; {self.actual}'


@attrs.frozen
class Verdict:
    """All checks of a replay."""

    checks: tuple[Check, ...]
    tally: Tally

    @property
    def is_met(self) -> bool:
        """Whether the replay meets all expected outcomes."""
        return all(check.is_met for check in self.checks)

    def text(self) -> str:
        """Return the checks and all counts, one per line."""
        lines = [str(check) for check in self.checks]
        for name in sorted(self.tally.work):
            counts = attrs.asdict(self.tally.work[name])
            shown = ' '.join(f'{key}={counts[key]}' for key in counts)
            lines.append(f'{name}: {shown}')
        for code in sorted(self.tally.refusals):
            lines.append(f'{code}: {self.tally.refusals[code]}')
        orders = len(self.tally.order_outcomes)
        lines.append(f'orders: {orders}')
        lines.append('all met' if self.is_met else 'not all met')
        return ''.join(f'{line}\n' for line in lines)


def compare_with_expected(tally: Tally, stated: ExpectedOutcomes) -> Verdict:
    """Compare a replay with the expected outcomes.

    Explanation
    ===========

    The invariants I1 to I3 and I5 to I9 of the design page, and that every
    call ends, are checked for each trace.
    """
    checks = [*_check_invariants(tally), *_check_publications(tally, stated)]
    for name in sorted(stated.work):
        checks.extend(
            _check_bounds(name, tally.work_tally(name), stated.work[name])
        )
    return Verdict(tuple(checks), tally)


def _check_invariants(tally: Tally) -> Iterator[Check]:
    for name in INVARIANTS:
        count = tally.violations[name]
        yield Check(name, 'no violation', f'{count} violations', not count)


def _check_publications(
    tally: Tally, stated: ExpectedOutcomes
) -> Iterator[Check]:
    yield _check_presence('rejected', stated.rejected, tally.rejected)
    yield _check_presence('conflicts', stated.conflicts, tally.conflicts)


def _check_presence(name: str, is_stated: bool, count: int) -> Check:
    expected = 'at least one' if is_stated else 'none'
    return Check(
        name, expected, f'{count} by daemons', is_stated == (count > 0)
    )


def _check_bounds(
    name: str,
    tally: WorkTally,
    bounds: dict[str, float],
) -> Iterator[Check]:
    accepted = tally.calls - tally.refused
    actuals = {
        'in_target_percent': _percent(tally.in_target, tally.calls),
        'accepted_in_target_percent': _percent(tally.in_target, accepted),
        'answered_percent': _percent(tally.answered, tally.calls),
        'answered': float(tally.answered),
        'unknown_at_most': float(tally.unknown),
    }
    for bound in sorted(bounds):
        limit = bounds[bound]
        actual = actuals[bound]
        is_met = actual >= limit
        if bound.endswith('at_most'):
            is_met = actual <= limit
        expected = f'{bound} {limit:g}'
        yield Check(name, expected, f'{actual:.3f}', is_met)


def _percent(part: int, whole: int) -> float:
    """Return a percentage; 0 of an empty whole, so that no bound is met."""
    return FULL_PERCENT * part / whole if whole else 0.0
