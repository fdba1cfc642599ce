"""Suspects, convictions and the gate that lets a suspect run alone."""

import asyncio
import random

import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_quarantine import (
    Cases,
    Company,
    Crash,
    Notice,
    Quarantine,
    SoloGate,
    Verdict,
    fingerprint,
)
from tanagerbend_quarantine.case import CRASHES_IN_COMPANY
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

    async def run(name, company):
        await gate.enter(company)
        inside.append(name)
        log.append(''.join(sorted(inside)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        inside.remove(name)
        gate.leave(company)

    companies = {
        name: Company.NOBODY if name.isupper() else Company.ANY
        for name in 'abCDef'
    }
    await asyncio.gather(*(run(*each) for each in companies.items()))
    assert log == ['a', 'ab', 'C', 'D', 'e', 'ef']


async def test_cancelled_suspect_holds_nobody_up():
    """Guards against a gate that stays closed."""
    gate = SoloGate()
    await gate.enter(Company.ANY)
    solo = asyncio.create_task(gate.enter(Company.NOBODY))
    behind = asyncio.create_task(gate.enter(Company.ANY))
    await asyncio.sleep(0)
    solo.cancel()
    await behind
    assert gate.inside == 2


def crash(number, **changes):
    """Return a crash of an instance of its own."""
    return Crash(f'i-{number}', float(number), **changes)


@pytest.fixture
def cases(timer):
    return Cases(Recorder(timer), solo_from=2)


def test_crashes_without_a_success_convict(cases):
    """Guards against a request that ends instances beside others for ever."""
    for number in range(CRASHES_IN_COMPANY):
        assert cases.verdict(b'a') is not Verdict.CONVICTED
        cases.crashed([b'a', b'%d' % number], crash(number))
    assert cases.verdict(b'a') is Verdict.CONVICTED
    assert cases.verdict(b'0') is Verdict.SUSPECT


async def test_lack_of_successes_says_nothing_after_a_start(timer):
    """Guards against popular paths that are refused after a cold start."""
    cases = Cases(Recorder(timer), solo_from=2, warm_up=2.0)
    for number in range(CRASHES_IN_COMPANY):
        cases.crashed([b'page', b'killer'], crash(number))
    cases.crashed([b'killer'], crash(-1, is_alone=True))
    assert cases.verdict(b'killer') is Verdict.CONVICTED
    assert cases.verdict(b'page') is Verdict.SUSPECT
    assert cases.company(b'page') is Company.NOBODY
    await timer.advance(2.0)
    assert cases.verdict(b'page') is Verdict.CONVICTED


def test_crash_convicts_a_request_that_was_alone(cases):
    """Guards against a strong suspect that is tried again and again."""
    for number in range(2):
        cases.crashed([b'a', b'b'], crash(number))
    assert cases.company(b'a') is Company.NOBODY
    cases.crashed([b'a'], crash(2, is_alone=True))
    assert cases.verdict(b'a') is Verdict.CONVICTED
    assert cases.verdict(b'b') is Verdict.SUSPECT


def test_one_crash_told_many_times_counts_once(cases):
    """Guards against a conviction by copies of one notice."""
    for _ in range(5):
        cases.crashed([b'a'], crash(1))
        cases.join(cases.told())
    assert cases.verdict(b'a') is Verdict.SUSPECT


def test_request_that_succeeded_lately_is_no_suspect(cases):
    """Guards against popular paths that are refused after mass crashes."""
    cases.succeeded(b'page')
    for number in range(30):
        cases.crashed([b'page', b'a'], crash(number))
    assert cases.verdict(b'page') is Verdict.CLEAR
    assert cases.verdict(b'a') is Verdict.CONVICTED


async def test_request_that_began_to_crash_is_convicted_all_the_same(
    timer,
    cases,
):
    """Guards against an old success that excuses a request for ever."""
    cases.succeeded(b'a')
    await timer.advance(10.0)
    for number in range(CRASHES_IN_COMPANY):
        cases.crashed([b'a'], crash(number))
    assert cases.verdict(b'a') is Verdict.CONVICTED


@pytest.mark.parametrize('seed', range(20))
def test_daemons_agree_whatever_the_order_of_what_they_hear(timer, seed):
    """Guards against daemons that differ for good, or convict the sound."""
    chance = random.Random(seed)
    sources = [Cases(Recorder(timer), solo_from=2) for _ in range(4)]
    for number in range(6):
        source = chance.choice(sources)
        source.crashed([b'killer', b'page'], crash(number))
        chance.choice(sources).succeeded(b'page')
    heard = [source.told() for source in sources]
    ends = []
    for _ in range(2):
        end = Cases(Recorder(timer), solo_from=2)
        for told in chance.sample(heard * 2, 8):
            end.join(told)
        ends.append(end)
    assert ends[0].digest() == ends[1].digest()
    assert {end.verdict(b'killer') for end in ends} == {Verdict.CONVICTED}


def test_flood_of_suspects_does_not_displace_a_conviction(timer):
    """Guards against a caller who makes each request a new one."""
    cases = Cases(Recorder(timer), limit=5)
    cases.crashed([b'killer'], crash(0, is_alone=True))
    for number in range(1, 100):
        cases.crashed([b'%d' % number], crash(number))
    assert cases.verdict(b'killer') is Verdict.CONVICTED
    assert len(cases.suspects) == 5


def test_lifted_conviction_stays_lifted_when_it_is_told_again(cases):
    """Guards against an operator's decision that other daemons undo."""
    for number in range(CRASHES_IN_COMPANY):
        cases.crashed([b'a'], crash(number))
    told = cases.told()
    assert cases.lift(b'a')
    cases.join(told)
    assert cases.verdict(b'a') is Verdict.CLEAR


async def test_case_that_daemons_tell_each_other_ends(timer, cases):
    """Guards against a conviction that is kept alive by telling it."""
    other = Cases(Recorder(timer))
    cases.crashed([b'a'], crash(0, is_alone=True))
    for _ in range(7):
        other.join(cases.told())
        await timer.advance(100.0)
        cases.join(other.told())
    assert cases.verdict(b'a') is other.verdict(b'a') is Verdict.CLEAR


def test_success_acquits_a_request_that_only_had_company(cases):
    """Guards against a popular path that is refused after a cold start."""
    for number in range(CRASHES_IN_COMPANY):
        cases.crashed([b'page', b'killer'], crash(number))
    cases.crashed([b'killer'], crash(-1, is_alone=True))
    assert cases.verdict(b'page') is Verdict.CONVICTED
    told = cases.told()
    assert cases.succeeded(b'page')
    assert not cases.succeeded(b'killer')
    cases.join(told)
    assert cases.verdict(b'page') is Verdict.CLEAR
    assert cases.verdict(b'killer') is Verdict.CONVICTED


def test_suspects_keep_apart_before_they_run_alone(cases):
    """Guards against a neighbour in two crashes of one request."""
    cases.crashed([b'a', b'b'], crash(0))
    assert cases.company(b'a') is Company.NO_SUSPECTS
    cases.crashed([b'a'], crash(1))
    assert cases.company(b'a') is Company.NOBODY
    assert cases.company(b'c') is Company.ANY


async def test_suspects_hold_up_only_each_other():
    """Guards against clear requests that wait behind two suspects."""
    gate = SoloGate()
    await gate.enter(Company.NO_SUSPECTS)
    second = asyncio.create_task(gate.enter(Company.NO_SUSPECTS))
    await asyncio.sleep(0)
    await gate.enter(Company.ANY)
    assert not second.done()
    gate.leave(Company.NO_SUSPECTS)
    await second
    assert gate.inside == 2
