"""Load on the service and time until all serve when all daemons restart.

Runs real daemons as processes, kills all of them and starts them again at
once.  In the last run of a fleet the service is down until all daemons run.
"""

import argparse
import asyncio
import pathlib
import signal
import tempfile
import time

from bench.probe import (
    Probe,
    median_range,
    places,
    print_summary_line,
    sheet,
    upper_median,
)
from tanagerbend_standins import Fleet

RUNS = 3
READY_SECONDS = 180
CALL_LIMIT_PER_SECOND = 2000


async def all_ready(probe, nodes):
    """Wait until all daemons are ready; return the time in epoch seconds."""
    give_up_at = time.monotonic() + READY_SECONDS
    missing = list(nodes)
    while missing and time.monotonic() < give_up_at:
        answers = await probe.get_json_of_all(missing, 'status')
        missing = [
            node
            for node, status in zip(missing, answers, strict=True)
            if status is None or status['not_ready']
        ]
        await asyncio.sleep(0.1 if missing else 0)
    if missing:
        raise TimeoutError(f'{len(missing)} daemons are not ready')
    return time.time()


def peak_rate(times, since):
    """Return the highest number of calls in any window of one second."""
    recent = [when for when in times if when >= since]
    first = most = 0
    for last, when in enumerate(recent):
        while recent[first] <= when - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


async def restart_all(fleet, probe, has_outage):
    """Restart all daemons; return peak calls/s, all calls and seconds."""
    platform, nodes = fleet.platform, fleet.nodes
    await asyncio.gather(
        *(fleet.stop_daemon(node, signal.SIGKILL) for node in nodes),
    )
    loop = asyncio.get_running_loop()
    platform.update_faults(outage=has_outage)
    since, calls = loop.time(), platform.calls
    started = time.time()
    await asyncio.gather(*(fleet.start_daemon(node) for node in nodes))
    if has_outage:
        await asyncio.sleep(10 + len(nodes) / 5)
        answers = await probe.get_json_of_all(nodes, 'status')
        serving = [status for status in answers if status and status['version']]
        if serving:
            raise AssertionError('a daemon has a version during the outage')
        started = time.time()
        platform.update_faults(outage=False)
    ready = await all_ready(probe, nodes)
    return (
        peak_rate(platform.call_timestamps, since),
        platform.calls - calls,
        (ready - started),
    )


async def measure(count, runs):
    """Return the restarts of one fleet; the last one begins in an outage."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(
            pathlib.Path(directory),
            places(count),
            has_log_files=True,
        )
        probe = Probe()
        try:
            await fleet.start(sheet(1))
            await all_ready(probe, fleet.nodes)
            restarts = [
                await restart_all(fleet, probe, False) for _ in range(runs)
            ]
            outage = await restart_all(fleet, probe, True)
        finally:
            await probe.close()
            await fleet.close()
    return restarts, outage


async def main(sizes, runs):
    """Print the table for all sizes."""
    print(
        f'{runs} runs; median (lowest-highest); '
        f'limit {CALL_LIMIT_PER_SECOND} calls/s'
    )
    print('daemons   peak calls/s    calls in all    seconds until all serve')
    figures = {}
    for count in sizes:
        restarts, outage = await measure(count, runs)
        peaks, calls, seconds = zip(*restarts, strict=True)
        print(
            f'{count:7}   {median_range(peaks, 0):15} '
            f'{median_range(calls, 0):15} '
            f'{median_range(seconds)}',
        )
        print(
            f'{count:7}   after an outage: peak {outage[0]}, calls '
            f'{outage[1]}, {outage[2]:.2f} s until all serve',
            flush=True,
        )
        figures[f'peak_{count}'] = upper_median(peaks)
        figures[f'calls_{count}'] = upper_median(calls)
        figures[f'seconds_{count}'] = upper_median(seconds)
        figures[f'outage_peak_{count}'] = outage[0]
        figures[f'outage_seconds_{count}'] = outage[2]
    print_summary_line(**figures)


def run():
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='25,50,100')
    parser.add_argument('--runs', type=int, default=RUNS)
    options = parser.parse_args()
    sizes = [int(size) for size in options.sizes.split(',')]
    asyncio.run(main(sizes, options.runs))


if __name__ == '__main__':
    run()
