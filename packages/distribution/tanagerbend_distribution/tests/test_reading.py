"""Reads of a service with stale, misdirected or early answers."""

import asyncio
import random

import attrs
import pytest

from tanagerbend_distribution import (
    CallBudget,
    PlatformReader,
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
from tanagerbend_membership import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_timer import ManualTimer

SHEET = b'service,work,rank\npattern,swatches,3\n'
OWN = Member(
    'host-7',
    'pattern',
    'kingston',
    'tas-south',
    1,
    1,
    MemberState.LIVE,
    '10.0.0.1:1',
    '10.0.0.1:2',
)


class ImmediateService:
    """Answers watches at once, alternating between stale revisions."""

    def __init__(self):
        self.calls, self.reads, self.key, self.revisions = 0, 0, 'sheet', [7, 5]

    async def read(self, key=''):
        self.reads += 1
        host = Host('host-1', 's', 'd', 'r', '10.0.0.2:1', '10.0.0.2:2')
        return HostListing(1, (host,))

    async def watch(self, key, after, wait):
        self.calls += 1
        if not self.revisions:
            return Unchanged(key)
        revision = self.revisions[self.calls % len(self.revisions)]
        return Published(self.key, revision, SHEET)


@pytest.fixture
def service():
    return ImmediateService()


@pytest.fixture
def reader(service):
    timer = ManualTimer()
    recorder, chance = Recorder(timer), random.Random(8)
    return PlatformReader(
        service,
        service,
        'sheet',
        ReadTimes(30.0, 60.0),
        CallBudget(timer, chance, 2000, 3),
        VersionStore(recorder),
        Roster(OWN, recorder),
        chance,
        recorder,
    )


async def run_for(reader, work, seconds):
    task = asyncio.create_task(work)
    await reader.timer.advance(seconds)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize('revisions', [[7, 5], [7], []])
async def test_watches_that_end_at_once_back_off(reader, service, revisions):
    """Guards against a reader that calls at the full rate of the budget.

    The service alternates between two revisions, repeats one, or reports
    no change; it never waits.
    """
    service.revisions = revisions
    await run_for(reader, reader.watch_sheet(), 120)
    assert 3 < service.calls < 60
    if revisions:
        assert reader.store.current.version.revision == 7


async def test_answer_for_another_key_is_not_taken(reader, service):
    """Guards against adopting the value of another key as the sheet."""
    service.key = 'hosts'
    await run_for(reader, reader.watch_sheet(), 60)
    assert reader.store.current is None
    assert reader.recorder.counters.get('service_answers_crossed') > 0


async def test_non_reader_polls_the_host_list(reader, service):
    """Guards against non-readers that never read the host list again."""
    reader.roster.merge(
        attrs.evolve(OWN, host=f'host-{number}') for number in range(7)
    )
    assert not reader.is_reader
    await run_for(reader, reader.watch_host_list(), 300)
    assert 5 <= service.reads <= 11
    assert service.calls == 0
