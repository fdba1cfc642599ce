"""Start and abandonment of large answers, in virtual time."""

import asyncio

import attrs
from multidict import CIMultiDict

from tanagerbend_emulator.virtual import LoopTimer, run_virtual
from tanagerbend_proxy.results import sending_limits
from tanagerbend_proxy.endpoint import Endpoint
from tanagerbend_proxy.lifetime import ANSWER_MARGIN_SECONDS, Lifetime
from tanagerbend_proxy.messages import Request
from tanagerbend_proxy.uplink import TURN_BYTES, SendingLimits, Transfer, Uplink
from tanagerbend_routing import WeightedService, PrefixRoute, Repeat

# Bytes per second.
LINK_RATE = 481_250
LARGE_BYTES = 90_000
ROUTE = PrefixRoute(
    'plate', 'h', '/p/', (WeightedService('shop'),), Repeat.FREELY, 2.0, 1.0
)


def make_endpoint(uplink):
    return Endpoint(None, None, uplink, Lifetime(uplink.timer))


def test_answer_too_large_for_a_stop_is_not_started_on_a_free_link():
    """Guards against an answer that the end of the process truncates."""

    async def start():
        uplink = Uplink(LoopTimer(), LINK_RATE)
        await asyncio.sleep(1)
        endpoint = make_endpoint(uplink)
        transfer = Transfer(uplink, 0, 10 * LARGE_BYTES)
        now = uplink.timer.now()
        endpoint.lifetime.end_at(now + 0.5 + ANSWER_MARGIN_SECONDS)
        return await endpoint._wait_for_start(transfer, TURN_BYTES)

    assert not run_virtual(start())


def test_answer_that_can_be_complete_before_a_stop_is_started():
    """Guards against a stop that drops answers it has time to send."""

    async def start():
        uplink = Uplink(LoopTimer(), LINK_RATE)
        await asyncio.sleep(1)
        endpoint = make_endpoint(uplink)
        endpoint.lifetime.end_at(
            uplink.timer.now() + 0.5 + ANSWER_MARGIN_SECONDS
        )
        return await endpoint._wait_for_start(
            Transfer(uplink, 0, LARGE_BYTES), TURN_BYTES
        )

    assert run_virtual(start())


def test_answer_is_given_up_at_the_timeout_of_its_route():
    """Guards against callers that wait beyond the timeout of a route."""
    request = Request('id', 'GET', 'h', '/p/', CIMultiDict(), b'', 10.0, 0.0)
    limits = sending_limits(request, attrs.evolve(ROUTE, timeout=2.0))
    assert limits.abandon_at == 2.0

    async def wait():
        uplink = Uplink(LoopTimer(), LINK_RATE)
        uplink.spend(5 * LINK_RATE)
        transfer = Transfer(uplink, 2, LARGE_BYTES, limits)
        is_started = await make_endpoint(uplink)._wait_for_start(
            transfer, TURN_BYTES
        )
        ended = uplink.timer.now()
        await uplink.close()
        return is_started, ended

    assert run_virtual(wait()) == (False, 2.0)


def test_late_answer_to_a_patient_caller_is_sent():
    """Guards against answers dropped though their caller still waits."""

    async def wait():
        uplink = Uplink(LoopTimer(), LINK_RATE)
        uplink.spend(LINK_RATE)
        transfer = Transfer(
            uplink, 2, LARGE_BYTES, SendingLimits(2, 0.5, 9.0, 9.0)
        )
        is_started = await make_endpoint(uplink)._wait_for_start(
            transfer, TURN_BYTES
        )
        await uplink.close()
        return is_started

    assert run_virtual(wait())


def test_started_answer_is_prioritized_when_a_stop_begins():
    """Guards against a started answer that waits for others in a stop."""

    async def stop():
        uplink = Uplink(LoopTimer(), LINK_RATE)
        endpoint = make_endpoint(uplink)
        transfer = Transfer(uplink, 2, LARGE_BYTES, SendingLimits(2, 0.0, 30.0))
        uplink.spend(LINK_RATE)
        endpoint.started_numbers.add(transfer.number)
        started = asyncio.create_task(transfer.turn(TURN_BYTES))
        others = [
            asyncio.create_task(
                Transfer(uplink, 0, LARGE_BYTES).turn(TURN_BYTES)
            )
            for _ in range(40)
        ]
        await asyncio.sleep(0)
        endpoint.prioritize_started()
        await asyncio.wait(
            (started, *others),
            return_when=asyncio.FIRST_COMPLETED,
        )
        is_first = started.done() and not any(each.done() for each in others)
        await asyncio.gather(started, *others)
        await uplink.close()
        return is_first

    assert run_virtual(stop())
