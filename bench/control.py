"""CPU, memory and traffic of a real daemon that handles only control work.

The other members are simulated in this process: each has its own loopback
address, and all share one roster.  They ping and sync the daemon as often as
a real fleet of that size would.
"""

import argparse
import asyncio
import pathlib
import random
import tempfile
import time

import attrs

from bench.probe import (
    Probe,
    cpu_seconds,
    median_range,
    print_summary_line,
    resident_mib,
    slope,
    upper_median,
)
from tanagerbend_distribution import Propagation, VersionStore
from tanagerbend_interfaces import (
    Ack,
    Announce,
    Member,
    MemberState,
    Ping,
    Pong,
    Sync,
    Update,
)
from tanagerbend_membership import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_standins import Fleet, Placement
from tanagerbend_standins.fleet import SHARED_KEY, free_ports
from tanagerbend_timer import SystemTimer
from tanagerbend_wire import Identity, PeerClient, PeerServer

DEPLOYMENT = 'tas-south'
DOMAINS, SERVICES = 19, 480
RUNS, WINDOW_SECONDS, SETTLE_SECONDS = 3, 20.0, 10.0
# After a start, each sync replaces about 230 records made from the host list
# by those of the members; about one sync arrives per second.
SETTLE_SECONDS_PER_MEMBER = 1 / 100
# 6,400 changes and 450 restarts with three new records each, per day.
SHEET_CHANGE_SECONDS, RECORD_CHANGE_SECONDS = 86400 / 6400, 86400 / (3 * 464)
LIMITS = {'cpu': 1.8, 'memory': 128, 'bytes': 27000}


def make_member(number, port):
    """Return the record of a simulated member."""
    address = f'127.1.{number // 250}.{number % 250 + 1}'
    return Member(
        f'member-{number}',
        f'service-{number % SERVICES}',
        f'domain-{number % DOMAINS}',
        f'region-{number % 7}',
        1_700_000_000_000_000_000 + number,
        2,
        MemberState.LIVE,
        f'{address}:{port - 1}',
        f'{address}:{port}',
    )


def sheet(change):
    """Return a sheet with four rows for each service."""
    lines = ['service,work,rank']
    lines.extend(
        f'service-{service},work-{row},{row + 1}'
        for service in range(SERVICES)
        for row in range(4)
    )
    lines.append(f'service-0,change-{change},3')
    return '\n'.join(lines).encode() + b'\n'


class SimulatedFleet:
    """The simulated members."""

    def __init__(self, count, seed):
        self.random = random.Random(seed)
        self.port = free_ports(1)[0]
        self.members = [
            make_member(number, self.port) for number in range(count)
        ]
        self.by_address = {
            member.peer_address.partition(':')[0]: member
            for member in self.members
        }
        timer = SystemTimer()
        self.recorder = Recorder(timer)
        self.roster = Roster(self.members[0], self.recorder)
        self.roster.merge(self.members)
        self.store = VersionStore(self.recorder)
        self.client = PeerClient(self._identity(self.members[0]), self.recorder)
        self.propagation = Propagation(
            self.store,
            self.roster,
            self.client,
            self.random,
            self.recorder,
        )
        self.store.listeners.clear()
        self.server = None
        self.target, self.tasks = '', []

    def _identity(self, member):
        return Identity(DEPLOYMENT, member.host, 1, SHARED_KEY.encode())

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve,
            sorted(self.by_address),
            self.port,
            backlog=1024,
        )

    async def serve(self, reader, writer):
        """Serve a connection as the member that has the local address."""
        address = writer.get_extra_info('sockname')[0]
        member = self.by_address[address]
        server = PeerServer(
            self._identity(member),
            MemberHandler(self, member),
            self.recorder,
        )
        await server.serve_connection(reader, writer)

    def start_traffic(self, target):
        """Start to send what a fleet of this size sends to one daemon."""
        self.target = target
        periods = (
            (1.0, self.ping),
            (2.0, self.sync),
            (SHEET_CHANGE_SECONDS, self.publish),
            (RECORD_CHANGE_SECONDS, self.change_record),
        )
        self.tasks = [
            asyncio.create_task(self.repeat_request(seconds, work))
            for seconds, work in periods
        ]

    async def repeat_request(self, seconds, work):
        while True:
            await asyncio.sleep(self.random.expovariate(1 / seconds))
            # A new client each time, since successive messages mostly come from
            # different members.
            member = self.random.choice(self.members)
            client = PeerClient(self._identity(member), self.recorder)
            await work(client)
            await client.close()

    async def ping(self, client):
        await client.request(self.target, Ping(), 1.0)

    async def sync(self, client):
        hashes = tuple(self.roster.index.hashes)
        records = self.random.sample(self.members, 1)
        current = self.store.current
        message = Sync(current and current.version, hashes, tuple(records))
        await client.request(self.target, message, 2.0)

    async def publish(self, client):
        revision = self.store.current.version.revision + 1
        self.store.offer(revision, sheet(revision))
        version = self.store.current.version
        # A daemon receives as many announcements as it sends.
        for _ in range(4):
            await client.request(self.target, Announce(version), 2.0)

    async def change_record(self, client):
        number = self.random.randrange(1, len(self.members))
        old_record = self.roster.members[self.members[number].host]
        changed = attrs.evolve(old_record, sequence=old_record.sequence + 1)
        self.roster.merge((changed,))
        await client.request(self.target, Update((changed,)), 2.0)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.server is not None:
            self.server.close()
        await self.client.close()


