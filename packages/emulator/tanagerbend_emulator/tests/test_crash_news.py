"""Exchange of crash cases between many daemons, in virtual time."""

import asyncio
import random

import pytest

from tanagerbend_emulator.fleet import HEADER_NAMES, NullLog
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
CRASHING_REQUEST = b'killer'
DELAY = 0.002


class ExchangeGroup:
    """Daemons that exchange crash cases; some may be unreachable."""

    def __init__(self, size, seed=1, loss_rate=0.0):
        self.random = random.Random(seed)
        self.loss_rate = loss_rate
        self.unreachable_hosts = set()
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
        """Start or restart the daemon of a host, without any crash cases."""
        registry = InstanceRegistry(self.recorder)
        registry.replace(self.instances)

        async def ask(other, text):
            self.messages += 1
            self.bytes += len(text)
            await asyncio.sleep(DELAY)
            is_unreachable = self.unreachable_hosts & {host, other}
            if is_unreachable or self.random.random() < self.loss_rate:
                return Refusal(ResultCode.PEER_UNREACHABLE, 'lost')
            return self.daemons[other].answer(text)

        if host in self.tasks:
            self.tasks.pop(host).cancel()
        suspicions = make_suspicions(self.recorder, HEADER_NAMES, NullLog())
        daemon = CrashCaseExchange(suspicions, registry, host, ask, self.random)
        self.daemons[host] = daemon
        self.tasks[host] = asyncio.ensure_future(daemon.run())
        return daemon

    def crash(self, number, *, is_alone=False):
        """Record at the daemon of an instance that the request crashed it."""
        host = list(self.instances)[number]
        daemon = self.daemons[host]
        crash = Crash(host, daemon.timer.now(), is_alone)
        daemon.spread(daemon.cases.record_crash([CRASHING_REQUEST], crash))

    def verdicts(self):
        """Return the distinct verdicts of the daemons on the request."""
        return {
            each.cases.verdict(CRASHING_REQUEST)
            for each in self.daemons.values()
        }

    async def close(self):
        """Stop all daemons."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.wait(self.tasks.values())


def run_scenario(scenario, *args, **options):
    """Run a scenario in a new group of daemons; return the group."""

    async def play():
        group = ExchangeGroup(*args, **options)
        # Leaves out the messages that daemons send after their start.
        await asyncio.sleep(1)
        group.messages = group.bytes = 0
        await scenario(group)
        await group.close()
        return group

    return run_virtual(play())


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('loss_rate', [0.0, 0.3])
@pytest.mark.parametrize('size', [2, 13, 91, 195])
def test_all_daemons_know_of_a_third_crash_in_time(size, loss_rate, seed):
    """Guards against a daemon that forwards a request convicted elsewhere."""

    async def scenario(group):
        for number in range(3):
            group.crash((number * 7) % size, is_alone=number == 2)
            await asyncio.sleep(0.3)
        await asyncio.sleep(CONTACT_SECONDS)
        assert group.verdicts() == {Verdict.CONVICTED}

    run_scenario(scenario, size, seed=seed, loss_rate=loss_rate)


def test_messages_per_daemon_grow_logarithmically_with_the_fleet():
    """Guards against a daemon that sends a crash to the whole fleet alone."""

    async def scenario(group):
        group.crash(0)
        await asyncio.sleep(1.4)

    for size in (13, 195, 1000):
        group = run_scenario(scenario, size)
        assert group.messages <= size * (len(recipient_offsets(size)) + 1)


def test_daemon_that_is_reachable_again_learns_of_missed_crashes():
    """Guards against a reconnected daemon without the crash cases."""

    async def scenario(group):
        hosts = list(group.instances)
        group.unreachable_hosts.add(hosts[5])
        for number in (0, 1, 2):
            group.crash(number, is_alone=number == 2)
        await asyncio.sleep(10)
        cases = group.daemons[hosts[5]].cases
        assert cases.verdict(CRASHING_REQUEST) is Verdict.CLEAR
        group.unreachable_hosts.clear()
        await asyncio.sleep(CONTACT_SECONDS)
        assert cases.verdict(CRASHING_REQUEST) is Verdict.CONVICTED

    run_scenario(scenario, 13)


def test_restarted_daemon_asks_for_crashes_at_once():
    """Guards against a restarted daemon that lacks crash cases for long."""

    async def scenario(group):
        for number in (0, 1, 2):
            group.crash(number, is_alone=number == 2)
        await asyncio.sleep(2)
        started = group.start(next(iter(group.instances)))
        await asyncio.sleep(0.5)
        assert started.cases.verdict(CRASHING_REQUEST) is Verdict.CONVICTED

    run_scenario(scenario, 13)


def test_daemons_that_know_of_no_crash_are_silent():
    """Guards against messages while there are no crash cases."""

    async def scenario(_ring):
        await asyncio.sleep(60)

    assert run_scenario(scenario, 13).messages == 0


def test_exchange_continues_after_an_unexpected_error():
    """Guards against an internal error that ends a daemon or its exchange."""

    async def scenario(group):
        first = next(iter(group.daemons.values()))
        original = first.cases.cases_to_send
        errors = [KeyError('once'), KeyError('twice')]

        def fail(*names):
            if errors:
                raise errors.pop()
            return original(*names)

        first.cases.cases_to_send = fail
        for number in (0, 1, 2):
            group.crash(number, is_alone=number == 2)
            await asyncio.sleep(1)
        await asyncio.sleep(CONTACT_SECONDS)
        assert not errors
        assert group.verdicts() == {Verdict.CONVICTED}
        assert group.recorder.counters.get('crash_news_failed') == 2

    run_scenario(scenario, 3)


def test_flood_of_suspects_does_not_keep_a_conviction_from_others():
    """Guards against a full message that leaves out a conviction."""

    async def scenario(group):
        first = next(iter(group.daemons.values()))
        crash = Crash('i-1', 1.0)
        names = [b'%d' % number for number in range(MAX_CASES)]
        first.cases.record_crash(names, crash)
        group.crash(0, is_alone=True)
        first.pending.clear()
        await asyncio.sleep(2 * CONTACT_SECONDS)
        assert group.verdicts() == {Verdict.CONVICTED}

    run_scenario(scenario, 2)


def test_malformed_messages_are_rejected():
    """Guards against malformed messages that crash or change a daemon."""

    async def scenario(group):
        daemon = next(iter(group.daemons.values()))
        row = ['6b', [['i', 1.0, False]], [], 5.0]
        for text in (
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
            assert isinstance(daemon.answer(text), Refusal), text[:60]
        assert daemon.cases.is_empty

    run_scenario(scenario, 2)
