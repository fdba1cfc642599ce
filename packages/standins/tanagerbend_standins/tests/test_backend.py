"""Each fault of the stand-in backend server can be brought about."""

import asyncio

import aiohttp
import pytest

from tanagerbend_model import headers
from tanagerbend_standins import OverloadResponse, eventually


async def send(session, backend, path='/plates', body=None, **own):
    """Status, headers and body of one request; None if it failed."""
    try:
        async with session.post(
            f'http://{backend.address}{path}', data=body, headers=own
        ) as response:
            return response.status, response.headers, await response.read()
    except aiohttp.ClientError:
        return None


async def statuses(session, backend, count):
    """Sorted status of simultaneous requests."""
    outcomes = await asyncio.gather(
        *(send(session, backend) for _ in range(count))
    )
    return sorted(outcome[0] for outcome in outcomes if outcome)


async def test_requests_over_the_slots_are_refused_or_slow(backend, session):
    """Guards against daemons that exceed the slots without a sign."""
    backend.behave(work_seconds=0.2, slots=2)
    assert await statuses(session, backend, 3) == [200, 200, 503]
    backend.behave(overload_response=OverloadResponse.SLOW)
    assert await statuses(session, backend, 3) == [200, 200, 200]
    assert backend.overload_requests == 2
    assert backend.peak_running == 3


async def test_connections_over_the_limit_are_closed(backend, session):
    """Guards against a limit of connections that nothing counts."""
    backend.behave(work_seconds=0.2, connections=2)
    assert len(await statuses(session, backend, 4)) == 2
    assert backend.refused_connections >= 2


async def test_cold_start_makes_work_longer(backend):
    """Guards against a cold stand-in that serves as a warm one does."""
    backend.behave(work_seconds=2.0, cold_seconds=1e6, cold_factor=5.0)
    assert backend._work_seconds() == 10.0
    backend.behave(cold_seconds=0.0)
    assert backend._work_seconds() == 2.0


async def test_draining_finishes_what_runs(backend, session):
    """Guards against a drain that interrupts running requests."""
    backend.behave(work_seconds=0.3)
    running = asyncio.create_task(send(session, backend))

    async def begun():
        return backend.running == 1

    assert await eventually(begun, 10)
    backend.behave(draining=True)
    assert (await send(session, backend))[0] == 503
    assert (await running)[0] == 200


@pytest.mark.parametrize(('told', 'seen'), [(None, '0'), (97, '97')])
async def test_load_report_may_lie(backend, session, told, seen):
    """Guards against a load report that is always true."""
    backend.behave(load_percent=told)
    assert (await send(session, backend))[1]['Load-Percent'] == seen


async def test_crash_ends_all_requests_and_passes(backend, session):
    """Guards against a crash that spares other requests or stays."""
    backend.behave(work_seconds=5.0, crash_mark=b'poison')
    running = asyncio.create_task(send(session, backend))

    async def begun():
        return backend.running == 1

    assert await eventually(begun, 10)
    assert await send(session, backend, body=b'some poison') is None
    assert await running is None
    assert backend.crashes == 1
    backend.behave(work_seconds=0.0)

    async def served():
        return await send(session, backend) is not None

    assert await eventually(served, 10)
    assert backend.running == 0


async def test_lost_and_truncated_answers_ran(backend, session):
    """Guards against a lost answer whose request did not run."""
    backend.behave(lost=1.0)
    assert await send(session, backend, body=b'order 1') is None
    backend.behave(lost=0.0, truncated=1.0)
    assert await send(session, backend, body=b'order 2') is None
    assert backend.bodies == {b'order 1': 1, b'order 2': 1}


async def test_crossed_answer_names_another_request(backend, session):
    """Guards against a crossed answer that cannot be told apart."""
    own = {headers.REQUEST_ID: 'abc'}
    assert (await send(session, backend, **own))[1][headers.REQUEST_ID] == 'abc'
    backend.behave(crossed=1.0)
    got = await send(session, backend, body=b'mine', **own)
    assert got[1][headers.REQUEST_ID] != 'abc'
    assert b'mine' not in got[2]


async def test_silent_connections_spare_new_ones(backend, session):
    """Guards against silence that also concerns new connections."""
    assert await send(session, backend)
    backend.silence_connections()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await send(session, backend)
    assert await send(session, backend)


async def test_closed_connection_cancels_its_request(backend):
    """Guards against abandoned requests that go on to use a slot.

    In the demo up to 9 requests found no free slot, since a daemon had
    given the slot of an abandoned call to another one.
    """
    backend.behave(work_seconds=3600.0)
    async with aiohttp.ClientSession() as session:
        task = asyncio.create_task(send(session, backend))

        async def runs(count):
            return backend.running == count

        assert await eventually(lambda: runs(1), 30)
        task.cancel()
        assert await eventually(lambda: runs(0), 30)
