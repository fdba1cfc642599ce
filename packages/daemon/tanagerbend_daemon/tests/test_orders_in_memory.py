"""Orders in a simulated fleet, with seeded faults on a manual timer."""

import asyncio
import random

import attrs
import pytest

from tanagerbend_daemon.call import Answer
from tanagerbend_daemon.tests.memory_fleet import SHEET, MemoryFleet
from tanagerbend_interfaces import BackendRequest
from tanagerbend_model import (
    Ran,
    Refusal,
    ResultCode,
    Version,
    accept,
    headers,
)
from tanagerbend_orders import RecordedAnswer
from tanagerbend_routing import RouteTable
from tanagerbend_timer import ManualTimer

FAULTS = ['lost', 'delayed', 'late copy', 'crossed']


@pytest.fixture
def fleet():
    return MemoryFleet(ManualTimer(), random.Random(1))


def key_for(fleet, host, issuer='host-0'):
    """Return a key that a daemon issues for the instance of a host."""
    path = fleet.nodes[issuer].path
    incarnation = fleet.members[host].incarnation
    return path.issuer.issue('print', host, incarnation).token


async def body_of(answer):
    return b''.join([chunk async for chunk in answer.chunks])


async def test_orders_run_at_most_once_and_outcomes_are_true():
    """Guards against a second run and against a false "not run"."""
    outcomes = set()
    for seed in range(25):
        fleet = MemoryFleet(ManualTimer(), random.Random(seed))
        fleet.faults = FAULTS
        reported = {}
        orders = [
            asyncio.ensure_future(place_order(fleet, number, reported))
            for number in range(12)
        ]
        disturbance = asyncio.ensure_future(inject_faults(fleet))
        await fleet.run(*orders, disturbance)
        while not all(task.done() for task in fleet.tasks):
            await fleet.timer.advance(1.0)
        assert max(fleet.runs.values()) == 1, seed
        for key, ran in reported.items():
            if ran is not Ran.UNKNOWN:
                assert fleet.runs[key] == (ran is Ran.YES), seed
        outcomes.update(reported.values())
    assert outcomes == {Ran.YES, Ran.NO, Ran.UNKNOWN}


async def place_order(fleet, number, reported):
    """Send one order through many daemons until its outcome is known."""
    host = fleet.random.choice(list(fleet.nodes))
    key = key_for(fleet, host)
    for _ in range(8):
        await fleet.timer.sleep(fleet.random.uniform(0.0, 2.0))
        method, path = 'POST', '/print'
        if fleet.random.random() < 0.2:
            method, path = 'DELETE', f'/.tanagerbend/orders/{key}'
        entry = fleet.random.choice(list(fleet.nodes))
        body = b'order %d' % number
        outcome = await fleet.call(entry, key, body, method, path)
        match outcome:
            case Answer():
                assert await body_of(outcome) == b'ran ' + body
                reported[key] = Ran.YES
                return
            case Refusal(ran=Ran.NO):
                reported[key] = Ran.NO
                return
            case Refusal():
                reported[key] = Ran.UNKNOWN


async def inject_faults(fleet):
    """Restart daemons and partition the fleet; member lists then differ."""
    for incarnation in range(2, 8):
        await fleet.timer.sleep(fleet.random.uniform(0.0, 3.0))
        host = fleet.random.choice(list(fleet.nodes))
        if fleet.random.random() < 0.5:
            fleet.start(host, incarnation)
        else:
            fleet.sides = {} if fleet.sides else {host: 'other side'}
        fleet.gossip()
    fleet.sides = {}
    fleet.gossip()


async def test_unreachable_owner_is_outcome_unknown(fleet):
    """Guards against "not run" from a daemon that is not the owner."""
    key = key_for(fleet, 'host-2')
    fleet.sides = {'host-2': 'other side'}
    for host in ('host-0', 'host-1'):
        (outcome,) = await fleet.run(fleet.call(host, key))
        assert (outcome.ran, outcome.code) == (
            Ran.UNKNOWN,
            ResultCode.OUTCOME_UNKNOWN,
        )


async def test_entry_daemon_without_sheet_does_not_say_not_run(fleet):
    """Guards against early refusals that claim "not run" for a key."""
    key = key_for(fleet, 'host-2')
    fleet.nodes['host-0'].path.calls.table = None
    await fleet.run(fleet.call('host-1', key))
    fleet.sides = {'host-0': 'other side'}
    (outcome,) = await fleet.run(fleet.call('host-0', key))
    assert outcome.ran is Ran.UNKNOWN


async def test_new_incarnation_does_not_run_an_old_key(fleet):
    """Guards against a restarted owner that has forgotten its orders."""
    key = key_for(fleet, 'host-2')
    fleet.start('host-2', 2)
    (outcome,) = await fleet.run(fleet.call('host-0', key))
    assert outcome.code is ResultCode.ORDER_OWNER_GONE
    assert outcome.ran is Ran.UNKNOWN
    assert not fleet.runs


