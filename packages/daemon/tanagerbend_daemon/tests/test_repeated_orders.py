"""The counter of orders that were sent more than once."""

import pytest

from tanagerbend_daemon import repeated_orders
from tanagerbend_daemon.repeated_orders import RepeatedOrderCounter
from tanagerbend_interfaces import BackendRequest, BackendResponse
from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_orders import OrderKeyIssuer
from tanagerbend_timer import ManualTimer

RAN = BackendResponse(200, (), None)
NOT_RUN = Refusal(ResultCode.INSTANCE_UNREACHABLE, '')
UNKNOWN = Refusal(ResultCode.OUTCOME_UNKNOWN, '', Ran.UNKNOWN)


class Backend:
    """Backend server that returns a configured response."""

    answer = RAN

    async def exchange(self, request, deadline):
        return self.answer


@pytest.fixture
def counter():
    recorder = Recorder(ManualTimer())
    issuer = OrderKeyIssuer(b'key of the deployment', recorder.timer)
    return RepeatedOrderCounter(Backend(), issuer, recorder)


async def send(counter, token, answer=RAN):
    """Send an order; return how many were started again so far."""
    counter.backend.answer = answer
    pairs = (('idempotency-key', token),)
    await counter.exchange(BackendRequest('POST', '/', pairs, b'', 'r'), 9.0)
    return counter.recorder.counters.total('orders_started_again')


@pytest.mark.parametrize(
    ('first', 'counted'),
    [(RAN, 1), (UNKNOWN, 1), (NOT_RUN, 0)],
)
async def test_second_start_is_counted(counter, first, counted):
    """Guards against an order that runs twice without being counted."""
    token = counter.issuer.issue('order', 'host-1', 1).token
    assert await send(counter, token, first) == 0
    assert await send(counter, token) == counted


async def test_other_keys_are_not_counted(counter):
    """Guards against counting calls that carry keys of the callers."""
    for _ in range(3):
        assert await send(counter, 'key of a caller') == 0
    for _ in range(3):
        token = counter.issuer.issue('order', 'host-1', 1).token
        assert await send(counter, token) == 0


async def test_memory_is_bounded(counter, monkeypatch):
    """Guards against memory that grows with the number of orders."""
    monkeypatch.setattr(repeated_orders, 'MAX_NONCES', 10)
    for _ in range(50):
        await send(counter, counter.issuer.issue('order', 'host-1', 1).token)
    assert len(counter.sent_nonces) == 10
