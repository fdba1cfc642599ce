"""Several loads under several policies, over seeds."""

import statistics
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import attrs

from tanagerbend_emulator.loads import Load
from tanagerbend_emulator.trial import Share, Verdict, play


@attrs.frozen
class Trial:
    """One load to be played under one policy with one seed."""

    load: Load
    policy: str
    seed: int


@attrs.frozen
class Figure:
    """Mean and spread of a figure over seeds.

    Examples
    ========

    >>> Figure.of([0.5, 0.7])
    Figure(mean=0.6, low=0.5, high=0.7)
    """

    mean: float
    low: float
    high: float

    @classmethod
    def of(cls, found: list[float]) -> 'Figure':
        """Return the figure of some values, rounded to thousandths."""
        parts = statistics.fmean(found), min(found), max(found)
        return cls(*(round(part, 3) for part in parts))

    def text(self) -> str:
        """Return the figure for a table."""
        return f'{self.mean:.3f} ({self.low:.3f}-{self.high:.3f})'


@attrs.frozen
class Row:
    """Worth of a group of requests of a load under a policy.

    Parameters
    ==========

    load, policy, group : str
    worth : Figure
        Earned part of what was owed.
    """

    load: str
    policy: str
    group: str
    worth: Figure

    def encode(self) -> dict[str, Any]:
        """Return the row as fields of JSON."""
        return attrs.asdict(self)


def run_trials(
    trials: Iterable[Trial],
    jobs: int,
) -> Iterator[tuple[Trial, Verdict]]:
    """Play trials in processes; the order does not depend on their number."""
    listed = list(trials)
    with ProcessPoolExecutor(jobs) as pool:
        yield from zip(listed, pool.map(_run, listed), strict=True)


def _run(trial: Trial) -> Verdict:
    return play(trial.load, trial.policy, trial.seed)


def compare(played: Iterable[tuple[Trial, Verdict]]) -> list[Row]:
    """Return the worth of each group of requests, spread over seeds."""
    found: dict[tuple[str, str, str], list[float]] = {}
    for trial, verdict in played:
        for group, worth in groups(verdict).items():
            key = trial.load.title, trial.policy, group
            found.setdefault(key, []).append(worth)
    return [Row(*key, Figure.of(worths)) for key, worths in found.items()]


def groups(verdict: Verdict) -> dict[str, float]:
    """Return the worth of all groups of requests of one verdict."""
    named: dict[str, Share] = {'all': verdict.whole}
    for what, shares in (
        ('kind', verdict.kinds),
        ('rank', verdict.ranks),
        ('failure domain', verdict.domains),
    ):
        named |= {f'{what} {name}': shares[name] for name in sorted(shares)}
    found = {name: share.worth for name, share in named.items()}
    found['two worst windows'] = verdict.worst_windows
    return found
