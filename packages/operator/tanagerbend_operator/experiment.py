"""Sub-command ``experiment``."""

import itertools
import pathlib
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, Any

from rich.progress import track

from tanagerbend_operator import exits
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
    """Play load files against several policies, without any daemon.

    The decisions are those of the daemons, on emulated hosts, links and
    callers. The same files, policies and seeds give the same figures.

    Exit codes: 0 played; 2 a file or a policy is not valid.

    Examples::

        tanagerbend experiment wallpaper.toml glue.toml --jobs 3
        tanagerbend experiment glue.toml --policy objective fifo --seeds 5

    :param load: load files; without any, those that come with the tool.
    :param policy: policies to compare; all of them by default.
    :param seeds: of arrivals, work times and choices, from 1 up.
    :param jobs: processes that play.
    :param plot: file for a plot of the worth by policy (PNG or SVG).
    :param json: write JSON.
    """
    # Loaded here, because only this sub-command needs what decides.
    import tanagerbend_emulator as emulating  # noqa: WPS433

    policies = tuple(policy) or tuple(emulating.POLICIES)
    unknown = set(policies) - set(emulating.POLICIES)
    if unknown:
        write_error(f'no policy {", ".join(sorted(unknown))}')
        return exits.USAGE
    loads = []
    for path in load or sorted(emulating.LOADS.glob('*.toml')):
        found = emulating.read_load(path)
        match found:
            case emulating.Load():
                loads.append(found)
            case _:
                write_error(f'{path}: {found.reason}')
                return exits.USAGE
    trials = [
        emulating.Trial(*parts)
        for parts in itertools.product(loads, policies, range(1, seeds + 1))
    ]
    played = track(
        emulating.run_trials(trials, jobs),
        'playing',
        len(trials),
        console=console(to_errors=True),
    )
    rows = emulating.compare(played)
    if plot is not None:
        draw(rows, plot)
    if json:
        write_json({'rows': [row.encode() for row in rows]})
    else:
        _print(rows, policies)
    return exits.FINE


def _print(rows: Iterable['Row'], policies: Sequence[str]) -> None:
    found: dict[tuple[str, str], dict[str, str]] = {}
    for row in rows:
        cells = found.setdefault((row.load, row.group), {})
        cells[row.policy] = row.worth.text()
    for title in dict.fromkeys(load for load, _group in found):
        console().print(title)
        lines = [
            (group, *(cells[name] for name in policies))
            for (load, group), cells in found.items()
            if load == title
        ]
        console().print(table(('worth', *policies), lines))


def draw(rows: Sequence['Row'], path: pathlib.Path) -> None:
    """Draw the worth of all requests of each load by policy."""
    # Drawing is the slowest import, and seldom needed.
    import matplotlib  # noqa: WPS433

    matplotlib.use('agg')
    from matplotlib import pyplot  # noqa: WPS433

    whole: dict[str, dict[str, Any]] = {}
    for row in rows:
        if row.group == 'all':
            whole.setdefault(row.policy, {})[row.load] = row.worth
    figure, axes = pyplot.subplots()
    for policy, worths in whole.items():
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
