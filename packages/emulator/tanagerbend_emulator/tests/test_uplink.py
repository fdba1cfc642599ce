"""Turns of large answers on the link of a host, in virtual time."""

import asyncio
import random

import pytest
from multidict import CIMultiDict

from tanagerbend_admission import ObjectiveQueue
from tanagerbend_emulator.fleet import NAMES, SilentLog
from tanagerbend_emulator.links import HostLink
from tanagerbend_emulator.virtual import LateTimer, LoopTimer, run_virtual
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal
from tanagerbend_proxy.exchange import CONNECT_SECONDS
from tanagerbend_proxy.messages import Answer, Placed, Request
from tanagerbend_proxy.crash_exchange import make_suspicions
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.uplink import (
    BODY_SHARE,
    TURN_BYTES,
    SendingLimits,
    Transfer,
    Uplink,
    split_body,
)
from tanagerbend_routing import RetryBudgetSettings, InstanceRegistry, Repeat

LINK = 481_250
WORK_SECONDS = 0.12
DEADLINE_SECONDS = 2.0
# Twice of what the link carries.
ARRIVAL_SECONDS = 0.09
LARGE = bytes(90000)


async def send(uplink, rank, ended, name):
    transfer = Transfer(uplink, rank, len(LARGE))
    for part in split_body(LARGE):
        await transfer.turn(len(part))
    ended.append((name, uplink.timer.now()))


async def send_all(ranks):
    """Send large answers at once; return who ended when."""
    uplink = Uplink(LoopTimer(), LINK)
    ended = []
    sends = (
        send(uplink, rank, ended, f'{number} of rank {rank}')
        for number, rank in enumerate(ranks)
    )
    await asyncio.gather(*sends)
    await uplink.close()
    return ended


@pytest.mark.parametrize('count', [2, 12, 60])
def test_link_never_holds_more_than_the_time_to_connect(count):
    """Guards against packets that wait behind large answers."""
    ended = run_virtual(send_all([2] * count))
    for number, (_name, at) in enumerate(ended, 1):
        assert number * len(LARGE) / LINK - at < CONNECT_SECONDS / 2


def test_urgent_answers_leave_first():
    """Guards against large answers in the order of their arrival."""
    ended = run_virtual(send_all([2, 2, 0, 1]))
    assert [name[-1] for name, _at in ended] == ['0', '1', '2', '2']


def test_small_messages_are_charged():
    """Guards against a link that small messages and answers overfill."""

    async def mixed():
        uplink = Uplink(LoopTimer(), LINK)
        ended = []
        uplink.spend(LINK)
        await send(uplink, 0, ended, '')
        await uplink.close()
        return ended[0][1]

    assert run_virtual(mixed()) > 1.0


def test_reader_that_stalls_holds_up_nobody():
    """Guards against requests refused for an answer that is not read."""

    async def stall():
        uplink = Uplink(LoopTimer(), LINK)
        transfer = Transfer(uplink, 0, len(LARGE))
        await transfer.turn(TURN_BYTES)
        await asyncio.sleep(1)
        return uplink.seconds_for(TURN_BYTES + 1)

    assert run_virtual(stall()) < 0.1


def test_caller_that_leaves_takes_no_turn():
    """Guards against bytes that are granted to nobody."""

    async def leave():
        uplink = Uplink(LoopTimer(), LINK)
        ended = []
        left = [
            asyncio.create_task(send(uplink, 0, ended, 'left'))
            for _ in range(10)
        ]
        await asyncio.sleep(0.01)
        for task in left:
            task.cancel()
        await send(uplink, 1, ended, 'stayed')
        await uplink.close()
        return ended

    ((name, at),) = run_virtual(leave())
    assert name == 'stayed'
    assert at < 0.5


def test_free_fast_link_needs_no_turns():
    """Guards against turns where they only cost processor time."""

    async def decide():
        fast = Uplink(LoopTimer(), 100 * LINK)
        thin = Uplink(LoopTimer(), LINK)
        unknown = Uplink(LoopTimer())
        await asyncio.sleep(1)
        size = len(LARGE)
        return [each.send_now(size) for each in (fast, thin, unknown)]

    assert run_virtual(decide()) == [True, False, True]


class LargeAnswers(Owner):
    """Owner of an instance whose answers are all large."""

    async def _send(self, _request, _placed, _time_left):
        await asyncio.sleep(WORK_SECONDS)
        return Answer(200, CIMultiDict(), LARGE)


async def ask(owner, number):
    """Place a request, send its answer; return the end and the seconds."""
    await asyncio.sleep(number * ARRIVAL_SECONDS)
    began = owner.uplink.timer.now()
    request = Request('id', 'GET', '', '/', CIMultiDict(), b'', 2.0, 0.0)
    times = (DEADLINE_SECONDS, DEADLINE_SECONDS)
    placed = Placed('i-1', 'plate', 2, Repeat.FREELY, *times)
    outcome = await owner.run(request, placed)
    if not isinstance(outcome.result, Refusal):
        await send(owner.uplink, 2, [], 'answer')
    return outcome.result, owner.uplink.timer.now() - began


