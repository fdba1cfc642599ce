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
from tanagerbend_quarantine.case import CRASHES_TO_CONVICT
from tanagerbend_timer import ManualTimer


@pytest.fixture
def timer():
    return ManualTimer()


@pytest.fixture
def quarantine(timer):
    return Quarantine(Recorder(timer), limit=3)


def test_other_requests_at_a_crash_are_not_convicted(quarantine):
    """Guards against refusing requests that only ran beside a crash."""
    quarantine.crashed([b'a', b'b'])
    quarantine.crashed([b'a', b'b'])
    assert quarantine.check(b'a') is Verdict.SUSPECT
    assert quarantine.succeeded(b'a') == Notice(cleared=(b'a',))
    assert quarantine.check(b'a') is Verdict.CLEAR


def test_clear_notice_does_not_withdraw_a_conviction(quarantine):
    """Guards against lifting a conviction by the success of an old run."""
    quarantine.crashed([b'a'])
    quarantine.crashed([b'a'], is_alone=True)
    quarantine.merge(Notice(cleared=(b'a',)))
    quarantine.merge(Notice(suspected=(b'a',)))
    assert quarantine.check(b'a') is Verdict.CONVICTED


async def test_conviction_expires(timer, quarantine):
    """Guards against requests that are refused forever."""
    quarantine.crashed([b'a'], is_alone=True)
    await timer.advance(599.0)
    assert quarantine.check(b'a') is Verdict.CONVICTED
    await timer.advance(1.0)
    assert quarantine.check(b'a') is Verdict.CLEAR
    assert quarantine.is_empty


def test_number_of_suspects_is_bounded(quarantine):
    """Guards against unbounded memory use by notices."""
    for number in range(10):
        quarantine.merge(Notice(suspected=(b'%d' % number,)))
    assert list(quarantine.suspects) == [b'7', b'8', b'9']


def test_fingerprint_separates_the_parts_of_a_request():
    """Guards against equal fingerprints of different requests."""
    fingerprints = {
        fingerprint('s', 'GET', '/a', b'b'),
        fingerprint('s', 'GET', '/ab', b''),
        fingerprint('s', 'GET', '/ab', iter(())),
        fingerprint('sG', 'ET', '/ab', b''),
    }
    assert len(fingerprints) == 4


