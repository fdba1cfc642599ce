"""Time until a changed sheet is in force at all daemons, and the traffic.

Runs real daemons as processes; in the baseline every daemon watches the
service itself.  Then a tenth of the daemons restart and the host list
changes while a sheet is published.
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
START_SECONDS = 120
CHANGE_SECONDS = 60
# Late announcements and their answers are counted with the change.
SETTLE_SECONDS = 2.5
CHANGE_MESSAGES = frozenset(('Announce', 'Ack', 'Fetch', 'Content'))
MODES = {'epidemic': 2, 'baseline': 0}


class Scenario:
    """A fleet and the sheets published to it."""

    def __init__(self, directory, count, readers):
        self.fleet = Fleet(
            pathlib.Path(directory),
            places(count),
            overrides={'platform': {'readers_per_domain': readers}},
            has_log_files=True,
        )
        self.probe = Probe()
        self.sheet_changes = 0

    async def start(self):
        """Start the daemons and wait until the first sheet is in force."""
        await self.fleet.start()
        revision = await self.publish()
        await self.probe.wait_for_adoption(
            self.fleet.nodes, revision, START_SECONDS
        )
        await asyncio.sleep(SETTLE_SECONDS)

    async def publish(self):
        self.sheet_changes += 1
        return await self.fleet.publish(sheet(self.sheet_changes))

    async def bytes_sent(self):
        sums = await self.probe.counter_sums(
            self.fleet.nodes,
            'control_bytes_sent',
        )
        return sum(sums.get(label, 0) for label in CHANGE_MESSAGES)

    async def measure_change(self):
        """Publish once; return seconds, bytes per daemon and service calls."""
        sent, calls = await self.bytes_sent(), self.fleet.platform.calls
        started = time.time()
        revision = await self.publish()
        adopted = await self.probe.wait_for_adoption(
            self.fleet.nodes,
            revision,
            CHANGE_SECONDS,
        )
        await asyncio.sleep(SETTLE_SECONDS)
        sent = await self.bytes_sent() - sent
        return (
            max(adopted.values()) - started,
            sent / len(adopted),
            self.fleet.platform.calls - calls,
        )

    async def change_during_restarts(self, run):
        """Restart a tenth of the daemons, change the host list, publish.

        Returns the seconds of the other daemons and of the restarted ones.
        """
        nodes = self.fleet.nodes
        restarted = nodes[run :: max(len(nodes) // max(len(nodes) // 10, 1), 1)]
        restarted = restarted[: max(len(nodes) // 10, 1)]
        for node in restarted:
            await self.fleet.stop_daemon(node, signal.SIGKILL)
        omitted = frozenset(node.place.host for node in nodes[run::7])
        await self.fleet.publish_hosts(omitted)
        await asyncio.gather(
            *(self.fleet.start_daemon(node) for node in restarted),
        )
        started = time.time()
        revision = await self.publish()
        staying = [node for node in nodes if node not in restarted]
        adopted = await self.probe.wait_for_adoption(
            staying, revision, CHANGE_SECONDS
        )
        back = await self.probe.wait_for_adoption(
            restarted, revision, START_SECONDS
        )
        await self.fleet.publish_hosts()
        await asyncio.sleep(SETTLE_SECONDS)
        return (
            max(adopted.values()) - started,
            max(back.values()) - started,
        )

    async def close(self):
        await self.probe.close()
        await self.fleet.close()


async def measure(count, mode, runs):
    """Return the figures of the changes, without and with restarts."""
    with tempfile.TemporaryDirectory() as directory:
        scenario = Scenario(directory, count, MODES[mode])
        try:
            await scenario.start()
            changes = [await scenario.measure_change() for _ in range(runs)]
            churn = []
            if mode == 'epidemic':
                churn = [
                    await scenario.change_during_restarts(run)
                    for run in range(runs)
                ]
        finally:
            await scenario.close()
    return changes, churn


async def main(sizes, runs, modes):
    """Print the table for all sizes."""
    print(f'sheet of {len(sheet(1))} bytes, one row changed; {runs} runs;')
    print('median (lowest-highest); bytes between daemons and values read')
    print('from the service, per daemon and change')
    print(
        'daemons mode      seconds            bytes               '
        'service bytes       service calls',
    )
    figures = {}
    for count in sizes:
        for mode in modes:
            changes, churn = await measure(count, mode, runs)
            seconds, sent, calls = zip(*changes, strict=True)
            read = [len(sheet(1)) * number / count for number in calls]
            print(
                f'{count:7} {mode:9} {median_range(seconds):18} '
                f'{median_range(sent, 0):19} '
                f'{median_range(read, 0):19} '
                f'{median_range(calls, 0)}',
                flush=True,
            )
            name = f'{mode}_{count}'
            figures[f'{name}_seconds'] = upper_median(seconds)
            figures[f'{name}_bytes'] = upper_median(sent)
            figures[f'{name}_service_bytes'] = upper_median(read)
            figures[f'{name}_calls'] = upper_median(calls)
            if churn:
                stayed, back = zip(*churn, strict=True)
                print(
                    f'{count:7} churn     {median_range(stayed):18} '
                    f'restarted daemons: {median_range(back)}',
                    flush=True,
                )
                figures[f'churn_{count}_seconds'] = upper_median(stayed)
                figures[f'churn_{count}_back_seconds'] = upper_median(back)
    print_summary_line(**figures)


def run():
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='25,50,100')
    parser.add_argument('--runs', type=int, default=RUNS)
    parser.add_argument('--modes', default=','.join(MODES))
    options = parser.parse_args()
    sizes = [int(size) for size in options.sizes.split(',')]
    asyncio.run(main(sizes, options.runs, options.modes.split(',')))


if __name__ == '__main__':
    run()
