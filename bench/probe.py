"""What the benchmarks of control work share: places, polls, processes."""

import asyncio
import os
import pathlib
import time

import aiohttp

from tanagerbend_standins import Placement
from tanagerbend_standins.fleet import TOKEN

DOMAINS = ('hobart-a', 'hobart-b', 'kingston', 'glenorchy')
TICKS = os.sysconf('SC_CLK_TCK')
PAGE = os.sysconf('SC_PAGE_SIZE')
REQUESTS_AT_ONCE = 16


def places(count):
    """Return hosts spread over four failure domains and two services."""
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
    """Asks the operators' addresses of many daemons."""

    def __init__(self):
        self.session = aiohttp.ClientSession(
            headers={'Authorization': f'Bearer {TOKEN}'},
            timeout=aiohttp.ClientTimeout(total=10),
        )
        self.limit = asyncio.Semaphore(REQUESTS_AT_ONCE)

    async def ask(self, node, path):
        """Return what a daemon answers, or None if it does not."""
        try:
            async with (
                self.limit,
                self.session.get(
                    f'http://{node.operator_address}/{path}',
                ) as response,
            ):
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def ask_all(self, nodes, path):
        return await asyncio.gather(*(self.ask(node, path) for node in nodes))

    async def adoption(self, nodes, revision, seconds, state='live'):
        """Return when each daemon adopted a revision, epoch seconds.

        The daemons report the time themselves, so that polling adds no
        error.
        """
        end = time.monotonic() + seconds
        adopted, missing = {}, list(nodes)
        while missing and time.monotonic() < end:
            answers = await self.ask_all(missing, 'status')
            for node, status in zip(list(missing), answers, strict=True):
                if is_at(status, revision, state):
                    adopted[node.place.host] = status['adopted_at']
                    missing.remove(node)
            await asyncio.sleep(0.25 if missing else 0)
        if missing:
            raise TimeoutError(f'{len(missing)} daemons lack {revision}')
        return adopted

    async def counters(self, nodes, name):
        """Return the sums of a counter over daemons, by label."""
        sums = {}
        for answer in await self.ask_all(nodes, 'counters'):
            counts = (answer or {'counters': {}})['counters'].get(name, {})
            for label, count in counts.items():
                sums[label] = sums.get(label, 0) + count
        return sums

    async def close(self):
        await self.session.close()


def is_at(status, revision, state):
    """Tell whether a daemon is in a state with a revision in force."""
    if status is None or status['position'] is None:
        return False
    return status['position'][1] == revision and status['state'] == state


def cpu_seconds(pid):
    """Return user and system time of a process."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    parts = fields.split()
    return (int(parts[11]) + int(parts[12])) / TICKS


def resident_mib(pid):
    """Return the resident memory of a process."""
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * PAGE / 2**20


def spread(found, digits=2):
    """Return median and range as text."""
    ordered = sorted(found)
    median = ordered[len(ordered) // 2]
    return (
        f'{median:.{digits}f} ({ordered[0]:.{digits}f}-'
        f'{ordered[-1]:.{digits}f})'
    )


def middle(found):
    """Return the upper median."""
    return sorted(found)[len(found) // 2]


def slope(points):
    """Return the least-squares slope of (x, y) pairs."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    under = sum((x - mean_x) ** 2 for x, _ in points)
    return over / under if under else 0.0


def last_line(**figures):
    """Print the figures for programs to read."""
    print(' '.join(f'{name}={figure:.4g}' for name, figure in figures.items()))


def print_figures(found):
    """Print a line for each figure, then all single ones in one line."""
    for name, figure in found.items():
        print(f'{name:20} {figure}')
    print(
        ' '.join(
            f'{name}={figure}'
            for name, figure in found.items()
            if not isinstance(figure, dict)
        ),
    )
