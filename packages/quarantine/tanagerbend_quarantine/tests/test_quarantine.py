"""Suspects, convictions and the gate that lets a suspect run alone."""

import asyncio
import random

import pytest

from tanagerbend_metrics import Recorder
from tanagerbend_quarantine import (
    Cases,
    Crash,
    InFlightRequest,
    InFlightRequests,
    Isolation,
    IsolationGate,
    Notice,
    Quarantine,
    Verdict,
    fingerprint,
)
from tanagerbend_quarantine.case import CRASHES_TO_CONVICT
from tanagerbend_quarantine.flights import WORK_AFTER_CLOSE_SECONDS
from tanagerbend_timer import ManualTimer


@pytest.fixture
def timer():
    return ManualTimer()


@pytest.fixture
def quarantine(timer):
    return Quarantine(Recorder(timer), limit=3)


def test_other_requests_at_a_crash_are_not_convicted(quarantine):
    """Guards against refusing requests that only ran beside a crash."""
    quarantine.record_crash([b'a', b'b'])
    quarantine.record_crash([b'a', b'b'])
    assert quarantine.verdict(b'a') is Verdict.SUSPECT
    assert quarantine.record_success(b'a') == Notice(cleared=(b'a',))
    assert quarantine.verdict(b'a') is Verdict.CLEAR


def test_clear_notice_does_not_withdraw_a_conviction(quarantine):
    """Guards against lifting a conviction by the success of an old run."""
    quarantine.record_crash([b'a'])
    quarantine.record_crash([b'a'], is_alone=True)
    quarantine.merge(Notice(cleared=(b'a',)))
    quarantine.merge(Notice(suspected=(b'a',)))
    assert quarantine.verdict(b'a') is Verdict.CONVICTED


