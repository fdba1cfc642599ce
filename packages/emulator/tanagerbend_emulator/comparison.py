"""Comparison of policies over several loads and seeds."""

import statistics
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import attrs

from tanagerbend_emulator.loads import Load
from tanagerbend_emulator.trial import GroupTally, TrialResult, simulate


@attrs.frozen
class Trial:
    """Parameters of a simulation: load, policy and seed."""

    load: Load
    policy: str
    seed: int


@attrs.frozen
class SeedSummary:
    """Mean and range of a value over seeds.

    Examples
    ========

    >>> SeedSummary.from_samples([0.5, 0.7])
    SeedSummary(mean=0.6, low=0.5, high=0.7)
    """

    mean: float
    low: float
    high: float

    @classmethod
    def from_samples(cls, samples: list[float]) -> 'SeedSummary':
        """Return the summary of samples, rounded to 0.001."""
        summary = statistics.fmean(samples), min(samples), max(samples)
        return cls(*(round(value, 3) for value in summary))

    def format(self) -> str:
        """Format the summary for a table."""
        return f'{self.mean:.3f} ({self.low:.3f}-{self.high:.3f})'


@attrs.frozen
class Row:
    """Relative worth of a group of requests of a load under a policy.

    Parameters
    ==========

    load, policy, group : str
    worth : SeedSummary
        Earned share of the worth that answers on time would have earned.
    """

    load: str
    policy: str
    group: str
    worth: SeedSummary

    def encode(self) -> dict[str, Any]:
        """Return the row as a dictionary for JSON."""
        return attrs.asdict(self)


def run_trials(
    trials: Iterable[Trial],
    jobs: int,
) -> Iterator[tuple[Trial, TrialResult]]:
    """Run trials in ``jobs`` processes; yield results in input order."""
    trial_list = list(trials)
    with ProcessPoolExecutor(jobs) as pool:
        yield from zip(
            trial_list, pool.map(_run_trial, trial_list), strict=True
        )


def _run_trial(trial: Trial) -> TrialResult:
    return simulate(trial.load, trial.policy, trial.seed)


def compare(trial_results: Iterable[tuple[Trial, TrialResult]]) -> list[Row]:
    """Return the worth of each group of requests, summarized over seeds."""
    worths_by_key: dict[tuple[str, str, str], list[float]] = {}
    for trial, result in trial_results:
        for group, worth in worth_by_group(result).items():
            key = trial.load.title, trial.policy, group
            worths_by_key.setdefault(key, []).append(worth)
    return [
        Row(*key, SeedSummary.from_samples(worths))
        for key, worths in worths_by_key.items()
    ]


def worth_by_group(result: TrialResult) -> dict[str, float]:
    """Return the worth of each group of requests in one result."""
    tally_by_group: dict[str, GroupTally] = {'all': result.total}
    for category, tallies in (
        ('kind', result.kinds),
        ('rank', result.ranks),
        ('failure domain', result.domains),
    ):
        tally_by_group |= {
            f'{category} {name}': tallies[name] for name in sorted(tallies)
        }
    worths = {name: tally.worth for name, tally in tally_by_group.items()}
    worths['two worst windows'] = result.worst_windows_worth
    return worths
