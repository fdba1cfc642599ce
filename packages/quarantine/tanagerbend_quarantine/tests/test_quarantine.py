"""Suspects, convictions and the gate that lets a suspect run alone."""

import asyncio

import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_quarantine import (
    Notice,
    Quarantine,
    SoloGate,
    Verdict,
    fingerprint,
)
from tanagerbend_timer import ManualTimer


@pytest.fixture
def timer():
    return ManualTimer()


@pytest.fixture
def quarantine(timer):
    return Quarantine(Recorder(timer), limit=3)


def test_neighbours_of_a_crash_are_not_convicted(quarantine):
    """Guards against the refusal of requests that crashed nothing."""
    quarantine.crashed([b'a', b'b'])
    quarantine.crashed([b'a', b'b'])
    assert quarantine.check(b'a') is Verdict.SUSPECT
    assert quarantine.succeeded(b'a') == Notice(cleared=(b'a',))
    assert quarantine.check(b'a') is Verdict.CLEAR


def test_clearing_does_not_withdraw_a_conviction(quarantine):
    """Guards against a late notice about an earlier run."""
    quarantine.crashed([b'a'])
    quarantine.crashed([b'a'], is_alone=True)
    quarantine.merge(Notice(cleared=(b'a',)))
    quarantine.merge(Notice(suspected=(b'a',)))
    assert quarantine.check(b'a') is Verdict.CONVICTED


async def test_conviction_ends(timer, quarantine):
    """Guards against requests that are refused for ever."""
    quarantine.crashed([b'a'], is_alone=True)
    await timer.advance(599.0)
    assert quarantine.check(b'a') is Verdict.CONVICTED
    await timer.advance(1.0)
    assert quarantine.check(b'a') is Verdict.CLEAR
    assert quarantine.is_empty


def test_memory_is_bounded(quarantine):
    """Guards against notices that fill the memory."""
    for number in range(10):
        quarantine.merge(Notice(suspected=(b'%d' % number,)))
    assert list(quarantine.suspects) == [b'7', b'8', b'9']


def test_parts_of_a_request_do_not_run_into_each_other():
    """Guards against one fingerprint for two requests."""
    prints = {
        fingerprint('s', 'GET', '/a', b'b'),
        fingerprint('s', 'GET', '/ab', b''),
        fingerprint('s', 'GET', '/ab', iter(())),
        fingerprint('sG', 'ET', '/ab', b''),
    }
    assert len(prints) == 4


async def test_suspects_run_alone_in_order_of_arrival():
    """Guards against two suspects, or a neighbour, at the same time."""
    gate = SoloGate()
    inside, log = [], []

    async def run(name, is_solo):
        await gate.enter(is_solo=is_solo)
        inside.append(name)
        log.append(''.join(sorted(inside)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        inside.remove(name)
        gate.leave()

    await asyncio.gather(
        *(run(name, name.isupper()) for name in 'abCDef'),
    )
    assert log == ['a', 'ab', 'C', 'D', 'e', 'ef']


async def test_cancelled_suspect_holds_nobody_up():
    """Guards against a gate that stays closed."""
    gate = SoloGate()
    await gate.enter(is_solo=False)
    solo = asyncio.create_task(gate.enter(is_solo=True))
    behind = asyncio.create_task(gate.enter(is_solo=False))
    await asyncio.sleep(0)
    solo.cancel()
    await behind
    assert gate.inside == 2