async def test_conviction_expires(timer, quarantine):
    """Guards against requests that are refused forever."""
    quarantine.record_crash([b'a'], is_alone=True)
    await timer.advance(599.0)
    assert quarantine.verdict(b'a') is Verdict.CONVICTED
    await timer.advance(1.0)
    assert quarantine.verdict(b'a') is Verdict.CLEAR
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
    gate = IsolationGate()
    running, running_log = [], []

    async def run(name, isolation):
        await gate.enter(isolation)
        running.append(name)
        running_log.append(''.join(sorted(running)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        running.remove(name)
        gate.leave(isolation)

    isolations = {
        name: Isolation.EXCLUSIVE if name.isupper() else Isolation.NONE
        for name in 'abCDef'
    }
    await asyncio.gather(*(run(*each) for each in isolations.items()))
    assert running_log == ['a', 'ab', 'C', 'D', 'e', 'ef']


async def test_cancelled_suspect_does_not_block_the_gate():
    """Guards against a gate that stays closed after a cancellation."""
    gate = IsolationGate()
    await gate.enter(Isolation.NONE)
    solo = asyncio.create_task(gate.enter(Isolation.EXCLUSIVE))
    later = asyncio.create_task(gate.enter(Isolation.NONE))
    await asyncio.sleep(0)
    solo.cancel()
    await later
    assert gate.running == 2


@pytest.mark.parametrize('isolation', list(Isolation))
async def test_wait_that_ends_while_another_request_leaves(isolation):
    """Guards against an error in place of the end of a wait."""
    gate = IsolationGate()
    await gate.enter(Isolation.EXCLUSIVE)
    waiting = asyncio.create_task(gate.enter(isolation))
    await asyncio.sleep(0)
    waiting.cancel()
    gate.leave(Isolation.EXCLUSIVE)
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert not gate.running
    assert not gate.waiting


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
        cases.record_crash([b'a', b'%d' % number], crash(number))
    assert cases.verdict(b'a') is Verdict.CONVICTED
    assert cases.verdict(b'0') is Verdict.SUSPECT


async def test_lack_of_successes_does_not_convict_during_warm_up(timer):
    """Guards against refusing popular paths after the start of a daemon."""
    cases = Cases(Recorder(timer), solo_from=2, warm_up=2.0)
    for number in range(CRASHES_TO_CONVICT):
        cases.record_crash([b'page', b'killer'], crash(number))
    cases.record_crash([b'killer'], crash(-1, is_alone=True))
    assert cases.verdict(b'killer') is Verdict.CONVICTED
    assert cases.verdict(b'page') is Verdict.SUSPECT
    assert cases.isolation(b'page') is Isolation.EXCLUSIVE
    await timer.advance(2.0)
    assert cases.verdict(b'page') is Verdict.CONVICTED


def test_crash_convicts_a_request_that_was_alone(cases):
    """Guards against repeated runs of a request that crashed on its own."""
    for number in range(2):
        cases.record_crash([b'a', b'b'], crash(number))
    assert cases.isolation(b'a') is Isolation.EXCLUSIVE
    cases.record_crash([b'a'], crash(2, is_alone=True))
    assert cases.verdict(b'a') is Verdict.CONVICTED
    assert cases.verdict(b'b') is Verdict.SUSPECT


def test_repeated_reports_of_one_crash_count_once(cases):
    """Guards against a conviction by repeated reports of one crash."""
    for _ in range(5):
        cases.record_crash([b'a'], crash(1))
        cases.merge_received(cases.cases_to_send())
    assert cases.verdict(b'a') is Verdict.SUSPECT


def test_request_that_succeeded_recently_is_no_suspect(cases):
    """Guards against refusing popular paths after many crashes."""
    cases.record_success(b'page')
    for number in range(30):
        cases.record_crash([b'page', b'a'], crash(number))
    assert cases.verdict(b'page') is Verdict.CLEAR
    assert cases.verdict(b'a') is Verdict.CONVICTED


async def test_old_success_does_not_prevent_a_conviction(
    timer,
    cases,
):
    """Guards against an old success that protects a request forever."""
    cases.record_success(b'a')
    await timer.advance(10.0)
    for number in range(CRASHES_TO_CONVICT):
        cases.record_crash([b'a'], crash(number))
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
        source.record_crash([b'killer', b'page'], crash(number))
        generator.choice(sources).record_success(b'page')
    messages = [source.cases_to_send() for source in sources]
    receivers = []
    for _ in range(2):
        receiver = Cases(Recorder(timer), solo_from=2)
        for told in generator.sample(messages * 2, 8):
            receiver.merge_received(told)
        receivers.append(receiver)
    assert receivers[0].digest() == receivers[1].digest()
    assert {receiver.verdict(b'killer') for receiver in receivers} == {
        Verdict.CONVICTED
    }


def test_many_suspects_do_not_displace_a_conviction(timer):
    """Guards against a caller that makes each request unique."""
    cases = Cases(Recorder(timer), limit=5)
    cases.record_crash([b'killer'], crash(0, is_alone=True))
    for number in range(1, 100):
        cases.record_crash([b'%d' % number], crash(number))
    assert cases.verdict(b'killer') is Verdict.CONVICTED
    assert len(cases.suspects) == 5


def test_cleared_conviction_stays_cleared_if_received_again(cases):
    """Guards against other daemons undoing an operator's decision."""
    for number in range(CRASHES_TO_CONVICT):
        cases.record_crash([b'a'], crash(number))
    told = cases.cases_to_send()
    assert cases.clear(b'a')
    cases.merge_received(told)
    assert cases.verdict(b'a') is Verdict.CLEAR


async def test_case_exchanged_between_daemons_expires(timer, cases):
    """Guards against a conviction that is renewed by exchanging it."""
    other = Cases(Recorder(timer))
    cases.record_crash([b'a'], crash(0, is_alone=True))
    for _ in range(7):
        other.merge_received(cases.cases_to_send())
        await timer.advance(100.0)
        cases.merge_received(other.cases_to_send())
    assert cases.verdict(b'a') is other.verdict(b'a') is Verdict.CLEAR


def test_success_acquits_a_request_that_never_ran_alone(cases):
    """Guards against refusing a popular path after a cold start."""
    for number in range(CRASHES_TO_CONVICT):
        cases.record_crash([b'page', b'killer'], crash(number))
    cases.record_crash([b'killer'], crash(-1, is_alone=True))
    assert cases.verdict(b'page') is Verdict.CONVICTED
    told = cases.cases_to_send()
    assert cases.record_success(b'page')
    assert not cases.record_success(b'killer')
    cases.merge_received(told)
    assert cases.verdict(b'page') is Verdict.CLEAR
    assert cases.verdict(b'killer') is Verdict.CONVICTED


def test_suspects_are_separated_before_they_run_alone(cases):
    """Guards against two suspects that run together at a second crash."""
    cases.record_crash([b'a', b'b'], crash(0))
    assert cases.isolation(b'a') is Isolation.FROM_SUSPECTS
    cases.record_crash([b'a'], crash(1))
    assert cases.isolation(b'a') is Isolation.EXCLUSIVE
    assert cases.isolation(b'c') is Isolation.NONE


async def test_suspects_delay_only_each_other():
    """Guards against unsuspected requests that wait for two suspects."""
    gate = IsolationGate()
    await gate.enter(Isolation.FROM_SUSPECTS)
    second = asyncio.create_task(gate.enter(Isolation.FROM_SUSPECTS))
    await asyncio.sleep(0)
    await gate.enter(Isolation.NONE)
    assert not second.done()
    gate.leave(Isolation.FROM_SUSPECTS)
    await second
    assert gate.running == 2


def test_survival_outweighs_one_crash(timer):
    """Guards against refusing a request that instances mostly outlive.

    Its client always leaves, so that no success can clear it.
    """
    cases = Cases(Recorder(timer))
    for number in range(2):
        cases.record_crash([b'a'], Crash(f'i-{number}', float(number)))
    assert cases.record_survival(b'a')
    cases.record_crash([b'a'], Crash('i-2', 2.0))
    assert cases.verdict(b'a') is Verdict.SUSPECT
    cases.record_crash([b'a'], Crash('i-3', 3.0))
    assert cases.verdict(b'a') is Verdict.CONVICTED


def test_survival_does_not_end_a_conviction(timer):
    """Guards against a run that began before the conviction and ends it."""
    cases = Cases(Recorder(timer))
    for number in range(CRASHES_TO_CONVICT):
        cases.record_crash([b'a'], Crash(f'i-{number}', float(number)))
    assert not cases.record_survival(b'a')
    assert cases.verdict(b'a') is Verdict.CONVICTED


async def test_abandoned_request_is_suspected_for_a_short_time(timer):
    """Guards against blaming requests that the instance dropped long ago."""
    in_flight = InFlightRequests(timer)
    request = InFlightRequest(b'a', deadline=30.0)
    in_flight.begin(request)
    in_flight.abandon(request)
    await timer.advance(WORK_AFTER_CLOSE_SECONDS / 2)
    assert in_flight.suspects_of_crash() == [request]
    assert not in_flight.remove_survived()
    await timer.advance(WORK_AFTER_CLOSE_SECONDS / 2)
    assert not in_flight.suspects_of_crash()
    assert in_flight.at_risk() == [request]
    assert in_flight.remove_survived() == [request]


async def test_request_that_passed_its_deadline_may_still_end_an_instance(
    timer,
):
    """Guards against an instance that works past the deadline and crashes."""
    in_flight = InFlightRequests(timer)
    request = InFlightRequest(b'a', deadline=1.0)
    in_flight.begin(request)
    await timer.advance(1.0)
    in_flight.abandon(request)
    assert in_flight.suspects_of_crash() == in_flight.at_risk() == [request]


async def test_request_that_was_not_watched_has_not_survived(timer):
    """Guards against clearing a request that an unnoticed crash ended."""
    in_flight = InFlightRequests(timer)
    request = InFlightRequest(b'a', deadline=1.0)
    in_flight.abandon(request)
    in_flight.stop_watching()
    await timer.advance(WORK_AFTER_CLOSE_SECONDS)
    assert not in_flight.remove_survived()
    assert not in_flight.recently_abandoned
