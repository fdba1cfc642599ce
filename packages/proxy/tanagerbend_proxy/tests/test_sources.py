"""Choice of the daemon that is asked for changes."""

import asyncio

import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_proxy.changes import Batch, Item, Removed
from tanagerbend_proxy.relaying import KEPT_BATCHES, ChangeLog
from tanagerbend_proxy.sources import (
    CHECK_SECONDS,
    FAILING_SECONDS,
    FASTER,
    READER_SECONDS,
    RELAY_FROM,
    Sources,
)
from tanagerbend_routing import ListedInstance
from tanagerbend_timer import ManualTimer

NEAR = [
    ListedInstance(
        f'i-{number}',
        f'10.0.0.{number}:80',
        'shop',
        'north',
        3,
        born=100 - number,
    )
    for number in range(RELAY_FROM)
]
OLDEST = NEAR[-1]


@pytest.fixture
def sources():
    """Peers of the newest instance."""
    return Sources(NEAR[0].address, Recorder(ManualTimer()))


def chosen(sources, near=NEAR):
    """Return the identity that is asked once it is known who reads."""
    source = sources.choose(near)
    if source is not None and source.is_check:
        source = sources.choose(near)
    return source and source.instance.identity


def test_few_hosts_read_by_themselves(sources):
    """Guards against depending on a peer where reading costs little."""
    assert sources.choose(NEAR[1:]) is None


def test_all_ask_the_oldest(sources):
    """Guards against several readers in one failure domain."""
    assert chosen(sources) == OLDEST.identity
    sources.own_address = NEAR[2].address
    assert chosen(sources, NEAR[::-1]) == OLDEST.identity


def test_the_oldest_reads(sources):
    """Guards against a failure domain in which nobody reads."""
    sources.own_address = OLDEST.address
    assert sources.choose(NEAR) is None


def test_failing_peer_is_left_for_a_while(sources):
    """Guards against changes that are missed behind a dead reader."""
    sources.failed(OLDEST.identity)
    assert chosen(sources) == NEAR[-2].identity
    sources.failed(NEAR[-2].identity)
    assert sources.choose(NEAR) is None
    asyncio.run(sources.timer.advance(FAILING_SECONDS))
    assert chosen(sources) == OLDEST.identity


def test_oldest_names_the_fastest(sources):
    """Guards against a reader on the thinnest link."""
    sources.own_address = OLDEST.address
    sources.asked(OLDEST.identity, 100.0)
    sources.asked('i-2', 100.0 * FASTER + 1)
    sources.asked('i-3', 100.0 * FASTER + 2)
    assert chosen(sources) == 'i-2'
    sources.failed('i-2')
    assert sources.choose(NEAR) is None


def test_named_reader_is_asked(sources):
    """Guards against peers that follow each other in turn.

    Seen on a grown deployment: each answer named another reader, and the
    peers changed their source twice a second.
    """
    sources.named = 'i-2'
    assert chosen(sources) == 'i-2'
    assert chosen(sources) == 'i-2'
    sources.own_address = NEAR[2].address
    assert chosen(sources) is None


def test_named_reader_that_left_is_not_asked(sources):
    """Guards against peers that wait for a reader that is gone."""
    sources.named = 'i-that-left'
    assert chosen(sources) == OLDEST.identity
    sources.named = 'i-2'
    sources.failed('i-2')
    assert chosen(sources) == OLDEST.identity


def test_it_is_checked_now_and_then_who_reads(sources):
    """Guards against a reader that is never replaced by a faster one."""
    assert sources.choose(NEAR).is_check
    assert not sources.choose(NEAR).is_check
    asyncio.run(sources.timer.advance(CHECK_SECONDS))
    assert sources.choose(NEAR).is_check


def item(identity, fact=None):
    return Item(identity, fact or Removed())


def test_peer_gets_the_newest_of_each_item():
    """Guards against changes that are told twice or in the wrong order."""
    log = ChangeLog()
    log.add(100, Batch((item('i-1', NEAR[1]), item('i-2')), 102))
    log.add(102, Batch((item('i-1'),), 103))
    assert set(log.since(100)) == {item('i-1'), item('i-2')}
    assert log.since(102) == (item('i-1'),)
    assert log.since(103) == ()
    assert log.since(99) is None


def test_log_of_changes_is_bounded():
    """Guards against memory that grows with the number of changes."""
    log = ChangeLog()
    for revision in range(KEPT_BATCHES + 5):
        log.add(revision, Batch((item('i-1'),), revision + 1))
    assert len(log.batches) == KEPT_BATCHES
    assert log.since(4) is None
    assert log.since(5) == (item('i-1'),)


async def test_named_reader_reads_although_others_seem_to(sources):
    """Guards against daemons that ask each other in a circle."""
    assert chosen(sources) == OLDEST.identity
    sources.asked_as_reader()
    assert chosen(sources) is None
    await sources.timer.advance(READER_SECONDS + 0.1)
    assert chosen(sources) == OLDEST.identity