def test_answers_that_could_not_leave_in_time_are_refused_at_once():
    """Guards against callers that wait for an answer that comes too late."""

    async def flood():
        recorder = Recorder(LoopTimer())
        owner = LargeAnswers(
            '',
            None,
            ObjectiveQueue(recorder.timer, 3),
            NAMES,
            recorder,
            InstanceRegistry(recorder),
            Uplink(recorder.timer, LINK),
            RetryBudgetSettings(ratio=0.2, window=10.0, extra=20.0),
            make_suspicions(recorder, NAMES, SilentLog()),
        )
        ends = await asyncio.gather(*(ask(owner, each) for each in range(200)))
        await owner.uplink.close()
        return ends

    ends = run_virtual(flood())
    refused = [seconds for end, seconds in ends if isinstance(end, Refusal)]
    sent = [seconds for end, seconds in ends if not isinstance(end, Refusal)]
    assert max(sent) < DEADLINE_SECONDS
    assert max(refused) < WORK_SECONDS
    assert len(sent) > 0.8 * 200 * ARRIVAL_SECONDS * LINK / len(LARGE)


async def sent_beside(uplink, seconds, small=0):
    """Return the bytes of large answers that leave in some time.

    ``small`` bytes a second of small messages go beside them.
    """
    ended = []
    sends = [
        asyncio.create_task(send(uplink, 2, ended, ''))
        for _ in range(int(2 * seconds * LINK / len(LARGE)))
    ]
    for _ in range(int(10 * seconds)):
        uplink.spend(small // 10)
        await asyncio.sleep(0.1)
    for task in sends:
        task.cancel()
    await asyncio.gather(*sends, return_exceptions=True)
    await uplink.close()
    return len(ended) * len(LARGE)


@pytest.mark.parametrize('late', [0.0, 0.05, 0.07])
def test_daemon_that_wakes_late_uses_its_link(late):
    """Guards against link time that is lost while answers wait."""

    async def wake_late():
        uplink = Uplink(LateTimer(random.Random(3), late), LINK)
        return await sent_beside(uplink, 10)

    assert run_virtual(wake_late()) >= 0.95 * 10 * BODY_SHARE * LINK


@pytest.mark.parametrize('late', [0.0, 0.05, 0.2])
def test_small_messages_wait_a_tenth_of_a_second_at_most(late):
    """Guards against urgent messages behind what was made up for."""

    async def write():
        link = HostLink(Uplink(LateTimer(random.Random(3), late), LINK), LINK)
        sends = [
            asyncio.create_task(link.send(LARGE, SendingLimits(2)))
            for _ in range(40)
        ]
        longest = 0.0
        for _ in range(400):
            await asyncio.sleep(0.01)
            longest = max(longest, link.write(0))
        for task in sends:
            task.cancel()
        await asyncio.gather(*sends, return_exceptions=True)
        await link.close()
        return longest

    assert run_virtual(write()) <= 0.1


def test_pace_is_what_large_answers_get():
    """Guards against promises by a rate that small messages share."""

    async def measure():
        uplink = Uplink(LoopTimer(), LINK)
        # A tenth of the link for small messages beside large answers.
        await sent_beside(uplink, 5, LINK // 10)
        return uplink.bytes_per_second

    expected = (BODY_SHARE - 0.1) * LINK
    assert run_virtual(measure()) == pytest.approx(expected, rel=0.1)


def test_answer_that_reaches_nobody_gives_way():
    """Guards against link time for callers whose time is over."""

    async def send_two():
        uplink = Uplink(LoopTimer(), LINK)
        ended = []

        async def send_due(name, rank, due):
            transfer = Transfer(uplink, rank, len(LARGE), due)
            for part in split_body(LARGE):
                await transfer.turn(len(part))
            ended.append(name)

        await asyncio.gather(
            send_due('lost', 0, SendingLimits(0, 0.05, 0.1)),
            send_due('late', 0, SendingLimits(0, 0.05, 9.0)),
            send_due('on time', 1, SendingLimits(1, 9.0, 9.0)),
        )
        await uplink.close()
        return ended

    assert run_virtual(send_two()) == ['on time', 'late', 'lost']


def test_lost_answer_holds_up_no_new_one():
    """Guards against refusals for answers that give way to all others."""

    async def estimate():
        uplink = Uplink(LoopTimer(), LINK)
        due = SendingLimits(2, 0.05, 0.1)
        lost = Transfer(uplink, 2, 50 * len(LARGE), due)
        waiting = asyncio.create_task(lost.turn(TURN_BYTES))
        uplink.spend(LINK // 10)
        await asyncio.sleep(0)
        ahead = uplink.bytes_ahead(2)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        await uplink.close()
        return ahead

    assert run_virtual(estimate()) < LINK / 5


def test_half_used_link_keeps_its_pace():
    """Guards against refusals since answers had gaps between their turns."""

    async def send_seldom():
        uplink = Uplink(LateTimer(random.Random(3), 0.05), 4 * LINK)
        for _ in range(100):
            await send(uplink, 2, [], '')
            await asyncio.sleep(len(LARGE) / (4 * LINK))
        await uplink.close()
        return uplink.bytes_per_second / uplink.rate

    assert run_virtual(send_seldom()) > 0.9


def test_pace_of_an_idle_link_returns_to_its_rate():
    """Guards against estimates by a flood that is long over."""

    async def measure():
        uplink = Uplink(LoopTimer(), LINK)
        sends = [
            asyncio.create_task(send(uplink, 2, [], '')) for _ in range(20)
        ]
        for _ in range(50):
            uplink.spend(LINK // 10)
            await asyncio.sleep(0.1)
        low = uplink.bytes_per_second
        await asyncio.gather(*sends)
        await asyncio.sleep(60)
        uplink.spend(0)
        await uplink.close()
        return low, uplink.bytes_per_second

    low, after = run_virtual(measure())
    assert low < 0.5 * BODY_SHARE * LINK
    assert after == pytest.approx(BODY_SHARE * LINK)
