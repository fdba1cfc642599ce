"""Scheduling of large answers on the link of a host, in virtual time."""

import asyncio
import random

import pytest
from multidict import CIMultiDict

from tanagerbend_admission import ObjectiveQueue
from tanagerbend_emulator.fleet import HEADER_NAMES, NullLog
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

# Bytes per second.
LINK_RATE = 481_250
WORK_SECONDS = 0.12
DEADLINE_SECONDS = 2.0
# Answers at twice the rate of the link.
ARRIVAL_INTERVAL_SECONDS = 0.09
LARGE_BODY = bytes(90000)


async def send(uplink, rank, completed, name):
    transfer = Transfer(uplink, rank, len(LARGE_BODY))
    for part in split_body(LARGE_BODY):
        await transfer.turn(len(part))
    completed.append((name, uplink.timer.now()))


async def send_all(ranks):
    """Send large answers together; return names and times of completion."""
    uplink = Uplink(LoopTimer(), LINK_RATE)
    completed = []
    sends = (
        send(uplink, rank, completed, f'{number} of rank {rank}')
        for number, rank in enumerate(ranks)
    )
    await asyncio.gather(*sends)
    await uplink.close()
    return completed


@pytest.mark.parametrize('count', [2, 12, 60])
def test_queue_on_the_link_is_shorter_than_the_connect_timeout(count):
    """Guards against packets of connections delayed by large answers."""
    completed = run_virtual(send_all([2] * count))
    for number, (_name, at) in enumerate(completed, 1):
        assert number * len(LARGE_BODY) / LINK_RATE - at < CONNECT_SECONDS / 2


def test_urgent_answers_are_sent_first():
    """Guards against large answers that are sent in order of arrival."""
    completed = run_virtual(send_all([2, 2, 0, 1]))
    assert [name[-1] for name, _at in completed] == ['0', '1', '2', '2']


def test_small_messages_are_charged():
    """Guards against a link overloaded by uncounted small messages."""

    async def mixed():
        uplink = Uplink(LoopTimer(), LINK_RATE)
        completed = []
        uplink.spend(LINK_RATE)
        await send(uplink, 0, completed, '')
        await uplink.close()
        return completed[0][1]

    assert run_virtual(mixed()) > 1.0


def test_stalled_reader_does_not_delay_others():
    """Guards against requests refused due to an answer that is not read."""

    async def stall():
        uplink = Uplink(LoopTimer(), LINK_RATE)
        transfer = Transfer(uplink, 0, len(LARGE_BODY))
        await transfer.turn(TURN_BYTES)
        await asyncio.sleep(1)
        return uplink.seconds_for(TURN_BYTES + 1)

    assert run_virtual(stall()) < 0.1


def test_cancelled_answers_take_no_turns():
    """Guards against turns granted to answers without a caller."""

    async def leave():
        uplink = Uplink(LoopTimer(), LINK_RATE)
        completed = []
        cancelled = [
            asyncio.create_task(send(uplink, 0, completed, 'left'))
            for _ in range(10)
        ]
        await asyncio.sleep(0.01)
        for task in cancelled:
            task.cancel()
        await send(uplink, 1, completed, 'stayed')
        await uplink.close()
        return completed

    ((name, at),) = run_virtual(leave())
    assert name == 'stayed'
    assert at < 0.5


def test_free_fast_link_needs_no_turns():
    """Guards against turns on fast links, which only cost processor time."""

    async def decide():
        fast = Uplink(LoopTimer(), 100 * LINK_RATE)
        thin = Uplink(LoopTimer(), LINK_RATE)
        unknown = Uplink(LoopTimer())
        await asyncio.sleep(1)
        size = len(LARGE_BODY)
        return [each.send_now(size) for each in (fast, thin, unknown)]

    assert run_virtual(decide()) == [True, False, True]


class LargeAnswerOwner(Owner):
    """Owner of an instance whose answers are all large."""

    async def _send(self, _request, _placed, _time_left):
        await asyncio.sleep(WORK_SECONDS)
        return Answer(200, CIMultiDict(), LARGE_BODY)


async def place_and_send(owner, number):
    """Run a request and send its answer; return the result and seconds."""
    await asyncio.sleep(number * ARRIVAL_INTERVAL_SECONDS)
    started_at = owner.uplink.timer.now()
    request = Request('id', 'GET', '', '/', CIMultiDict(), b'', 2.0, 0.0)
    seconds_left = (DEADLINE_SECONDS, DEADLINE_SECONDS)
    placed = Placed('i-1', 'plate', 2, Repeat.FREELY, *seconds_left)
    outcome = await owner.run(request, placed)
    if not isinstance(outcome.result, Refusal):
        await send(owner.uplink, 2, [], 'answer')
    return outcome.result, owner.uplink.timer.now() - started_at


def test_answers_that_can_not_be_sent_in_time_are_refused_at_once():
    """Guards against callers that wait for an answer due too late."""

    async def flood():
        recorder = Recorder(LoopTimer())
        owner = LargeAnswerOwner(
            '',
            None,
            ObjectiveQueue(recorder.timer, 3),
            HEADER_NAMES,
            recorder,
            InstanceRegistry(recorder),
            Uplink(recorder.timer, LINK_RATE),
            RetryBudgetSettings(ratio=0.2, window=10.0, extra=20.0),
            make_suspicions(recorder, HEADER_NAMES, NullLog()),
        )
        results = await asyncio.gather(
            *(place_and_send(owner, each) for each in range(200))
        )
        await owner.uplink.close()
        return results

    results = run_virtual(flood())
    refused = [
        seconds for result, seconds in results if isinstance(result, Refusal)
    ]
    sent = [
        seconds
        for result, seconds in results
        if not isinstance(result, Refusal)
    ]
    assert max(sent) < DEADLINE_SECONDS
    assert max(refused) < WORK_SECONDS
    assert len(sent) > 0.8 * 200 * ARRIVAL_INTERVAL_SECONDS * LINK_RATE / len(
        LARGE_BODY
    )


