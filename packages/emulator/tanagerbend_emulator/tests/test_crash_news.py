"""News of crashes among many daemons, in virtual time."""

import asyncio
import random

import pytest

from tanagerbend_emulator.fleet import NAMES, SilentLog
from tanagerbend_emulator.virtual import LoopTimer, run_virtual
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.case_messages import MAX_CASES, CaseMessage
from tanagerbend_proxy.crash_exchange import (
    CrashCaseExchange,
    make_suspicions,
    recipient_offsets,
)
from tanagerbend_quarantine import Crash, Verdict
from tanagerbend_routing import InstanceRegistry, ListedInstance

CONTACT_SECONDS = 3.0
KILLER = b'killer'
DELAY = 0.002


class Ring:
    """Daemons that tell each other, some of them cut off."""

    def __init__(self, size, seed=1, lost=0.0):
        self.random = random.Random(seed)
        self.lost = lost
        self.cut_off = set()
        self.messages = 0
        self.bytes = 0
        self.daemons = {}
        self.tasks = {}
        self.recorder = Recorder(LoopTimer())
        self.instances = {
            host: ListedInstance(host, f'{host}:80', 'shop', 'north', 2)
            for host in (f'10.0.{n // 250}.{n % 250}' for n in range(size))
        }
        for host in self.instances:
            self.start(host)

    def start(self, host):
        """Start the daemon of a host, which knows nothing of crashes."""
        registry = InstanceRegistry(self.recorder)
        registry.replace(self.instances)

        async def ask(other, text):
            self.messages += 1
            self.bytes += len(text)
            await asyncio.sleep(DELAY)
            is_cut = self.cut_off & {host, other}
            if is_cut or self.random.random() < self.lost:
                return Refusal(ResultCode.PEER_UNREACHABLE, 'lost')
            return self.daemons[other].answer(text)

        if host in self.tasks:
            self.tasks.pop(host).cancel()
        suspicions = make_suspicions(self.recorder, NAMES, SilentLog())
        daemon = CrashCaseExchange(suspicions, registry, host, ask, self.random)
        self.daemons[host] = daemon
        self.tasks[host] = asyncio.ensure_future(daemon.run())
        return daemon

    def crash(self, number, *, is_alone=False):
        """Let the killer end an instance, seen by the daemon beside it."""
        host = list(self.instances)[number]
        daemon = self.daemons[host]
        crash = Crash(host, daemon.timer.now(), is_alone)
        daemon.spread(daemon.cases.record_crash([KILLER], crash))

    def verdicts(self):
        """Return what the daemons think of the killer."""
        return {each.cases.verdict(KILLER) for each in self.daemons.values()}

    async def close(self):
        """End all daemons."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.wait(self.tasks.values())


def in_ring(scenario, *args, **options):
    """Play a scenario on a ring of daemons; return the ring."""

    async def play():
        ring = Ring(*args, **options)
        # The daemons have asked others after their start.
        await asyncio.sleep(1)
        ring.messages = ring.bytes = 0
        await scenario(ring)
        await ring.close()
        return ring

    return run_virtual(play())


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('lost', [0.0, 0.3])
@pytest.mark.parametrize('size', [2, 13, 91, 195])
def test_all_daemons_know_of_a_third_crash_in_time(size, lost, seed):
    """Guards against a daemon that sends a known killer on."""

    async def scenario(ring):
        for number in range(3):
            ring.crash((number * 7) % size, is_alone=number == 2)
            await asyncio.sleep(0.3)
        await asyncio.sleep(CONTACT_SECONDS)
        assert ring.verdicts() == {Verdict.CONVICTED}

    in_ring(scenario, size, seed=seed, lost=lost)


def test_messages_of_a_crash_grow_with_the_digits_of_the_fleet():
    """Guards against a daemon that tells thousands of others by itself."""

    async def scenario(ring):
        ring.crash(0)
        await asyncio.sleep(1.4)

    for size in (13, 195, 1000):
        ring = in_ring(scenario, size)
        assert ring.messages <= size * (len(recipient_offsets(size)) + 1)


def test_daemon_that_was_cut_off_learns_what_it_missed():
    """Guards against a daemon that is back and knows of no crash."""

    async def scenario(ring):
        hosts = list(ring.instances)
        ring.cut_off.add(hosts[5])
        for number in (0, 1, 2):
            ring.crash(number, is_alone=number == 2)
        await asyncio.sleep(10)
        missed = ring.daemons[hosts[5]].cases
        assert missed.verdict(KILLER) is Verdict.CLEAR
        ring.cut_off.clear()
        await asyncio.sleep(CONTACT_SECONDS)
        assert missed.verdict(KILLER) is Verdict.CONVICTED

    in_ring(scenario, 13)


def test_daemon_that_has_started_asks_at_once():
    """Guards against a restart that makes a daemon forget for long."""

    async def scenario(ring):
        for number in (0, 1, 2):
            ring.crash(number, is_alone=number == 2)
        await asyncio.sleep(2)
        started = ring.start(next(iter(ring.instances)))
        await asyncio.sleep(0.5)
        assert started.cases.verdict(KILLER) is Verdict.CONVICTED

    in_ring(scenario, 13)


def test_daemons_that_know_of_no_crash_are_silent():
    """Guards against messages without a reason."""

    async def scenario(_ring):
        await asyncio.sleep(60)

    assert in_ring(scenario, 13).messages == 0


def test_news_go_on_after_an_unexpected_error():
    """Guards against an error of our own that ends a daemon, or its news."""

    async def scenario(ring):
        first = next(iter(ring.daemons.values()))
        told = first.cases.cases_to_send
        errors = [KeyError('once'), KeyError('twice')]

        def fail(*names):
            if errors:
                raise errors.pop()
            return told(*names)

        first.cases.cases_to_send = fail
        for number in (0, 1, 2):
            ring.crash(number, is_alone=number == 2)
            await asyncio.sleep(1)
        await asyncio.sleep(CONTACT_SECONDS)
        assert not errors
        assert ring.verdicts() == {Verdict.CONVICTED}
        assert ring.recorder.counters.get('crash_news_failed') == 2

    in_ring(scenario, 3)


def test_flood_of_suspects_does_not_keep_a_conviction_from_others():
    """Guards against a message that is too short for what matters most."""

    async def scenario(ring):
        first = next(iter(ring.daemons.values()))
        crash = Crash('i-1', 1.0)
        names = [b'%d' % number for number in range(MAX_CASES)]
        first.cases.record_crash(names, crash)
        ring.crash(0, is_alone=True)
        first.pending.clear()
        await asyncio.sleep(2 * CONTACT_SECONDS)
        assert ring.verdicts() == {Verdict.CONVICTED}

    in_ring(scenario, 2)


def test_odd_news_change_nothing():
    """Guards against a daemon that one malformed message ends."""

    async def scenario(ring):
        daemon = next(iter(ring.daemons.values()))
        row = ['6b', [['i', 1.0, False]], [], 5.0]
        for told in (
            '[' * 100_000,
            '{}',
            'null',
            '{"told": 1, "digest": ""}',
            CaseMessage().encode().replace('[]', str([row] * 1001)),
            CaseMessage().encode().replace('[]', '[["zz", [], [], 1]]'),
            CaseMessage().encode().replace('[]', '[["6b", [], [], 1e999]]'),
            CaseMessage()
            .encode()
            .replace('[]', '[["6b", [["i", 1e999, 0]], [], 1]]'),
            '{"told": [["6b", [], [], ' + '9' * 5000 + ']], "digest": ""}',
        ):
            assert isinstance(daemon.answer(told), Refusal), told[:60]
        assert daemon.cases.is_empty

    in_ring(scenario, 2)
