"""Replies of real daemons whose backend servers have faults."""

import asyncio

import pytest

from tanagerbend_standins import Caller, Fleet, Placement, wait_until

SHEET = (
    b'service,work,rank,method,path,deadline_ms,order\n'
    b'artwork,plates,3,,/plates,3000,no\n'
    b'artwork,prints,1,POST,/prints,9000,yes\n'
)
PLACES = [
    Placement('artwork-1', 'artwork', 'hobart-a', 'tas-south'),
    Placement('artwork-2', 'artwork', 'kingston', 'tas-south'),
    Placement('artwork-3', 'artwork', 'kingston', 'tas-south'),
]
CALLS = 120


@pytest.fixture
async def fleet(tmp_path):
    fleet = Fleet(tmp_path, PLACES, has_log_files=True)
    await fleet.start(SHEET)
    yield fleet
    await fleet.close()


@pytest.fixture
async def caller(fleet):
    """Caller of a fleet in which every daemon answers calls."""
    caller = Caller(fleet)

    async def all_answered():
        replies = await asyncio.gather(
            *(
                caller.call('artwork', '/plates', node=node)
                for node in fleet.nodes
            )
        )
        return all(reply.is_answer for reply in replies)

    assert await wait_until(all_answered, 30)
    yield caller
    await caller.close()


async def test_every_answer_is_whole_and_belongs_to_its_request(fleet, caller):
    """Guards against wrong or truncated answers that callers accept (I4).

    The backend servers are slow and cross, truncate and lose answers.
    """
    for node in fleet.nodes:
        node.backend.update_behaviour(
            work_seconds=0.01,
            crossed_share=0.2,
            truncated_share=0.2,
            lost_share=0.1,
        )
    bodies = [f'plate number {number}'.encode() for number in range(CALLS)]
    answered = 0
    for start in range(0, CALLS, 10):
        batch = bodies[start : start + 10]
        replies = await asyncio.gather(
            *(caller.call('artwork', '/plates', body) for body in batch)
        )
        for body, reply in zip(batch, replies, strict=True):
            if reply.is_answer:
                answered += 1
                assert reply.body.endswith(b' ran ' + body)
    assert answered > CALLS / 4


async def test_silent_connections_are_left_behind(fleet, caller):
    """Guards against daemons that keep using silent connections (F7)."""
    for node in fleet.nodes:
        node.backend.silence_connections()

    async def all_answered():
        replies = await asyncio.gather(
            *(
                caller.call('artwork', '/plates', node=node)
                for node in fleet.nodes
                for _ in range(4)
            )
        )
        return all(reply.is_answer for reply in replies)

    assert await wait_until(all_answered, 30)


async def test_paused_daemon_follows_the_newest_sheet(fleet, caller):
    """Guards against a resumed daemon that keeps its old sheet (F4)."""
    paused = fleet.nodes[0]
    fleet.pause(paused)
    await fleet.publish(SHEET + b'artwork,proofs,4,,/proofs,3000,no\n')

    async def is_in_force_elsewhere():
        reply = await caller.call('artwork', '/proofs', node=fleet.nodes[1])
        return reply.is_answer

    assert await wait_until(is_in_force_elsewhere, 30)
    await asyncio.sleep(3)
    fleet.resume(paused)
    reply = await caller.call('artwork', '/proofs', node=paused)
    assert reply.is_answer, reply


async def test_orders_are_sent_again_and_run_once(fleet, caller):
    """Guards against orders that run twice when answers are lost (I6)."""
    for node in fleet.nodes:
        node.backend.update_behaviour(lost_share=0.3)
    bodies = [f'order {number}'.encode() for number in range(30)]
    replies = await asyncio.gather(
        *(caller.place_order('artwork', '/prints', body) for body in bodies)
    )
    runs = [
        sum(node.backend.run_counts_by_body[body] for node in fleet.nodes)
        for body in bodies
    ]
    assert max(runs) == 1
    assert all(reply.is_final for reply in replies)
    assert 0 < sum(reply.is_answer for reply in replies) < len(replies)


async def test_status_shows_a_host_cut_off_from_the_service(fleet, caller):
    """Guards against a host cut off from the service that misses a sheet.

    It gets the sheet from other daemons (F2), and its status is readable.
    """
    host = fleet.nodes[0].place.host
    before = await caller.version_at(fleet.nodes[0])
    fleet.platform.update_faults(cut_off=frozenset((host,)))
    await fleet.publish(SHEET + b'artwork,proofs,4,,/proofs,3000,no\n')

    async def is_in_force_everywhere():
        versions = [await caller.version_at(node) for node in fleet.nodes]
        return len(set(versions)) == 1 and versions[0] != before

    assert await wait_until(is_in_force_everywhere, 30)
    status = await caller.status(fleet.nodes[0])
    assert status['host'] == host
