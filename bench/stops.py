"""Planned stops under load: no request may be interrupted.

Real daemons on loopback are stopped by SIGTERM and started again, one after
the other, while callers send calls on persistent connections through all
daemons.  A request counts as cut if its connection breaks after it was sent,
if its answer is incomplete, or if the daemon cannot tell whether it ran.  A
refused connection does not count, since nothing was sent.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import sys
import tempfile
import time

import aiohttp

from bench.probe import print_figures
from tanagerbend_model import headers
from tanagerbend_standins import Fleet, Placement, wait_until

SHEET = (
    b'service,work,rank,method,path,deadline_ms\nartwork,any,1,,/plates,8000\n'
)
BODY = b'x' * 20_000
CONNECTIONS_PER_DAEMON = 8


class Callers:
    """Callers on persistent connections, a few for each daemon."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.outcomes = collections.Counter()
        self.stop_event = asyncio.Event()

    async def send_until_stopped(self, node):
        """Send calls to a daemon on one connection until the stop event."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            while not self.stop_event.is_set():
                outcome = await self.send(session, node)
                self.outcomes[outcome] += 1
                if outcome == 'not listening':
                    await asyncio.sleep(0.05)
                await asyncio.sleep(self.random.uniform(0.0, 0.05))

    async def send(self, session, node):
        """Send one call; return its outcome."""
        try:
            async with session.post(
                f'http://{node.call_address}/plates',
                headers={headers.SERVICE: 'artwork'},
                data=BODY,
                timeout=aiohttp.ClientTimeout(total=20.0),
            ) as response:
                answer = await response.read()
                ran = response.headers.get(headers.RAN, '')
                code = response.headers.get(headers.RESULT, '')
        except aiohttp.ClientConnectorError:
            return 'not listening'
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return f'cut: {type(error).__name__}'
        if ran == 'yes' and not answer.endswith(BODY):
            return 'cut: answer incomplete'
        if ran == 'unknown':
            return f'cut: outcome unknown ({code})'
        return 'answered' if code == '0' else f'not run ({code})'


async def run(arguments, directory):
    """Run the benchmark; return the figures."""
    places = [
        Placement(f'host-{number}', 'artwork', 'kingston', 'tas-south')
        for number in range(arguments.hosts)
    ]
    overrides = {'instance': {'drain_seconds': 10.0}}
    fleet = Fleet(directory, places, overrides=overrides, has_log_files=True)
    callers = Callers(fleet, arguments.seed)
    try:
        await fleet.start(SHEET)
        for node in fleet.nodes:
            node.backend.update_behaviour(work_seconds=0.02)

        async def all_answer():
            async with aiohttp.ClientSession() as session:
                seen = {
                    await callers.send(session, node) for node in fleet.nodes
                }
            return seen == {'answered'}

        assert await wait_until(all_answer, 60)
        tasks = [
            asyncio.create_task(callers.send_until_stopped(node))
            for node in fleet.nodes
            for _ in range(CONNECTIONS_PER_DAEMON)
        ]
        statuses, seconds = await stop_all(arguments, fleet, callers)
        callers.stop_event.set()
        await asyncio.gather(*tasks)
    finally:
        await fleet.close()
    return figures(arguments, callers.outcomes, statuses, seconds)


async def stop_all(arguments, fleet, callers):
    """Restart daemons one by one; return exit statuses and stop times."""
    statuses, seconds = collections.Counter(), []
    for number in range(arguments.stops):
        node = fleet.nodes[number % len(fleet.nodes)]
        started_at = time.monotonic()
        statuses[await fleet.stop_daemon(node)] += 1
        seconds.append(time.monotonic() - started_at)
        await fleet.start_daemon(node)
        await asyncio.sleep(callers.random.uniform(1.0, 2.0))
    return statuses, seconds


def figures(arguments, outcomes, statuses, seconds):
    """Return the figures by name."""
    return {
        'stops': arguments.stops,
        'requests': sum(outcomes.values()) - outcomes['not listening'],
        'answered': outcomes['answered'],
        'cut': sum(
            count for outcome, count in outcomes.items() if outcome[:3] == 'cut'
        ),
        'bad_exits': sum(statuses.values()) - statuses[0],
        'longest_stop_seconds': round(max(seconds), 2),
        'outcomes': dict(outcomes.most_common()),
    }


def main():
    """Print the figures; fail if a request was cut."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--stops', type=int, default=50)
    parser.add_argument('--hosts', type=int, default=5)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        found = asyncio.run(run(arguments, pathlib.Path(directory)))
    print_figures(found)
    sys.exit(bool(found['cut'] or found['bad_exits']))


if __name__ == '__main__':
    main()
