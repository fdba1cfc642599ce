"""Large answers that begin to leave, or are given up, in virtual time."""

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

LINK = 481_250
LARGE = 90_000
PLATE = PrefixRoute(
    'plate', 'h', '/p/', (WeightedService('shop'),), Repeat.FREELY, 2.0, 1.0
)


def endpoint_on(uplink):
    return Endpoint(None, None, uplink, Lifetime(uplink.timer))


def test_answer_too_large_for_a_stop_is_not_begun_on_a_free_link():
    """Guards against an answer that is begun and ends with the process."""

    async def begin():
        uplink = Uplink(LoopTimer(), LINK)
        await asyncio.sleep(1)
        endpoint = endpoint_on(uplink)
        transfer = Transfer(uplink, 0, 10 * LARGE)
        now = uplink.timer.now()
        endpoint.lifetime.end_at(now + 0.5 + ANSWER_MARGIN_SECONDS)
        return await endpoint._wait_for_start(transfer, TURN_BYTES)

    assert not run_virtual(begin())


def test_answer_that_can_be_whole_before_a_stop_is_begun():
    """Guards against a stop that gives up what it could answer."""

    async def begin():
        uplink = Uplink(LoopTimer(), LINK)
        await asyncio.sleep(1)
        endpoint = endpoint_on(uplink)
        endpoint.lifetime.end_at(
            uplink.timer.now() + 0.5 + ANSWER_MARGIN_SECONDS
        )
        return await endpoint._wait_for_start(
            Transfer(uplink, 0, LARGE), TURN_BYTES
        )

    assert run_virtual(begin())


def test_answer_is_given_up_at_the_time_of_its_route():
    """Guards against callers that wait beyond the time of the operator."""
    request = Request('id', 'GET', 'h', '/p/', CIMultiDict(), b'', 10.0, 0.0)
    due = sending_limits(request, attrs.evolve(PLATE, timeout=2.0))
    assert due.ends == 2.0

    async def wait():
        uplink = Uplink(LoopTimer(), LINK)
        uplink.spend(5 * LINK)
        transfer = Transfer(uplink, 2, LARGE, due)
        is_begun = await endpoint_on(uplink)._wait_for_start(
            transfer, TURN_BYTES
        )
        ended = uplink.timer.now()
        await uplink.close()
        return is_begun, ended

    assert run_virtual(wait()) == (False, 2.0)


def test_late_answer_to_a_patient_caller_is_sent():
    """Guards against answers that are ready and not delivered."""

    async def wait():
        uplink = Uplink(LoopTimer(), LINK)
        uplink.spend(LINK)
        transfer = Transfer(uplink, 2, LARGE, SendingLimits(2, 0.5, 9.0, 9.0))
        is_begun = await endpoint_on(uplink)._wait_for_start(
            transfer, TURN_BYTES
        )
        await uplink.close()
        return is_begun

    assert run_virtual(wait())


def test_answer_that_waits_for_a_turn_when_a_stop_begins_is_hurried():
    """Guards against an answer begun before a stop that gives way to all."""

    async def stop():
        uplink = Uplink(LoopTimer(), LINK)
        endpoint = endpoint_on(uplink)
        late = Transfer(uplink, 2, LARGE, SendingLimits(2, 0.0, 30.0))
        uplink.spend(LINK)
        endpoint.started_numbers.add(late.number)
        begun = asyncio.create_task(late.turn(TURN_BYTES))
        others = [
            asyncio.create_task(Transfer(uplink, 0, LARGE).turn(TURN_BYTES))
            for _ in range(40)
        ]
        await asyncio.sleep(0)
        endpoint.prioritize_started()
        await asyncio.wait(
            (begun, *others),
            return_when=asyncio.FIRST_COMPLETED,
        )
        is_first = begun.done() and not any(each.done() for each in others)
        await asyncio.gather(begun, *others)
        await uplink.close()
        return is_first

    assert run_virtual(stop())