async def test_suspects_run_alone_in_order_of_arrival():
    """Guards against a suspect that runs beside any other request."""
    gate = SoloGate()
    running, running_log = [], []

    async def run(name, company):
        await gate.enter(company)
        running.append(name)
        running_log.append(''.join(sorted(running)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        running.remove(name)
        gate.leave(company)

    companies = {
        name: Company.NOBODY if name.isupper() else Company.ANY
        for name in 'abCDef'
    }
    await asyncio.gather(*(run(*each) for each in companies.items()))
    assert running_log == ['a', 'ab', 'C', 'D', 'e', 'ef']


async def test_cancelled_suspect_does_not_block_the_gate():
    """Guards against a gate that stays closed after a cancellation."""
    gate = SoloGate()
    await gate.enter(Company.ANY)
    solo = asyncio.create_task(gate.enter(Company.NOBODY))
    later = asyncio.create_task(gate.enter(Company.ANY))
    await asyncio.sleep(0)
    solo.cancel()
    await later
    assert gate.running == 2


def crash(number, **changes):
    """Return a crash of an instance that is unique to its number."""
    return Crash(f'i-{number}', float(number), **changes)


@pytest.fixture
def cases(timer):
    return Cases(Recorder(timer), solo_from=2)


def test_crashes_without_a_success_convict(cases):
    """Guards against a request that crashes instances unnoticed.

    It never runs alone, so that no single crash convicts it.
    """
    for number in range(CRASHES_TO_CONVICT):
        assert cases.verdict(b'a') is not Verdict.CONVICTED
        cases.crashed([b'a', b'%d' % number], crash(number))
    assert cases.verdict(b'a') is Verdict.CONVICTED
    assert cases.verdict(b'0') is Verdict.SUSPECT


async def test_lack_of_successes_does_not_convict_during_warm_up(timer):
    """Guards against refusing popular paths after the start of a daemon."""
    cases = Cases(Recorder(timer), solo_from=2, warm_up=2.0)
    for number in range(CRASHES_TO_CONVICT):
        cases.crashed([b'page', b'killer'], crash(number))
    cases.crashed([b'killer'], crash(-1, is_alone=True))
    assert cases.verdict(b'killer') is Verdict.CONVICTED
    assert cases.verdict(b'page') is Verdict.SUSPECT
    assert cases.company(b'page') is Company.NOBODY
    await timer.advance(2.0)
    assert cases.verdict(b'page') is Verdict.CONVICTED


def test_crash_convicts_a_request_that_was_alone(cases):
    """Guards against repeated runs of a request that crashed on its own."""
    for number in range(2):
        cases.crashed([b'a', b'b'], crash(number))
    assert cases.company(b'a') is Company.NOBODY
    cases.crashed([b'a'], crash(2, is_alone=True))
    assert cases.verdict(b'a') is Verdict.CONVICTED
    assert cases.verdict(b'b') is Verdict.SUSPECT


def test_repeated_reports_of_one_crash_count_once(cases):
    """Guards against a conviction by repeated reports of one crash."""
    for _ in range(5):
        cases.crashed([b'a'], crash(1))
        cases.join(cases.told())
    assert cases.verdict(b'a') is Verdict.SUSPECT


def test_request_that_succeeded_recently_is_no_suspect(cases):
    """Guards against refusing popular paths after many crashes."""
    cases.succeeded(b'page')
    for number in range(30):
        cases.crashed([b'page', b'a'], crash(number))
    assert cases.verdict(b'page') is Verdict.CLEAR
    assert cases.verdict(b'a') is Verdict.CONVICTED


async def test_old_success_does_not_prevent_a_conviction(
    timer,
    cases,
):
    """Guards against an old success that protects a request forever."""
    cases.succeeded(b'a')
    await timer.advance(10.0)
    for number in range(CRASHES_TO_CONVICT):
        cases.crashed([b'a'], crash(number))
    assert cases.verdict(b'a') is Verdict.CONVICTED


@pytest.mark.parametrize('seed', range(20))
def test_daemons_converge_for_any_order_of_messages(timer, seed):
    """Guards against daemons that disagree or convict harmless requests.

    Messages may arrive in any order and more than once.
    """
    generator = random.Random(seed)
    sources = [Cases(Recorder(timer), solo_from=2) for _ in range(4)]
    for number in range(6):
        source = generator.choice(sources)
        source.crashed([b'killer', b'page'], crash(number))
        generator.choice(sources).succeeded(b'page')
    messages = [source.told() for source in sources]
    receivers = []
    for _ in range(2):
        receiver = Cases(Recorder(timer), solo_from=2)
        for told in generator.sample(messages * 2, 8):
            receiver.join(told)
        receivers.append(receiver)
    assert receivers[0].digest() == receivers[1].digest()
    assert {receiver.verdict(b'killer') for receiver in receivers} == {
        Verdict.CONVICTED
    }


def test_many_suspects_do_not_displace_a_conviction(timer):
    """Guards against a caller that makes each request unique."""
    cases = Cases(Recorder(timer), limit=5)
    cases.crashed([b'killer'], crash(0, is_alone=True))
    for number in range(1, 100):
        cases.crashed([b'%d' % number], crash(number))
    assert cases.verdict(b'killer') is Verdict.CONVICTED
    assert len(cases.suspects) == 5


def test_cleared_conviction_stays_cleared_if_received_again(cases):
    """Guards against other daemons undoing an operator's decision."""
    for number in range(CRASHES_TO_CONVICT):
        cases.crashed([b'a'], crash(number))
    told = cases.told()
    assert cases.lift(b'a')
    cases.join(told)
    assert cases.verdict(b'a') is Verdict.CLEAR


async def test_case_exchanged_between_daemons_expires(timer, cases):
    """Guards against a conviction that is renewed by exchanging it."""
    other = Cases(Recorder(timer))
    cases.crashed([b'a'], crash(0, is_alone=True))
    for _ in range(7):
        other.join(cases.told())
        await timer.advance(100.0)
        cases.join(other.told())
    assert cases.verdict(b'a') is other.verdict(b'a') is Verdict.CLEAR


def test_success_acquits_a_request_that_never_ran_alone(cases):
    """Guards against refusing a popular path after a cold start."""
    for number in range(CRASHES_TO_CONVICT):
        cases.crashed([b'page', b'killer'], crash(number))
    cases.crashed([b'killer'], crash(-1, is_alone=True))
    assert cases.verdict(b'page') is Verdict.CONVICTED
    told = cases.told()
    assert cases.succeeded(b'page')
    assert not cases.succeeded(b'killer')
    cases.join(told)
    assert cases.verdict(b'page') is Verdict.CLEAR
    assert cases.verdict(b'killer') is Verdict.CONVICTED


def test_suspects_are_separated_before_they_run_alone(cases):
    """Guards against two suspects that run together at a second crash."""
    cases.crashed([b'a', b'b'], crash(0))
    assert cases.company(b'a') is Company.NO_SUSPECTS
    cases.crashed([b'a'], crash(1))
    assert cases.company(b'a') is Company.NOBODY
    assert cases.company(b'c') is Company.ANY


async def test_suspects_delay_only_each_other():
    """Guards against unsuspected requests that wait for two suspects."""
    gate = SoloGate()
    await gate.enter(Company.NO_SUSPECTS)
    second = asyncio.create_task(gate.enter(Company.NO_SUSPECTS))
    await asyncio.sleep(0)
    await gate.enter(Company.ANY)
    assert not second.done()
    gate.leave(Company.NO_SUSPECTS)
    await second
    assert gate.running == 2