@attrs.define
class MemberHandler:
    """Answers peer messages as one simulated member."""

    simulated: SimulatedFleet
    member: Member

    async def answer(self, sender, message):
        match message:
            case Ping():
                return Pong(self.member.host, self.member.incarnation)
            case Update(members=members):
                self.simulated.roster.merge(members)
                return Ack()
            case Announce():
                return Ack()
        return self.simulated.propagation.answer(sender, message)


class ControlBench:
    """One real daemon and the simulated members."""

    def __init__(self, directory, count, seed):
        self.simulated = SimulatedFleet(count, seed)
        self.fleet = Fleet(
            pathlib.Path(directory),
            [Placement('host-real', 'service-1', 'domain-1', 'region-1')],
            deployment=DEPLOYMENT,
            overrides={'platform': {'expected_fleet_size': count}},
            has_log_files=True,
        )
        self.probe = Probe()
        self.count = count

    async def start(self):
        await self.simulated.start()
        self.simulated.store.offer(1, sheet(1))
        fleet = self.fleet
        fleet.url = await fleet.platform.start()
        node = fleet.nodes[0]
        node.backend_address = await node.backend.start()
        node.platform_url = await fleet.platform.listen_for_host(
            node.place.host
        )
        fields = ('host', 'service', 'failure_domain', 'region')
        hosts = [
            {name: getattr(member, name) for name in fields}
            | {
                'call_address': member.call_address,
                'peer_address': member.peer_address,
            }
            for member in self.simulated.members
        ]
        await fleet.platform.publish_hosts('hosts', hosts)
        await fleet.publish(sheet(1), 1)
        await fleet.start_daemon(node)
        await self.wait_for_members(node)
        self.simulated.start_traffic(node.peer_address)

    async def wait_for_members(self, node):
        """Wait until the daemon is ready and knows all members as live."""
        give_up_at = time.monotonic() + 120
        while time.monotonic() < give_up_at:
            status = await self.probe.get_json(node, 'status')
            if status and not status['not_ready']:
                if status['members'].get('live', 0) > self.count - 1:
                    await asyncio.sleep(
                        SETTLE_SECONDS + self.count * SETTLE_SECONDS_PER_MEMBER
                    )
                    return
            await asyncio.sleep(0.5)
        raise TimeoutError(f'the daemon does not know all members: {status}')

    async def traffic_bytes(self):
        """Return the bytes that the daemon sent and received."""
        nodes = self.fleet.nodes
        sent = await self.probe.counter_sums(nodes, 'control_bytes_sent')
        received = await self.probe.counter_sums(
            nodes, 'control_bytes_received'
        )
        # One handshake is received for each sent; it counts as many bytes.
        hello = sent.get('Hello', 0)
        return sum(sent.values()) + sum(received.values()) + hello

    async def measure_window(self, seconds):
        """Return CPU percent, resident MiB and bytes per second."""
        pid = self.fleet.nodes[0].process.pid
        traffic = await self.traffic_bytes()
        cpu, started = cpu_seconds(pid), time.monotonic()
        await asyncio.sleep(seconds)
        elapsed = time.monotonic() - started
        cpu = cpu_seconds(pid) - cpu
        traffic = await self.traffic_bytes() - traffic
        return 100 * cpu / elapsed, resident_mib(pid), traffic / elapsed

    async def close(self):
        await self.probe.close()
        await self.simulated.close()
        await self.fleet.close()


async def measure(count, runs, seconds):
    with tempfile.TemporaryDirectory() as directory:
        bench = ControlBench(directory, count, count)
        try:
            await bench.start()
            return [await bench.measure_window(seconds) for _ in range(runs)]
        finally:
            await bench.close()


async def main(sizes, runs, seconds):
    """Print the table for all sizes and the slopes per member."""
    print(
        f'{runs} windows of {seconds:.0f} s; median (lowest-highest); a '
        f'sheet of {len(sheet(1))} bytes changes every '
        f'{SHEET_CHANGE_SECONDS:.1f} s',
    )
    print('members   CPU %              resident MiB       bytes/s')
    figures, points = {}, {'cpu': [], 'memory': [], 'bytes': []}
    for count in sizes:
        windows = await measure(count, runs, seconds)
        columns = dict(zip(points, zip(*windows, strict=True), strict=True))
        print(
            f'{count:7}   {median_range(columns["cpu"]):18} '
            f'{median_range(columns["memory"], 1):18} '
            f'{median_range(columns["bytes"], 0)}',
            flush=True,
        )
        for name, found in columns.items():
            figures[f'{name}_{count}'] = upper_median(found)
            points[name].append((count, upper_median(found)))
    for name, found in points.items():
        figures[f'{name}_per_member'] = slope(found)
        print(f'{name}: slope {slope(found):.6f} per member')
        print(f'{name}: at most {LIMITS[name]} at the target size')
    print_summary_line(**figures)


def run():
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='100,500,1000,2000,3700')
    parser.add_argument('--runs', type=int, default=RUNS)
    parser.add_argument('--seconds', type=float, default=WINDOW_SECONDS)
    options = parser.parse_args()
    sizes = [int(size) for size in options.sizes.split(',')]
    asyncio.run(main(sizes, options.runs, options.seconds))


if __name__ == '__main__':
    run()
