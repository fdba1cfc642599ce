"""Fetches from peers that fail or send wrong values."""

import random

import attrs
import pytest

from tanagerbend_distribution import Conflict, Fetcher, VersionStore
from tanagerbend_distribution.transfer import answer_fetch, compress
from tanagerbend_interfaces import Content
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode, digest_of
from tanagerbend_timer import ManualTimer

SHEET = b'service,work,rank\npattern,swatches,3\n'
CHANGED = SHEET + b'pattern,repeats,4\n'


class Peers:
    """Transport to peers with a fixed answer function each."""

    def __init__(self):
        self.answers, self.requested = {}, []

    async def request(self, peer, message, timeout):
        self.requested.append(peer)
        return self.answers[peer](message)


@pytest.fixture
def peers():
    return Peers()


@pytest.fixture
def make_store():
    def make(revision=0, content=SHEET):
        store = VersionStore(Recorder(ManualTimer()))
        if revision:
            store.offer(revision, content)
        return store

    return make


@pytest.fixture
def fetcher(make_store, peers):
    store = make_store(1)
    return Fetcher(store, peers, store.recorder)


def answer_unreachable(_message):
    """Answer as an unreachable peer does."""
    return Refusal(ResultCode.PEER_UNREACHABLE, 'dead')


async def test_next_source_is_tried_when_one_fails(fetcher, peers, make_store):
    """Guards against a fetch that fails because one source died."""
    peer_store = make_store(2, CHANGED)
    peers.answers = {
        'a:1': answer_unreachable,
        'b:1': lambda message: answer_fetch(peer_store, message),
    }
    version = peer_store.current.version
    assert fetcher.offer('a:1', version)
    assert fetcher.offer('b:1', version)
    await fetcher.task
    assert fetcher.store.current.version == version


async def test_invalid_value_is_fetched_once(fetcher, peers, make_store):
    """Guards against an invalid value that each announcement refetches."""
    version = attrs.evolve(make_store(2, CHANGED).current.version, revision=9)
    wrong_digest = attrs.evolve(version, digest=b'\0' * 32)
    invalid_sheet = b'not,a sheet\n'
    rejected = attrs.evolve(version, digest=digest_of(invalid_sheet))
    peers.answers['a:1'] = lambda message: Content(
        rejected, b'', compress(invalid_sheet, b'')
    )
    await fetcher.fetch_and_wait('a:1', rejected)
    await fetcher.fetch_and_wait('a:1', rejected)
    assert peers.requested == ['a:1']
    peers.answers['a:1'] = lambda message: Content(
        wrong_digest, b'', compress(invalid_sheet, b'')
    )
    await fetcher.fetch_and_wait('a:1', wrong_digest)
    assert fetcher.store.current.version.revision == 1
    counters = fetcher.recorder.counters
    assert counters.get('fetches_refused', 'CONTENT_HASH_MISMATCH') == 1


async def test_random_payloads_change_nothing(fetcher, peers):
    """Guards against compressed payloads that crash or fill the memory."""
    chance = random.Random(6)
    version = attrs.evolve(fetcher.store.current.version, revision=5)
    frame = bytearray(compress(CHANGED, SHEET))
    for _ in range(500):
        payload = bytearray(frame)
        for _ in range(chance.randrange(1, 6)):
            payload[chance.randrange(len(payload))] = chance.randrange(256)
        base = chance.choice((b'', fetcher.store.current.version.digest))
        answer = Content(version, base, bytes(payload))
        peers.answers['a:1'] = lambda message, answer=answer: answer
        assert not await fetcher.fetch('a:1', version, 1.0)
    assert fetcher.store.current.content == SHEET


def test_same_position_with_other_content_is_a_conflict(make_store):
    """Guards against adopting other content under the same revision."""
    store = make_store(3)
    assert isinstance(store.offer(3, CHANGED), Conflict)
    assert isinstance(store.offer(3, CHANGED), Conflict)
    assert store.current.content == SHEET
    assert store.recorder.counters.get('events', 'version_conflict') == 1
