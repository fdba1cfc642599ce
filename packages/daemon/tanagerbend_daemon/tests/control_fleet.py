"""Control work of many daemons in one process, on a manual timer."""

import asyncio
import random

from tanagerbend_daemon.control import ControlHandler
from tanagerbend_daemon.leaving import LeavingHints
from tanagerbend_daemon.suspect_notices import SuspectNotices
from tanagerbend_distribution import (
    Bootstrap,
    CallBudget,
    CatchUp,
    PauseGuard,
    PlatformReader,
    Propagation,
    ReadTimes,
    VersionStore,
)
from tanagerbend_interfaces import (
    Host,
    HostListing,
    Member,
    MemberState,
    Published,
    Unchanged,
)
from tanagerbend_membership import Detector, Roster
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_quarantine import Quarantine
from tanagerbend_timer import ManualTimer
from tanagerbend_wire import decode, encode

POLL_SECONDS = 0.5
UNREACHABLE = Refusal(ResultCode.PEER_UNREACHABLE, 'simulated')


def sheet(number, edition=''):
    """Return a sheet whose content depends on the number."""
    rows = f'service,work,rank\npattern,swatches{number},3\n'
    return f'edition,{edition}\n{rows}'.encode() if edition else rows.encode()


class DaemonTimer(ManualTimer):
    """Timer with the shared time and pauses of one daemon."""

    def __init__(self, shared):
        self.shared, self.pause_listeners = shared, []

    now = property(lambda self: self.shared.now)
    wall = property(lambda self: self.shared.wall)
    sleep = property(lambda self: self.shared.sleep)


class FakeConfigurationService:
    """Configuration service and host list that can be made unavailable."""

    def __init__(self, fleet):
        self.fleet, self.published, self.is_up, self.calls = (
            fleet,
            (0, b''),
            True,
            0,
        )
        self.hosts, self.list_revision = (), 1

    async def read(self, key='hosts'):
        return await self.watch(key, -1, 0)

    async def watch(self, key, after, wait):
        self.calls += 1
        end = self.fleet.timer.now() + wait
        while self.is_up and self.published[0] == after:
            if self.fleet.timer.now() >= end:
                return Unchanged(key)
            await self.fleet.timer.sleep(POLL_SECONDS)
        if not self.is_up:
            return Refusal(ResultCode.SERVICE_UNAVAILABLE, 'down')
        return (
            Published(key, *self.published)
            if self.published[0]
            else Unchanged(key)
        )


class FakeHostList:
    """Host list that the configuration service holds."""

    def __init__(self, service):
        self.service = service

    async def read(self):
        if self.service.is_up:
            return HostListing(self.service.list_revision, self.service.hosts)
        return Refusal(ResultCode.SERVICE_UNAVAILABLE, 'down')

    async def watch(self, after, wait):
        if after != self.service.list_revision:
            return await self.read()
        await self.service.fleet.timer.sleep(wait)
        return Unchanged('hosts')


