"""Injects seeded faults into a fleet while callers send orders."""

import asyncio
import collections
import json
import os
import pathlib
import random
import signal

import aiohttp

from bench.cut_daemon import CONTROL_FILE_VARIABLE

CRASH_MARK = b'crash-the-backend-server'
NO_FAULTS = {'groups': {}, 'lost': 0.0, 'delayed': 0.0, 'doubled': 0.0}


class FaultInjector:
    """Injects faults of daemons, backend servers and the network in turn."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.fault_counts = collections.Counter()
        self.control_file = pathlib.Path(fleet.directory) / 'network.json'
        self.groups = {}
        self.network_faults = dict(NO_FAULTS)
        os.environ[CONTROL_FILE_VARIABLE] = str(self.control_file)
        self.write_faults()

    def write_faults(self, **changes):
        """Write the network faults to the control file of the daemons."""
        self.network_faults.update(changes)
        new_file = self.control_file.with_suffix('.new')
        new_file.write_text(json.dumps(self.network_faults))
        new_file.replace(self.control_file)

    async def run(self, stop_event):
        """Inject faults until the event is set, then clear them."""
        for node in self.fleet.nodes:
            node.backend.update_behaviour(
                work_seconds=0.005,
                lost_share=0.005,
                truncated_share=0.005,
                crash_trigger=CRASH_MARK,
                crash_seconds=0.2,
            )
        self.write_faults(lost=0.03, delayed=0.03, doubled=0.03)
        faults = (
            self.kill,
            self.pause,
            self.pause_long,
            self.crash,
            self.partition,
            self.stop,
        )
        while not stop_event.is_set():
            fault = self.random.choice(faults)
            self.fault_counts[fault.__name__] += 1
            await fault(self.random.choice(self.fleet.nodes))
            await asyncio.sleep(self.random.uniform(0.1, 0.5))
        self.write_faults(**NO_FAULTS)
        for node in self.fleet.nodes:
            node.backend.update_behaviour(lost_share=0.0, truncated_share=0.0)

    async def kill(self, node):
        """Kill and restart a daemon."""
        await self.fleet.stop_daemon(node, signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        await self.fleet.start_daemon(node)
        await asyncio.sleep(1.0)

    async def stop(self, node):
        """Stop a daemon by SIGTERM and restart it."""
        status = await self.fleet.stop_daemon(node)
        assert status == 0, f'{node.place.host} ended with status {status}'
        await self.fleet.start_daemon(node)
        await asyncio.sleep(1.0)

    async def pause(self, node, max_seconds=0.5):
        """Pause a daemon for at most ``max_seconds``."""
        self.fleet.pause(node)
        await asyncio.sleep(self.random.uniform(0.05, max_seconds))
        self.fleet.resume(node)

    async def pause_long(self, node):
        """Pause a daemon for up to four seconds, the default order deadline."""
        await self.pause(node, 4.0)

    async def crash(self, node):
        """Crash a backend server by a request sent to it directly."""
        url = f'http://{node.backend_address}/crash'
        try:
            async with aiohttp.ClientSession() as session:
                await session.post(url, data=CRASH_MARK)
        except (aiohttp.ClientError, OSError):
            return

    async def partition(self, _node):
        """Partition the daemons into two groups for up to three seconds."""
        addresses = [node.call_address for node in self.fleet.nodes]
        self.random.shuffle(addresses)
        half = len(addresses) // 2
        self.write_faults(groups=dict.fromkeys(addresses[:half], 'other side'))
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        self.write_faults(groups={})
