"""Comparison of a replay with the outcomes stated beside its trace."""

from collections.abc import Iterator
from typing import Final

import attrs

from tanagerbend_replay.stated import StatedOutcomes
from tanagerbend_replay.tally import Tally, WorkTally

FULL_PERCENT: Final = 100
INVARIANTS: Final = ('I1', 'I2', 'I3', 'I5', 'I6', 'I7', 'I8', 'I9', 'ended')


@attrs.frozen
class Check:
    """One stated outcome and what happened."""

    name: str
    stated: str
    happened: str
    is_met: bool

    def __str__(self) -> str:
        sign = 'met' if self.is_met else 'NOT MET'
        return f'{sign}: {self.name}: {self.stated}; {self.happened}'


@attrs.frozen
class Verdict:
    """All checks of a replay."""

    checks: tuple[Check, ...]
    tally: Tally

    @property
    def is_met(self) -> bool:
        """Whether all stated outcomes were met."""
        return all(check.is_met for check in self.checks)

    def text(self) -> str:
        """Return the checks and all counts, one a line."""
        lines = [str(check) for check in self.checks]
        for name in sorted(self.tally.work):
            counts = attrs.asdict(self.tally.work[name])
            shown = ' '.join(f'{key}={counts[key]}' for key in counts)
            lines.append(f'{name}: {shown}')
        for code in sorted(self.tally.refusals):
            lines.append(f'{code}: {self.tally.refusals[code]}')
        orders = len(self.tally.order_ends)
        lines.append(f'orders: {orders}')
        lines.append('all met' if self.is_met else 'not all met')
        return ''.join(f'{line}\n' for line in lines)


def judge(tally: Tally, stated: StatedOutcomes) -> Verdict:
    """Compare a replay with the stated outcomes.

    Explanation
    ===========

    The invariants of the design page hold for every trace and need not
    be stated: I1, I2, I3 and I5 to I9, and that every call ends.
    """
    checks = [*_invariants(tally), *_publications(tally, stated)]
    for name in sorted(stated.work):
        checks.extend(_bounds(name, tally.of(name), stated.work[name]))
    return Verdict(tuple(checks), tally)


def _invariants(tally: Tally) -> Iterator[Check]:
    for name in INVARIANTS:
        found = tally.breaches[name]
        yield Check(name, 'no breach', f'{found} breaches', not found)


def _publications(tally: Tally, stated: StatedOutcomes) -> Iterator[Check]:
    yield _seen('rejected', stated.rejected, tally.rejected)
    yield _seen('conflicts', stated.conflicts, tally.conflicts)


def _seen(name: str, is_stated: bool, found: int) -> Check:
    expected = 'at least one' if is_stated else 'none'
    return Check(
        name, expected, f'{found} by daemons', is_stated == (found > 0)
    )


def _bounds(
    name: str,
    tally: WorkTally,
    bounds: dict[str, float],
) -> Iterator[Check]:
    accepted = tally.calls - tally.refused
    found = {
        'in_target_percent': _percent(tally.in_target, tally.calls),
        'accepted_in_target_percent': _percent(tally.in_target, accepted),
        'answered_percent': _percent(tally.answered, tally.calls),
        'answered': float(tally.answered),
        'unknown_at_most': float(tally.unknown),
    }
    for bound in sorted(bounds):
        limit = bounds[bound]
        happened = found[bound]
        is_met = happened >= limit
        if bound.endswith('at_most'):
            is_met = happened <= limit
        stated = f'{bound} {limit:g}'
        yield Check(name, stated, f'{happened:.3f}', is_met)


def _percent(part: int, whole: int) -> float:
    """Return a share; nothing accepted meets no stated share."""
    return FULL_PERCENT * part / whole if whole else 0.0