class Daemon:
    """Control work of one daemon; also its transport to its peers."""

    def __init__(self, fleet, host, incarnation):
        self.fleet, self.positions, self.is_frozen = fleet, [], False
        self.timer = DaemonTimer(fleet.timer)
        self.recorder = Recorder(self.timer)
        rng = random.Random(fleet.random.random())
        own = Member(
            host.host,
            host.service,
            host.failure_domain,
            host.region,
            incarnation,
            1,
            MemberState.STARTING,
            host.call_address,
            host.peer_address,
        )
        self.roster = Roster(own, self.recorder)
        self.store = VersionStore(self.recorder)
        self.store.listeners.append(
            lambda in_force: self.positions.append(in_force.version.position),
        )
        self.propagation = Propagation(
            self.store,
            self.roster,
            self,
            rng,
            self.recorder,
            fleet.seeds,
        )
        self.guard = PauseGuard(self.propagation, self.recorder)
        self.catch_up = CatchUp(self.propagation, self.recorder)
        self.detector = Detector(self.roster, self, rng, self.recorder)
        self.timer.on_pause(self.detector.on_pause)
        self.handler = ControlHandler(
            self.roster,
            self.detector,
            self.propagation,
            SuspectNotices(Quarantine(self.recorder), self.roster, self),
            LeavingHints(self.roster, self),
            self.recorder,
        )
        self.reader = PlatformReader(
            fleet.service,
            FakeHostList(fleet.service),
            'sheet',
            ReadTimes(30.0, 60.0),
            CallBudget(self.timer, rng, 2000, 20),
            self.store,
            self.roster,
            rng,
            self.recorder,
            self.guard.wait_until_verified,
        )
        self.bootstrap = Bootstrap(
            self.propagation,
            self.reader,
            fleet.seeds,
            5.0,
            rng,
            self.recorder,
        )
        self.tasks = [asyncio.create_task(self.follow())]
        for seconds, work in (
            (1.0, self.detector.ping_round),
            (2.0, self.propagation.sync_round),
            (5.0, self.expire),
        ):
            offset = rng.uniform(0, seconds)
            self.tasks.append(self.timer.every(seconds, work, offset).task)

    async def expire(self):
        self.roster.expire()

    async def follow(self):
        await self.bootstrap.run()
        await self.detector.notifier.announce_state(MemberState.LIVE)
        await asyncio.gather(
            self.reader.watch_sheet(), self.reader.watch_host_list()
        )

    async def request(self, peer, message, timeout):
        """Deliver a message to another daemon, encoded and decoded."""
        fleet, end = self.fleet, self.timer.now() + timeout
        await fleet.timer.sleep(fleet.random.uniform(0, fleet.delay))
        target = fleet.daemon_at(peer)
        if target is None:
            return UNREACHABLE
        if self.is_frozen or target.is_frozen or fleet.is_cut(self, target):
            await fleet.timer.sleep(max(0.0, end - self.timer.now()))
            return Refusal(ResultCode.PEER_TIMEOUT, 'simulated')
        _number, sent = decode(encode(message, 1))
        answer = await target.handler.answer(self.roster.own_host, sent)
        if self.timer.now() > end:
            return Refusal(ResultCode.PEER_TIMEOUT, 'simulated')
        return decode(encode(answer, 1))[1]

    async def stop(self):
        """Stop without announcing it, like a killed process."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.propagation.close()
        await self.guard.close()


class ControlFleet:
    """Daemons with switchable loss, delay, partitions and host lists."""

    def __init__(self, count, seed, domains=2):
        self.timer, self.random = ManualTimer(), random.Random(seed)
        self.loss, self.delay, self.sides = 0.0, 0.01, {}
        self.service = FakeConfigurationService(self)
        self.incarnations = 0
        self.hosts = [
            Host(
                f'host-{number}',
                ('pattern', 'artwork')[number // domains % 2],
                f'domain-{number % domains}',
                'tas-south',
                f'10.0.0.{number + 1}:7000',
                f'10.0.0.{number + 1}:7001',
            )
            for number in range(count)
        ]
        self.seeds = (self.hosts[0].peer_address, self.hosts[1].peer_address)
        self.service.hosts = tuple(self.hosts)
        self.daemons = {}

    def daemon_at(self, address):
        """Return the daemon that listens on an address."""
        for daemon in self.daemons.values():
            if daemon.roster.own.peer_address == address:
                return daemon
        return None

    def is_cut(self, sender, receiver):
        hosts = sender.roster.own_host, receiver.roster.own_host
        sides = {self.sides.get(host, 0) for host in hosts}
        return len(sides) > 1 or self.random.random() < self.loss

    async def start(self, *hosts):
        """Start, or kill and restart, daemons; all by default."""
        for host in hosts or self.hosts:
            await self.kill(host.host)
            self.incarnations += 1
            self.daemons[host.host] = Daemon(self, host, self.incarnations)

    async def kill(self, host):
        daemon = self.daemons.pop(host, None)
        if daemon is not None:
            await daemon.stop()

    async def run(self, seconds):
        await self.timer.advance(seconds)

    async def until(self, condition, seconds):
        """Advance until a condition holds for all daemons."""
        end = self.timer.now() + seconds
        while self.timer.now() < end:
            if all(map(condition, self.daemons.values())):
                return True
            await self.run(POLL_SECONDS)
        return all(map(condition, self.daemons.values()))

    def publish(self, revision, content):
        self.service.published = (revision, content)

    async def close(self):
        for host in list(self.daemons):
            await self.kill(host)
