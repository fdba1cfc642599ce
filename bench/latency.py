"""Latency that the daemons add to a call, against a direct connection.

Daemons are real processes.  The backend servers and the caller share this
process, for direct calls and for calls through the daemons alike.
"""

import asyncio
import os
import pathlib
import statistics
import tempfile
import time

import aiohttp

from tanagerbend_model import headers
from tanagerbend_standins import Fleet, Placement, wait_until

SHEET = b'service,work,rank\npattern,swatches,5\nartwork,plates,3\n'
PLACES = [
    Placement('host-1', 'pattern', 'hobart-a', 'tas-south'),
    Placement('host-2', 'artwork', 'hobart-a', 'tas-south'),
]
CALLS_PER_SECOND = (50, 200, 400)
WINDOW_SECONDS = 3.0
RUNS = 3
P99_GOAL_MS = 0.38
PATH_NAMES = ('direct', 'owner', 'other')


class CallPath:
    """A path to a backend server: direct, or through one or two daemons."""

    def __init__(self, fleet, name):
        entry, other = fleet.nodes
        self.name = name
        self.address = entry.call_address
        is_other = name == 'other'
        self.service = 'artwork' if is_other else 'pattern'
        self.work = 'plates' if is_other else 'swatches'
        self.nodes = {'direct': [], 'owner': [entry]}.get(name, [entry, other])
        if name == 'direct':
            self.address = entry.backend_address

    async def call(self, caller):
        """Send one call; return its status."""
        async with caller.get(
            f'http://{self.address}/{self.work}',
            headers={headers.SERVICE: self.service},
        ) as response:
            await response.read()
            return response.status

    def cpu_seconds(self):
        """Return the CPU time of the daemons on this path in seconds."""
        ticks = 0
        for node in self.nodes:
            stat = pathlib.Path(f'/proc/{node.process.pid}/stat').read_text()
            fields = stat.rpartition(')')[2].split()
            ticks += int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')


async def measure(caller, path, rate):
    """Send calls at a rate; return latencies and CPU seconds per call."""
    count = int(rate * WINDOW_SECONDS)
    latencies = []

    async def timed_call():
        started_at = time.perf_counter()
        status = await path.call(caller)
        latencies.append(time.perf_counter() - started_at)
        assert status == 200, status

    cpu = path.cpu_seconds()
    began = time.perf_counter()
    tasks = []
    for index in range(count):
        await asyncio.sleep(began + index / rate - time.perf_counter())
        tasks.append(asyncio.create_task(timed_call()))
    await asyncio.gather(*tasks)
    return latencies, (path.cpu_seconds() - cpu) / count


def median_and_p99(latencies):
    """Return median and 99th percentile in milliseconds."""
    cuts = statistics.quantiles(latencies, n=100)
    return cuts[49] * 1000, cuts[98] * 1000


async def measure_run(caller, paths):
    """Return figures by (path, rate): median, 99th percentile, CPU in ms."""
    found = {}
    for rate in CALLS_PER_SECOND:
        for path in paths:
            latencies, cpu = await measure(caller, path, rate)
            found[path.name, rate] = (*median_and_p99(latencies), cpu * 1000)
    return found


def added_ms(run, name, rate, index):
    """Return a path's figure less the direct one, in milliseconds."""
    return run[name, rate][index] - run['direct', rate][index]


def median_range(numbers):
    """Return the median and range of the runs as text."""
    return (
        f'{statistics.median(numbers):7.3f}'
        f' ({min(numbers):.3f} to {max(numbers):.3f})'
    )


def report(runs):
    """Print the table and the summary line."""
    print('added ms: path, calls/s, median, 99th percentile, CPU ms per call')
    values = {}
    for rate in CALLS_PER_SECOND:
        base = [
            median_range([run['direct', rate][i] for run in runs])
            for i in (0, 1)
        ]
        print(f'direct {rate:4}/s  takes {base[0]}  {base[1]}')
        for name in PATH_NAMES[1:]:
            median = [added_ms(run, name, rate, 0) for run in runs]
            tail = [added_ms(run, name, rate, 1) for run in runs]
            cpu = [run[name, rate][2] for run in runs]
            print(
                f'{name:6} {rate:4}/s  adds  {median_range(median)}'
                f'  {median_range(tail)}  {median_range(cpu)}'
            )
            key = f'{name}_{rate}'
            values[f'{key}_median_ms'] = statistics.median(median)
            values[f'{key}_p99_ms'] = statistics.median(tail)
            values[f'{key}_cpu_ms'] = statistics.median(cpu)
    print(f'goal: {P99_GOAL_MS} ms at the 99th percentile')
    print(' '.join(f'{name}={value:.3f}' for name, value in values.items()))


async def main():
    """Start the fleet, warm up the paths, measure and print."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(pathlib.Path(directory), PLACES)
        await fleet.start(SHEET)
        try:
            async with aiohttp.ClientSession() as caller:
                paths = [CallPath(fleet, name) for name in PATH_NAMES]
                for path in paths:
                    await warm(caller, path)
                report([await measure_run(caller, paths) for _ in range(RUNS)])
        finally:
            await fleet.close()


async def warm(caller, path):
    """Wait until a path serves, then send some calls."""

    async def serves():
        try:
            return await path.call(caller) == 200
        except aiohttp.ClientConnectorError:
            return False

    assert await wait_until(serves, 30), path.name
    for _ in range(200):
        await path.call(caller)


if __name__ == '__main__':
    asyncio.run(main())
