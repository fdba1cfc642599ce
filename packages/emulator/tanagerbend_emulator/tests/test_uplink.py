"""Turns of large answers on the link of a host, in virtual time."""

import asyncio

import pytest

from tanagerbend_emulator.virtual import LoopTimer, run_virtual
from tanagerbend_proxy.exchange import CONNECT_SECONDS
from tanagerbend_proxy.uplink import TURN_BYTES, Transfer, Uplink, parts_of

LINK = 481_250
LARGE = bytes(90000)


async def send(uplink, rank, ended, name):
    transfer = Transfer(uplink, rank, len(LARGE))
    for part in parts_of(LARGE):
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