async def large_bytes_sent(uplink, seconds, small_rate=0):
    """Return the bytes of large answers that are sent in ``seconds``.

    Small messages of ``small_rate`` bytes per second are sent beside them.
    """
    completed = []
    sends = [
        asyncio.create_task(send(uplink, 2, completed, ''))
        for _ in range(int(2 * seconds * LINK_RATE / len(LARGE_BODY)))
    ]
    for _ in range(int(10 * seconds)):
        uplink.spend(small_rate // 10)
        await asyncio.sleep(0.1)
    for task in sends:
        task.cancel()
    await asyncio.gather(*sends, return_exceptions=True)
    await uplink.close()
    return len(completed) * len(LARGE_BODY)


@pytest.mark.parametrize('max_delay', [0.0, 0.05, 0.07])
def test_daemon_with_late_timers_uses_its_link(max_delay):
    """Guards against an idle link while answers wait for a late timer."""

    async def wake_late():
        uplink = Uplink(LateTimer(random.Random(3), max_delay), LINK_RATE)
        return await large_bytes_sent(uplink, 10)

    assert run_virtual(wake_late()) >= 0.95 * 10 * BODY_SHARE * LINK_RATE


@pytest.mark.parametrize('max_delay', [0.0, 0.05, 0.2])
def test_small_messages_wait_a_tenth_of_a_second_at_most(max_delay):
    """Guards against small messages behind turns that make up for delays."""

    async def write():
        link = HostLink(
            Uplink(LateTimer(random.Random(3), max_delay), LINK_RATE),
            LINK_RATE,
        )
        sends = [
            asyncio.create_task(link.send(LARGE_BODY, SendingLimits(2)))
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


def test_pace_is_the_rate_of_large_answers():
    """Guards against estimates by a rate that includes small messages."""

    async def measure():
        uplink = Uplink(LoopTimer(), LINK_RATE)
        # A tenth of the link for small messages beside large answers.
        await large_bytes_sent(uplink, 5, LINK_RATE // 10)
        return uplink.bytes_per_second

    expected = (BODY_SHARE - 0.1) * LINK_RATE
    assert run_virtual(measure()) == pytest.approx(expected, rel=0.1)


def test_answer_beyond_its_deadline_is_sent_last():
    """Guards against link time for answers beyond their deadline."""

    async def send_three():
        uplink = Uplink(LoopTimer(), LINK_RATE)
        completed = []

        async def send_with_limits(name, rank, limits):
            transfer = Transfer(uplink, rank, len(LARGE_BODY), limits)
            for part in split_body(LARGE_BODY):
                await transfer.turn(len(part))
            completed.append(name)

        await asyncio.gather(
            send_with_limits('lost', 0, SendingLimits(0, 0.05, 0.1)),
            send_with_limits('late', 0, SendingLimits(0, 0.05, 9.0)),
            send_with_limits('on time', 1, SendingLimits(1, 9.0, 9.0)),
        )
        await uplink.close()
        return completed

    assert run_virtual(send_three()) == ['on time', 'late', 'lost']


def test_answer_beyond_its_deadline_delays_no_new_one():
    """Guards against refusals due to answers that are sent last anyway."""

    async def estimate():
        uplink = Uplink(LoopTimer(), LINK_RATE)
        limits = SendingLimits(2, 0.05, 0.1)
        lost = Transfer(uplink, 2, 50 * len(LARGE_BODY), limits)
        waiting = asyncio.create_task(lost.turn(TURN_BYTES))
        uplink.spend(LINK_RATE // 10)
        await asyncio.sleep(0)
        ahead = uplink.bytes_ahead(2)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        await uplink.close()
        return ahead

    assert run_virtual(estimate()) < LINK_RATE / 5


def test_half_used_link_keeps_its_pace():
    """Guards against a low pace due to gaps between answers."""

    async def send_seldom():
        uplink = Uplink(LateTimer(random.Random(3), 0.05), 4 * LINK_RATE)
        for _ in range(100):
            await send(uplink, 2, [], '')
            await asyncio.sleep(len(LARGE_BODY) / (4 * LINK_RATE))
        await uplink.close()
        return uplink.bytes_per_second / uplink.rate

    assert run_virtual(send_seldom()) > 0.9


def test_pace_of_an_idle_link_returns_to_its_rate():
    """Guards against estimates from a flood that is over."""

    async def measure():
        uplink = Uplink(LoopTimer(), LINK_RATE)
        sends = [
            asyncio.create_task(send(uplink, 2, [], '')) for _ in range(20)
        ]
        for _ in range(50):
            uplink.spend(LINK_RATE // 10)
            await asyncio.sleep(0.1)
        low = uplink.bytes_per_second
        await asyncio.gather(*sends)
        await asyncio.sleep(60)
        uplink.spend(0)
        await uplink.close()
        return low, uplink.bytes_per_second

    low, after = run_virtual(measure())
    assert low < 0.5 * BODY_SHARE * LINK_RATE
    assert after == pytest.approx(BODY_SHARE * LINK_RATE)
