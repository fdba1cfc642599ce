"""Sub-command ``experiment``."""

import itertools
import pathlib
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, Any

from rich.progress import track

from tanagerbend_operator import exit_codes
from tanagerbend_operator.output import (
    console,
    table,
    write_error,
    write_json,
)

if TYPE_CHECKING:
    from tanagerbend_emulator import Row


def experiment(
    *load: pathlib.Path,
    policy: Sequence[str] = (),
    seeds: int = 3,
    jobs: int = 1,
    plot: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Simulate load files under several policies, without any daemon.

    The decision code of the daemons runs on emulated hosts, links and
    callers. The same files, policies and seeds give the same figures.

    Exit codes: 0 completed; 2 a file or a policy is not valid.

    Examples::

        tanagerbend experiment wallpaper.toml glue.toml --jobs 3
        tanagerbend experiment glue.toml --policy objective fifo --seeds 5

    :param load: load files; those included with the tool by default.
    :param policy: policies to compare; all of them by default.
    :param seeds: number of random seeds, counted from 1; each determines
        arrivals, work times and random choices.
    :param jobs: processes that run simulations in parallel.
    :param plot: file for a plot of the worth by policy (PNG or SVG).
    :param json: write JSON.
    """
    # Imported here, because only this sub-command needs the emulator.
    import tanagerbend_emulator as emulator  # noqa: WPS433

    policies = tuple(policy) or tuple(emulator.POLICIES)
    unknown = set(policies) - set(emulator.POLICIES)
    if unknown:
        write_error(f'unknown policy {", ".join(sorted(unknown))}')
        return exit_codes.USAGE_ERROR
    loads = []
    for path in load or sorted(emulator.LOADS.glob('*.toml')):
        loaded = emulator.read_load(path)
        match loaded:
            case emulator.Load():
                loads.append(loaded)
            case _:
                write_error(f'{path}: {loaded.reason}')
                return exit_codes.USAGE_ERROR
    trials = [
        emulator.Trial(*parts)
        for parts in itertools.product(loads, policies, range(1, seeds + 1))
    ]
    trial_results = track(
        emulator.run_trials(trials, jobs),
        'playing',
        len(trials),
        console=console(to_stderr=True),
    )
    rows = emulator.compare(trial_results)
    if plot is not None:
        plot_worth(rows, plot)
    if json:
        write_json({'rows': [row.encode() for row in rows]})
    else:
        _print_tables(rows, policies)
    return exit_codes.OK


def _print_tables(rows: Iterable['Row'], policies: Sequence[str]) -> None:
    cells_by_group: dict[tuple[str, str], dict[str, str]] = {}
    for row in rows:
        cells = cells_by_group.setdefault((row.load, row.group), {})
        cells[row.policy] = row.worth.format()
    for title in dict.fromkeys(load for load, _group in cells_by_group):
        console().print(title)
        lines = [
            (group, *(cells[name] for name in policies))
            for (load, group), cells in cells_by_group.items()
            if load == title
        ]
        console().print(table(('worth', *policies), lines))


def plot_worth(rows: Sequence['Row'], path: pathlib.Path) -> None:
    """Plot the worth of all requests of each load by policy."""
    # Imported here, because this is the slowest import and rarely needed.
    import matplotlib  # noqa: WPS433

    matplotlib.use('agg')
    from matplotlib import pyplot  # noqa: WPS433

    worth_by_policy: dict[str, dict[str, Any]] = {}
    for row in rows:
        if row.group == 'all':
            worth_by_policy.setdefault(row.policy, {})[row.load] = row.worth
    figure, axes = pyplot.subplots()
    for policy, worths in worth_by_policy.items():
        means = [worth.mean for worth in worths.values()]
        below = [worth.mean - worth.low for worth in worths.values()]
        above = [worth.high - worth.mean for worth in worths.values()]
        names = [title.partition(':')[0] for title in worths]
        axes.errorbar(
            names,
            means,
            (below, above),
            fmt='o',
            capsize=4,
            label=policy,
        )
    axes.set_ylabel('worth, mean and range over seeds')
    axes.set_ylim(0, 1)
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
