"""Metrics and log lines that explain late changes."""

import asyncio
import random

import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.changes import Batch, Item
from tanagerbend_proxy.following import Follower
from tanagerbend_proxy.following_limits import HEDGE_DELAY_SECONDS
from tanagerbend_proxy.knowledge import DeploymentState
from tanagerbend_proxy.link_use import ANSWERS, LinkUse
from tanagerbend_proxy.positions import StorePosition
from tanagerbend_proxy.staleness import Staleness
from tanagerbend_routing import ListedInstance
from tanagerbend_timer import ManualTimer

STALENESS_BOUND_SECONDS = 2.0
INSTANCE = ListedInstance('i-1', '10.0.0.1:80', 'shop', 'north', 2)


class RecordingLog(list):
    def write(self, event, **fields):
        self.append((event, fields))

    @property
    def events(self):
        return [event for event, _fields in self]


class FailingService:
    """Service that answers the listing and fails all later calls."""

    async def listing(self, *_call):
        return Batch((), StorePosition(0, 1))

    async def changes(self, *_call):
        reason = '10.0.0.1:1: TimeoutError, no connection, 0.40 s'
        return Refusal(ResultCode.INSTANCE_UNREACHABLE, reason)


@pytest.fixture
def recorder():
    return Recorder(ManualTimer())


@pytest.fixture
def lines():
    return RecordingLog()


@pytest.fixture
def follower(recorder, lines):
    knowledge = DeploymentState(recorder, lines)
    return Follower(
        FailingService(),
        knowledge,
        None,
        recorder,
        random.Random(1),
        Staleness(knowledge, LinkUse(recorder), STALENESS_BOUND_SECONDS),
    )


async def test_rate_excludes_bytes_older_than_a_second(recorder):
    """Guards against a rate that doesn't show the present load of the link."""
    link = LinkUse(recorder)
    link.sent(ANSWERS, 2048)
    await recorder.timer.advance(0.5)
    link.sent(ANSWERS, 1024)
    assert link.rates()['sent_kb_s'] == 3.0
    await recorder.timer.advance(0.6)
    assert link.rates()['sent_kb_s'] == 1.0
    await recorder.timer.advance(1.0)
    assert link.rates()['sent_kb_s'] == 0.0
    assert recorder.counters.get('bytes_sent', ANSWERS) == 3072


async def test_late_changes_are_logged_once(follower, lines):
    """Guards against late changes that aren't logged, or logged repeatedly."""
    await follower._read_listing()
    await follower.staleness.check()
    assert 'changes_late' not in lines.events
    await follower.timer.advance(STALENESS_BOUND_SECONDS / 2 + 0.1)
    await follower.staleness.check()
    await follower.staleness.check()
    assert lines.events.count('changes_late') == 1
    follower.staleness.record_contact(0.0)
    event, fields = lines[-1]
    assert event == 'changes_resumed'
    assert fields['age'] == pytest.approx(STALENESS_BOUND_SECONDS / 2 + 0.1)


async def test_each_failed_call_of_the_service_is_logged(follower, lines):
    """Guards against failed attempts that aren't logged."""
    await follower._read_listing()
    follower.peers = NoPeers()
    for _ in range(2):
        follower._record_service_failure(await follower.read_once())
    failed = [fields for event, fields in lines if event == 'service_failed']
    assert len(failed) == 2
    assert failed[0]['reason'].endswith('no connection, 0.40 s')
    assert {'age', 'version', 'unsent_kb', 'sent_kb_s'} <= failed[0].keys()


async def test_change_is_logged_with_its_source_and_delay(follower, lines):
    """Guards against late changes whose source and delay nobody can tell."""
    await follower._read_listing()
    await follower.timer.advance(0.7)
    batch = Batch((Item('i-1', INSTANCE),), StorePosition(0, 2), seconds=0.5)
    with follower.staleness.arriving('i-9', batch, batch.seconds):
        follower.applier.apply(batch)
    event, fields = lines[-1]
    assert event == 'instance_listed'
    assert fields['source'] == 'i-9'
    assert fields['missing_for'] == pytest.approx(0.7)
    assert fields['transfer'] == pytest.approx(0.5)
    follower.knowledge.registry.remove('i-1')
    assert 'source' not in lines[-1][1]


async def test_unexpected_error_beside_a_large_answer_is_logged(
    follower, lines
):
    """Guards against an error that ends the reading of entries unseen."""
    await follower._read_listing()
    follower.service.instance_changes = raise_key_error
    watch = follower.entries_watch
    for _ in range(2):
        watch.begin()
        await asyncio.sleep(0)
        await follower.timer.advance(HEDGE_DELAY_SECONDS)
        await asyncio.gather(*watch.attempts.running)
        watch.end()
    assert lines.events.count('following_failed') == 2
    assert 'KeyError' in lines[-1][1]['reason']


async def raise_key_error(*_call):
    raise KeyError('unexpected')


class NoPeers:
    uses_relay = False
