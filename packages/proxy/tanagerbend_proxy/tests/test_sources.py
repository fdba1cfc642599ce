"""Choice of the source of changes, and the log of changes for peers."""

import asyncio

import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_proxy.changes import Batch, Item, Removed
from tanagerbend_proxy.relaying import MAX_BATCHES, ChangeLog
from tanagerbend_proxy.positions import StorePosition
from tanagerbend_proxy.sources import (
    READER_CHECK_SECONDS,
    FAILED_PEER_SECONDS,
    TAKEOVER_FACTOR,
    READER_ROLE_SECONDS,
    MIN_RELAY_HOSTS,
    Sources,
)
from tanagerbend_routing import ListedInstance
from tanagerbend_timer import ManualTimer

LOCAL = [
    ListedInstance(
        f'i-{number}',
        f'10.0.0.{number}:80',
        'shop',
        'north',
        3,
        born=100 - number,
    )
    for number in range(MIN_RELAY_HOSTS)
]
OLDEST = LOCAL[-1]


@pytest.fixture
def sources():
    """Return the sources of the daemon at the newest instance."""
    return Sources(LOCAL[0].address, Recorder(ManualTimer()))


def chosen(sources, local=LOCAL):
    """Return the identity of the polled peer after a check of the reader."""
    source = sources.choose(local)
    if source is not None and source.is_check:
        source = sources.choose(local)
    return source and source.instance.identity


def test_daemons_of_a_small_domain_read_the_service(sources):
    """Guards against relaying in a domain too small to need it."""
    assert sources.choose(LOCAL[1:]) is None


def test_all_poll_the_oldest(sources):
    """Guards against several readers in one failure domain."""
    assert chosen(sources) == OLDEST.identity
    sources.own_address = LOCAL[2].address
    assert chosen(sources, LOCAL[::-1]) == OLDEST.identity


def test_the_oldest_reads(sources):
    """Guards against a failure domain in which nobody reads."""
    sources.own_address = OLDEST.address
    assert sources.choose(LOCAL) is None


def test_failed_peer_is_avoided_for_a_while(sources):
    """Guards against missed changes when the polled peer has failed."""
    sources.record_failure(OLDEST.identity)
    assert chosen(sources) == LOCAL[-2].identity
    sources.record_failure(LOCAL[-2].identity)
    assert sources.choose(LOCAL) is None
    asyncio.run(sources.timer.advance(FAILED_PEER_SECONDS))
    assert chosen(sources) == OLDEST.identity


def test_oldest_names_the_fastest(sources):
    """Guards against a reader on a slower link than another peer's."""
    sources.own_address = OLDEST.address
    sources.record_speed(OLDEST.identity, 100.0)
    sources.record_speed('i-2', 100.0 * TAKEOVER_FACTOR + 1)
    sources.record_speed('i-3', 100.0 * TAKEOVER_FACTOR + 2)
    assert chosen(sources) == 'i-2'
    sources.record_failure('i-2')
    assert sources.choose(LOCAL) is None


def test_named_reader_is_polled(sources):
    """Guards against peers that keep changing their source.

    In a large deployment each answer named another reader, and the peers
    changed their source twice a second.
    """
    sources.named_reader = 'i-2'
    assert chosen(sources) == 'i-2'
    assert chosen(sources) == 'i-2'
    sources.own_address = LOCAL[2].address
    assert chosen(sources) is None


def test_named_reader_that_left_is_not_polled(sources):
    """Guards against polling a reader that is not listed or has failed."""
    sources.named_reader = 'i-that-left'
    assert chosen(sources) == OLDEST.identity
    sources.named_reader = 'i-2'
    sources.record_failure('i-2')
    assert chosen(sources) == OLDEST.identity


def test_reader_is_checked_at_intervals(sources):
    """Guards against a reader that is never replaced by a faster one."""
    assert sources.choose(LOCAL).is_check
    assert not sources.choose(LOCAL).is_check
    asyncio.run(sources.timer.advance(READER_CHECK_SECONDS))
    assert sources.choose(LOCAL).is_check


def at(revision):
    return StorePosition(0, revision)


def item(identity, fact=None):
    return Item(identity, fact or Removed())


def test_peer_gets_the_newest_of_each_item():
    """Guards against changes sent twice or in the wrong order."""
    log = ChangeLog()
    log.add(at(100), Batch((item('i-1', LOCAL[1]), item('i-2')), at(102)))
    log.add(at(102), Batch((item('i-1'),), at(103)))
    assert set(log.since(at(100))) == {item('i-1'), item('i-2')}
    assert log.since(at(102)) == (item('i-1'),)
    assert log.since(at(103)) == ()
    assert log.since(at(99)) is None


def test_log_of_changes_is_bounded():
    """Guards against memory that grows with the number of changes."""
    log = ChangeLog()
    for revision in range(MAX_BATCHES + 5):
        log.add(at(revision), Batch((item('i-1'),), at(revision + 1)))
    assert len(log.batches) == MAX_BATCHES
    assert log.since(at(4)) is None
    assert log.since(at(5)) == (item('i-1'),)


def test_reader_that_became_slow_is_replaced(sources):
    """Guards against a reader that is judged by the speed it once had."""
    sources.own_address = OLDEST.address
    sources.record_speed('i-2', 100.0)
    sources.record_speed('i-3', 90.0)
    assert chosen(sources) == 'i-2'
    sources.record_speed('i-2', 50.0)
    sources.record_speed('i-3', 90.0)
    assert chosen(sources) == 'i-3'


def test_daemon_without_a_listed_instance_is_not_named(sources):
    """Guards against a fastest daemon that no other one can poll."""
    sources.own_address = OLDEST.address
    sources.record_speed('', 200.0)
    sources.record_speed('i-2', 100.0)
    assert chosen(sources) == 'i-2'


async def test_daemon_polled_as_reader_reads_the_service(sources):
    """Guards against daemons that poll each other in a cycle."""
    assert chosen(sources) == OLDEST.identity
    sources.hold_reader_role()
    assert chosen(sources) is None
    await sources.timer.advance(READER_ROLE_SECONDS + 0.1)
    assert chosen(sources) == OLDEST.identity
