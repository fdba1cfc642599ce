"""Refusals that a faulty instance sends twice on a kept connection."""

import asyncio

import attrs
import pytest
from multidict import CIMultiDict

from tanagerbend_admission import ObjectiveQueue
from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, ResultCode
from tanagerbend_proxy.crash_exchange import make_suspicions
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.exchange import make_session
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.messages import Answer, Placed, Request
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.uplink import Uplink
from tanagerbend_routing import (
    InstanceRegistry,
    ListedInstance,
    Repeat,
    RetryBudgetSettings,
)
from tanagerbend_standins.raw_server import ClosingHandler
from tanagerbend_timer import SystemTimer

NAMES = HeaderNames(
    **{name: f'X-{name}' for name in attrs.fields_dict(HeaderNames)},
)
BUDGET = RetryBudgetSettings(ratio=0.2, window=10.0, extra=60.0)
WORK_SECONDS = 0.05
REFUSALS = {
    'shed': b'HTTP/1.1 503 Service Unavailable\r\nX-not_run: 1\r\n',
    'of another instance': b'HTTP/1.1 421 Misdirected Request\r\n',
}


def identifier_line(identifier):
    """Return the header line with the identifier of a request."""
    return b'X-request_id: ' + identifier + b'\r\n'


def identifier_of(head):
    """Return the identifier in the headers of a request."""
    return head.split(b'X-request_id: ')[1].split(b'\r\n')[0]


@attrs.define
class FaultyInstance:
    """Instance that refuses a request and runs the next one.

    It sends the refusal a second time, before or after the next request.
    """

    refusal: bytes
    is_named: bool
    is_late: bool
    runs: list = attrs.field(factory=list)

    async def serve(self, reader, writer):
        """Serve two requests on one connection."""
        first = identifier_of(await reader.readuntil(b'\r\n\r\n'))
        name = identifier_line(first) if self.is_named else b''
        refusal = self.refusal + name + b'Content-Length: 0\r\n\r\n'
        writer.write(refusal)
        if not self.is_late:
            writer.write(refusal)
        second = identifier_of(await reader.readuntil(b'\r\n\r\n'))
        self.runs.append(second)
        if self.is_late:
            writer.write(refusal)
        await asyncio.sleep(WORK_SECONDS)
        writer.write(
            b'HTTP/1.1 200 OK\r\nX-stamp: 1\r\n'
            + identifier_line(second)
            + b'Content-Length: 4\r\n\r\ndone',
        )
        await reader.read()


@pytest.fixture
async def ask():
    """Return a function that sends two orders through an owner.

    They are for different instances, since an owner sends no more requests
    for an instance after it was answered 421.
    """
    session = make_session(5.0, 1)
    servers = []
    owners = []

    async def send(instance, placed_at=('i-1', 'i-2')):
        server = await asyncio.start_server(
            ClosingHandler(instance.serve),
            '127.0.0.1',
            0,
        )
        servers.append(server)
        host, port = server.sockets[0].getsockname()
        recorder = Recorder(SystemTimer())
        registry = InstanceRegistry(recorder)
        address = f'{host}:{port}'
        registry.put(ListedInstance('i-1', address, 'shop', 'north', 1))
        owner = Owner(
            address,
            session,
            ObjectiveQueue(recorder.timer, 1),
            NAMES,
            recorder,
            registry,
            Uplink(recorder.timer),
            BUDGET,
            make_suspicions(recorder, NAMES, DecisionLog('host', recorder)),
        )
        owners.append(owner)
        results = []
        for number, identity in zip('12', placed_at, strict=True):
            placed = Placed(identity, 'order', 0, Repeat.NEVER, 2.0, 2.0)
            headers = CIMultiDict({NAMES.request_id: number})
            request = Request(number, 'POST', 'h', '/', headers, b'', 2.0, 0.0)
            results.append((await owner.run(request, placed)).result)
        return results

    yield send
    for owner in owners:
        await owner.close()
    for server in servers:
        server.close()


@pytest.mark.parametrize('is_late', [False, True])
@pytest.mark.parametrize('is_named', [False, True])
@pytest.mark.parametrize('kind', REFUSALS)
async def test_late_refusal_is_no_proof_that_a_request_has_not_run(
    ask, kind, is_named, is_late
):
    """Guards against an order that runs twice.

    The second copy of a refusal reaches the next request.  If it counts as
    "not run" there, that order runs and is repeated.
    """
    instance = FaultyInstance(REFUSALS[kind], is_named, is_late)
    first, second = await ask(instance)
    assert first.ran is Ran.NO
    ran = b'2' in instance.runs
    match second:
        case Answer(body=body):
            assert body == b'done'
        case _:
            assert second.ran is Ran.UNKNOWN or not ran


async def test_refusal_on_a_new_connection_is_accepted(ask):
    """Guards against refusals that count as unknown outcomes."""
    for kind, code in (
        ('shed', ResultCode.BACKEND_SHED_LOAD),
        ('of another instance', ResultCode.NO_INSTANCE),
    ):
        first, _ = await ask(FaultyInstance(REFUSALS[kind], False, True))
        assert (first.code, first.ran) == (code, Ran.NO)


async def test_no_more_is_sent_for_an_instance_that_is_not_there(ask):
    """Guards against one repeat for each request at an outdated entry."""
    instance = FaultyInstance(REFUSALS['of another instance'], True, True)
    first, second = await ask(instance, ('i-1', 'i-1'))
    for result in (first, second):
        assert (result.code, result.ran) == (ResultCode.NO_INSTANCE, Ran.NO)
    assert not instance.runs