async def test_pause_before_sending_does_not_run_after_the_deadline(fleet):
    """Guards against an order that a process sends late after a pause."""
    owner = fleet.nodes['host-0']
    owner.backend.seconds = 1.0
    keys = [key_for(fleet, 'host-0') for _ in range(3)]
    calls = [asyncio.ensure_future(fleet.call('host-0', key)) for key in keys]
    await fleet.timer.advance(0.5)
    assert sum(fleet.runs.values()) == 2
    fleet.timer.pause(60.0)
    outcomes = await fleet.run(*calls)
    refusals = [outcome for outcome in outcomes if isinstance(outcome, Refusal)]
    assert sum(fleet.runs.values()) == 2
    assert Ran.NO in {refusal.ran for refusal in refusals}


async def test_gate_refuses_what_was_delayed_after_its_slot(fleet):
    """Guards against an order sent late after waiting behind a suspect."""
    node = fleet.nodes['host-0']
    key = node.path.issuer.read(key_for(fleet, 'host-0'))
    begun = node.ledger.begin(key, b'request')
    gate = node.path.calls.owner.backend.backend
    pairs = ((headers.ORDER_KEY, key.token),)
    request = BackendRequest('POST', '/print', pairs, b'one', 'id')
    (refusal,) = await fleet.run(gate.exchange(request, fleet.timer.now()))
    assert refusal.ran is Ran.NO
    assert not begun.record.starts
    assert not fleet.runs


async def test_sent_order_outlives_its_caller(fleet):
    """Guards against an order that ends when its caller disconnects."""
    key = key_for(fleet, 'host-0')
    sent = asyncio.ensure_future(fleet.call('host-0', key))
    await fleet.timer.advance(0.05)
    sent.cancel()
    await fleet.timer.advance(1.0)
    (again,) = await fleet.run(fleet.call('host-1', key))
    assert await body_of(again) == b'ran one'
    assert fleet.runs[key] == 1


async def test_not_run_carries_a_key_for_another_instance(fleet):
    """Guards against a refused order that cannot be placed again."""
    fleet.nodes['host-0'].path.calls.owner.admission.max_waiting = 0
    fleet.nodes['host-0'].backend.seconds = 1.0
    keys = [key_for(fleet, 'host-0') for _ in range(3)]
    outcomes = await fleet.run(*(fleet.call('host-1', key) for key in keys))
    (refusal,) = [
        outcome for outcome in outcomes if isinstance(outcome, Refusal)
    ]
    assert (refusal.code, refusal.ran) == (ResultCode.QUEUE_FULL, Ran.NO)
    fresh = fleet.nodes['host-1'].path.issuer.read(refusal.fresh_key)
    assert fresh.host != 'host-0'


@pytest.fixture
def unsynced_fleet(fleet):
    """Return a fleet whose host-0 knows the others by the host list only."""
    path = fleet.nodes['host-0'].path

    def instances(service):
        return tuple(
            attrs.evolve(member, incarnation=0)
            for member in path.roster.instances(service)
        )

    path.calls.table = RouteTable.build(
        Version((), 1, b''),
        accept(SHEET).sheet,
        instances,
    )
    return fleet


async def test_order_without_a_key_gets_retry_after(unsynced_fleet):
    """Guards against advice to use a key that the answer does not carry."""
    (refusal,) = await unsynced_fleet.run(unsynced_fleet.call('host-0'))
    assert (refusal.code, refusal.ran) == (ResultCode.NO_INSTANCE, Ran.NO)
    assert not refusal.fresh_key
    assert dict(refusal.header_pairs)['Retry-After'] == '1'
    (known,) = await unsynced_fleet.run(unsynced_fleet.call('host-1'))
    assert known.code is ResultCode.ORDER_KEY_REQUIRED
    assert known.fresh_key


async def test_voided_order_without_a_key_gets_retry_after(
    unsynced_fleet,
):
    """Guards against advice to use a missing key, for a voided order."""
    key = key_for(unsynced_fleet, 'host-2')
    path = f'/.tanagerbend/orders/{key}'
    await unsynced_fleet.run(
        unsynced_fleet.call('host-1', method='DELETE', path=path)
    )
    (refusal,) = await unsynced_fleet.run(unsynced_fleet.call('host-0', key))
    assert (refusal.code, refusal.ran) == (ResultCode.NO_INSTANCE, Ran.NO)
    assert refusal.retry_after_seconds
    assert not unsynced_fleet.runs


async def test_oversized_order_voids_its_key(fleet):
    """Guards against "not run" for a large order that may still run."""
    key = key_for(fleet, 'host-2')
    (large,) = await fleet.run(fleet.call('host-0', key, bytes(2_000_000)))
    assert large.code is ResultCode.ORDER_BODY_TOO_LARGE
    assert large.ran is Ran.NO
    (late,) = await fleet.run(fleet.call('host-1', key))
    assert late.code is ResultCode.ORDER_KEY_VOID
    assert not fleet.runs


async def test_second_request_waits_for_the_first(fleet):
    """Guards against a repeat that returns early, not awaiting the first."""
    key = key_for(fleet, 'host-2')
    answers = await fleet.run(*(fleet.call(host, key) for host in fleet.nodes))
    assert [await body_of(answer) for answer in answers] == [b'ran one'] * 3
    record = fleet.nodes['host-2'].ledger.records
    assert [entry.answer for entry in record.values()] == [
        RecordedAnswer(200, (), b'ran one'),
    ]
