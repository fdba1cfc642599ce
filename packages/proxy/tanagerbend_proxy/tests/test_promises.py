"""Answers of an instance whose status says that a request has not run."""

import attrs
import pytest

from tanagerbend_model import Ran, ResultCode
from tanagerbend_proxy.tests.test_late_refusals import (
    ask,
    identifier_line,
    identifier_of,
)

__all__ = ('ask',)

STAMP = b'X-stamp: 1\r\n'
NOT_RUN = b'X-not_run: 1\r\n'


@attrs.define
class StatusInstance:
    """Instance that runs each request and answers with a status."""

    status: int
    headers: bytes = b''
    is_named: bool = True
    runs: int = 0

    async def serve(self, reader, writer):
        """Run the requests on one connection."""
        while True:
            identifier = identifier_of(await reader.readuntil(b'\r\n\r\n'))
            self.runs += 1
            name = identifier_line(identifier) if self.is_named else b''
            writer.write(
                f'HTTP/1.1 {self.status} Status\r\n'.encode()
                + name
                + self.headers
                + b'Content-Length: 0\r\n\r\n',
            )


@pytest.mark.parametrize('status', [408, 429, 503])
@pytest.mark.parametrize(
    ('headers', 'is_named'),
    [
        (STAMP, True),
        (b'', True),
        (b'', False),
        (STAMP + b'Retry-After: 0.1\r\n', True),
    ],
    ids=['stamped', 'plain', 'unnamed', 'retry after'],
)
async def test_status_of_an_instance_is_no_promise(
    ask, status, headers, is_named
):
    """Guards against a caller that repeats an order that has run."""
    instance = StatusInstance(status, headers, is_named)
    for result in await ask(instance):
        assert result.ran is Ran.UNKNOWN
    assert instance.runs == 2


async def test_refused_call_is_no_promise_for_the_request_that_made_it(ask):
    """Guards against believing a refusal that an instance passes on.

    It has the identifier of a call that the instance made of another service.
    """
    of_call = b'X-request_id: call-1\r\nRetry-After: 0.1\r\n'
    instance = StatusInstance(503, of_call, is_named=False)
    first, _second = await ask(instance)
    assert first.ran is Ran.UNKNOWN
    assert instance.runs


async def test_statement_of_an_instance_is_a_promise(ask):
    """Guards against refusals that count as unknown outcomes."""
    for status, headers, code in (
        (503, NOT_RUN, ResultCode.BACKEND_SHED_LOAD),
        (429, NOT_RUN, ResultCode.BACKEND_SHED_LOAD),
        (421, b'', ResultCode.NO_INSTANCE),
    ):
        for result in await ask(StatusInstance(status, headers)):
            assert (result.code, result.ran) == (code, Ran.NO)


async def test_other_failures_are_passed_on(ask):
    """Guards against replacing an answer that promises nothing."""
    for status in (400, 404, 500, 502, 504):
        for result in await ask(StatusInstance(status, STAMP)):
            assert result.status == status
