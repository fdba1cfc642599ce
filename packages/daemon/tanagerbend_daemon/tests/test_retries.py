"""Retries of the entry daemon."""

import random

import pytest

from tanagerbend_daemon.call import Answer, Call
from tanagerbend_daemon.entry import CallHandler
from tanagerbend_interfaces import (
    BackendResponse,
    Host,
)
from tanagerbend_membership.roster import placeholder
from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode, Version, accept, headers
from tanagerbend_routing import Balancer, RouteTable
from tanagerbend_timer import ManualTimer

SHEET = b'service,work,rank\nartwork,plates,3\n'
HOSTS = tuple(f'host-{number}' for number in range(4))
UNREACHABLE = Refusal(ResultCode.INSTANCE_UNREACHABLE, 'refused')
LOST = Refusal(ResultCode.CONNECTION_LOST, 'lost', Ran.UNKNOWN)


class FakeDaemon:
    """Answers for one host, unless the host is in ``refusals``."""

    def __init__(self, host, refusals):
        self.host = host
        self.refusals = refusals

    async def exchange(self, request, deadline):
        if self.host in self.refusals:
            return self.refusals[self.host]
        own = (
            (headers.REQUEST_ID, request.request_id),
            (headers.RESULT, '0'),
            (headers.RAN, 'yes'),
        )
        return BackendResponse(200, own, chunks())


async def chunks():
    yield b'plate'


@pytest.fixture
def refusals():
    """Return the refusals of hosts, empty at first."""
    return {}


@pytest.fixture
def handler(refusals):
    """Return an entry daemon without an instance of its own."""
    recorder = Recorder(ManualTimer())
    members = tuple(
        placeholder(Host(host, 'artwork', 'kingston', 'tas-south', host, ''))
        for host in HOSTS
    )
    handler = CallHandler(
        'entry',
        b'key',
        None,
        Balancer('kingston', random.Random(3), recorder),
        lambda address: FakeDaemon(address, refusals),
        recorder,
    )
    sheet = accept(SHEET).sheet
    version = Version((), 1, b'')
    handler.adopt(RouteTable.build(version, sheet, lambda _service: members))
    return handler


def make_call():
    return Call(
        service='artwork',
        method='GET',
        path='/plates',
        header_pairs=(),
        body=b'',
        tenant='studio',
        rank=0,
        deadline=float('inf'),
        hops=0,
        request_id='id',
    )


async def test_unreachable_instances_do_not_use_up_the_budget(
    handler,
    refusals,
):
    """Guards against calls that fail although other instances are free.

    With a budget that counted failed connections, up to 2% of the calls
    failed in the demo when a daemon was killed.
    """
    refusals['host-0'] = UNREACHABLE
    while handler.budget.may_retry('artwork'):
        """Spend what is saved."""
    for _ in range(20):
        assert isinstance(await handler.handle(make_call()), Answer)


async def test_lost_calls_use_up_the_budget(handler, refusals):
    """Guards against retries that multiply the load of a failing service."""
    refusals.update(dict.fromkeys(HOSTS, LOST))
    for _ in range(100):
        assert (await handler.handle(make_call())).code is LOST.code
    assert 1 <= handler.recorder.counters.total('retries') <= 20
