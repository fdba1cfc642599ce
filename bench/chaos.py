"""Faults of a fleet, drawn from a seed, while callers send orders."""

import asyncio
import collections
import json
import os
import pathlib
import random
import signal

import aiohttp

from bench.cut_daemon import CONTROL

CRASH_MARK = b'crash-the-backend-server'
QUIET = {'groups': {}, 'lost': 0.0, 'delayed': 0.0, 'doubled': 0.0}


class Chaos:
    """Kills, pauses, crashes and partitions, one after the other."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.counts = collections.Counter()
        self.path = pathlib.Path(fleet.directory) / 'network.json'
        self.groups = {}
        self.faults = dict(QUIET)
        os.environ[CONTROL] = str(self.path)
        self.write()

    def write(self, **changes):
        """Publish the faults of the network to the daemons."""
        self.faults.update(changes)
        fresh = self.path.with_suffix('.new')
        fresh.write_text(json.dumps(self.faults))
        fresh.replace(self.path)

    async def run(self, is_over):
        """Cause faults until the event is set, then repair everything."""
        for node in self.fleet.nodes:
            node.backend.update_behaviour(
                work_seconds=0.005,
                lost_share=0.005,
                truncated_share=0.005,
                crash_trigger=CRASH_MARK,
                crash_seconds=0.2,
            )
        self.write(lost=0.03, delayed=0.03, doubled=0.03)
        faults = (
            self.kill,
            self.pause,
            self.pause_long,
            self.crash,
            self.partition,
            self.stop,
        )
        while not is_over.is_set():
            fault = self.random.choice(faults)
            self.counts[fault.__name__] += 1
            await fault(self.random.choice(self.fleet.nodes))
            await asyncio.sleep(self.random.uniform(0.1, 0.5))
        self.write(**QUIET)
        for node in self.fleet.nodes:
            node.backend.update_behaviour(lost_share=0.0, truncated_share=0.0)

    async def kill(self, node):
        """Kill a daemon and start it again."""
        await self.fleet.stop_daemon(node, signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        await self.fleet.start_daemon(node)
        await asyncio.sleep(1.0)

    async def stop(self, node):
        """Stop a daemon as planned and start it again."""
        status = await self.fleet.stop_daemon(node)
        assert status == 0, f'{node.place.host} ended with status {status}'
        await self.fleet.start_daemon(node)
        await asyncio.sleep(1.0)

    async def pause(self, node, longest=0.5):
        """Pause a daemon for a moment."""
        self.fleet.pause(node)
        await asyncio.sleep(self.random.uniform(0.05, longest))
        self.fleet.resume(node)

    async def pause_long(self, node):
        """Pause a daemon beyond the deadlines of orders."""
        await self.pause(node, 4.0)

    async def crash(self, node):
        """Crash a backend server by a request of its own."""
        url = f'http://{node.backend_address}/crash'
        try:
            async with aiohttp.ClientSession() as session:
                await session.post(url, data=CRASH_MARK)
        except (aiohttp.ClientError, OSError):
            return

    async def partition(self, _node):
        """Divide the daemons into two groups for some seconds."""
        addresses = [node.call_address for node in self.fleet.nodes]
        self.random.shuffle(addresses)
        half = len(addresses) // 2
        self.write(groups=dict.fromkeys(addresses[:half], 'other side'))
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        self.write(groups={})
