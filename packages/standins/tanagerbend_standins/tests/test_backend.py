"""Faults of the stand-in backend server take effect."""

import asyncio

import aiohttp
import pytest

from tanagerbend_model import headers
from tanagerbend_standins import OverloadResponse, wait_until


async def send(session, backend, path='/plates', body=None, **request_headers):
    """Return status, headers and body of an answer; None if it failed."""
    try:
        async with session.post(
            f'http://{backend.address}{path}',
            data=body,
            headers=request_headers,
        ) as response:
            return response.status, response.headers, await response.read()
    except aiohttp.ClientError:
        return None


async def statuses(session, backend, count):
    """Return the sorted statuses of concurrent requests."""
    outcomes = await asyncio.gather(
        *(send(session, backend) for _ in range(count))
    )
    return sorted(outcome[0] for outcome in outcomes if outcome)


async def test_requests_over_the_slots_are_refused_or_slow(backend, session):
    """Guards against overload that is neither refused nor counted."""
    backend.update_behaviour(work_seconds=0.2, slots=2)
    assert await statuses(session, backend, 3) == [200, 200, 503]
    backend.update_behaviour(overload_response=OverloadResponse.SLOW)
    assert await statuses(session, backend, 3) == [200, 200, 200]
    assert backend.overload_requests == 2
    assert backend.peak_running == 3


async def test_connections_over_the_limit_are_closed(backend, session):
    """Guards against a connection limit that is not enforced."""
    backend.update_behaviour(work_seconds=0.2, connections=2)
    assert len(await statuses(session, backend, 4)) == 2
    assert backend.refused_connections >= 2


async def test_cold_start_makes_work_longer(backend):
    """Guards against a cold start that does not slow down requests."""
    backend.update_behaviour(
        work_seconds=2.0, cold_seconds=1e6, cold_factor=5.0
    )
    assert backend._work_seconds() == 10.0
    backend.update_behaviour(cold_seconds=0.0)
    assert backend._work_seconds() == 2.0


async def test_draining_finishes_what_runs(backend, session):
    """Guards against a drain that interrupts running requests."""
    backend.update_behaviour(work_seconds=0.3)
    running = asyncio.create_task(send(session, backend))

    async def is_running():
        return backend.running == 1

    assert await wait_until(is_running, 10)
    backend.update_behaviour(draining=True)
    assert (await send(session, backend))[0] == 503
    assert (await running)[0] == 200


@pytest.mark.parametrize(('configured', 'reported'), [(None, '0'), (97, '97')])
async def test_reported_load_can_be_overridden(
    backend, session, configured, reported
):
    """Guards against a configured load that is not reported."""
    backend.update_behaviour(load_percent=configured)
    assert (await send(session, backend))[1]['Load-Percent'] == reported


async def test_crash_aborts_all_requests_and_restarts(backend, session):
    """Guards against a crash without aborted requests or a restart."""
    backend.update_behaviour(work_seconds=5.0, crash_trigger=b'poison')
    running = asyncio.create_task(send(session, backend))

    async def is_running():
        return backend.running == 1

    assert await wait_until(is_running, 10)
    assert await send(session, backend, body=b'some poison') is None
    assert await running is None
    assert backend.crashes == 1
    backend.update_behaviour(work_seconds=0.0)

    async def is_restarted():
        return await send(session, backend) is not None

    assert await wait_until(is_restarted, 10)
    assert backend.running == 0


async def test_lost_and_truncated_answers_ran(backend, session):
    """Guards against lost or truncated answers without a run."""
    backend.update_behaviour(lost_share=1.0)
    assert await send(session, backend, body=b'order 1') is None
    backend.update_behaviour(lost_share=0.0, truncated_share=1.0)
    assert await send(session, backend, body=b'order 2') is None
    assert backend.run_counts_by_body == {b'order 1': 1, b'order 2': 1}


async def test_crossed_answer_names_another_request(backend, session):
    """Guards against a crossed answer that callers cannot detect."""
    request_headers = {headers.REQUEST_ID: 'abc'}
    assert (await send(session, backend, **request_headers))[1][
        headers.REQUEST_ID
    ] == 'abc'
    backend.update_behaviour(crossed_share=1.0)
    answer = await send(session, backend, body=b'mine', **request_headers)
    assert answer[1][headers.REQUEST_ID] != 'abc'
    assert b'mine' not in answer[2]


async def test_silent_connections_spare_new_ones(backend, session):
    """Guards against silence that also affects new connections."""
    assert await send(session, backend)
    backend.silence_connections()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await send(session, backend)
    assert await send(session, backend)


async def test_closed_connection_cancels_its_request(backend):
    """Guards against abandoned requests that keep their slot.

    A daemon gives the slot of an abandoned call to another one.  In the
    demo up to 9 requests therefore found no free slot.
    """
    backend.update_behaviour(work_seconds=3600.0)
    async with aiohttp.ClientSession() as session:
        task = asyncio.create_task(send(session, backend))

        async def has_running(count):
            return backend.running == count

        assert await wait_until(lambda: has_running(1), 30)
        task.cancel()
        assert await wait_until(lambda: has_running(0), 30)
