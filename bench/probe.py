"""Shared helpers: places, sheets, polling of daemons, process figures."""

import asyncio
import os
import pathlib
import time

import aiohttp

from tanagerbend_standins import Placement
from tanagerbend_standins.fleet import TOKEN

DOMAINS = ('hobart-a', 'hobart-b', 'kingston', 'glenorchy')
CLOCK_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
MAX_CONCURRENT_REQUESTS = 16


def places(count):
    """Return places over four failure domains and two services."""
    return [
        Placement(
            f'host-{number}',
            'artwork' if number % 3 == 0 else 'pattern',
            DOMAINS[number % len(DOMAINS)],
            'tas-south',
        )
        for number in range(count)
    ]


def sheet(change, rows=200):
    """Return a sheet of about 10 KB; ``change`` alters one row."""
    lines = ['service,work,rank']
    for service in ('artwork', 'pattern'):
        lines.extend(
            f'{service},work-class-number-{row},{row % 8 + 1}'
            for row in range(rows)
        )
    lines.append(f'pattern,change-{change},3')
    return '\n'.join(lines).encode() + b'\n'


class Probe:
    """Polls the operators' addresses of many daemons."""

    def __init__(self):
        self.session = aiohttp.ClientSession(
            headers={'Authorization': f'Bearer {TOKEN}'},
            timeout=aiohttp.ClientTimeout(total=10),
        )
        self.request_limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def get_json(self, node, path):
        """Return the JSON answer of a daemon, or None if none arrives."""
        try:
            async with (
                self.request_limit,
                self.session.get(
                    f'http://{node.operator_address}/{path}',
                ) as response,
            ):
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def get_json_of_all(self, nodes, path):
        return await asyncio.gather(
            *(self.get_json(node, path) for node in nodes)
        )

    async def wait_for_adoption(self, nodes, revision, seconds, state='live'):
        """Wait for a revision; return epoch seconds of adoption by host.

        The daemons report the times, so polling adds no error.
        """
        give_up_at = time.monotonic() + seconds
        adopted, missing = {}, list(nodes)
        while missing and time.monotonic() < give_up_at:
            answers = await self.get_json_of_all(missing, 'status')
            for node, status in zip(list(missing), answers, strict=True):
                if has_adopted(status, revision, state):
                    adopted[node.place.host] = status['adopted_at']
                    missing.remove(node)
            await asyncio.sleep(0.25 if missing else 0)
        if missing:
            raise TimeoutError(
                f'{len(missing)} daemons lack revision {revision}'
            )
        return adopted

    async def counter_sums(self, nodes, name):
        """Return the sums of a counter over the daemons, by label."""
        sums = {}
        for answer in await self.get_json_of_all(nodes, 'counters'):
            counts = (answer or {'counters': {}})['counters'].get(name, {})
            for label, count in counts.items():
                sums[label] = sums.get(label, 0) + count
        return sums

    async def close(self):
        await self.session.close()


def has_adopted(status, revision, state):
    """Tell whether a daemon in a state has a revision in force."""
    if status is None or status['position'] is None:
        return False
    return status['position'][1] == revision and status['state'] == state


def cpu_seconds(pid):
    """Return the user and system time of a process in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    parts = fields.split()
    return (int(parts[11]) + int(parts[12])) / CLOCK_TICKS_PER_SECOND


def resident_mib(pid):
    """Return the resident memory of a process in MiB."""
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * PAGE_BYTES / 2**20


def median_range(values, digits=2):
    """Return median and range as text."""
    ordered = sorted(values)
    median = ordered[len(ordered) // 2]
    return (
        f'{median:.{digits}f} ({ordered[0]:.{digits}f}-'
        f'{ordered[-1]:.{digits}f})'
    )


def upper_median(values):
    """Return the upper median."""
    return sorted(values)[len(values) // 2]


def slope(points):
    """Return the least-squares slope of (x, y) pairs."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    return covariance / variance if variance else 0.0


def print_summary_line(**figures):
    """Print the figures in one line for programs to read."""
    print(' '.join(f'{name}={figure:.4g}' for name, figure in figures.items()))


def print_figures(values):
    """Print each figure in a line, then all scalar ones in one line."""
    for name, figure in values.items():
        print(f'{name:20} {figure}')
    print(
        ' '.join(
            f'{name}={figure}'
            for name, figure in values.items()
            if not isinstance(figure, dict)
        ),
    )
