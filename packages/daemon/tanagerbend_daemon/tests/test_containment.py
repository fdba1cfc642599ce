"""What counts as a crash of a request that runs alone."""

import asyncio

import pytest

from tanagerbend_daemon.containment import GuardedBackend
from tanagerbend_daemon.suspect_notices import SuspectNotices
from tanagerbend_daemon.tests.call_path import member, plain, read_head
from tanagerbend_daemon.tests.memory_fleet import NoPeers
from tanagerbend_interfaces import BackendRequest
from tanagerbend_membership import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_quarantine import Quarantine, Verdict, fingerprint
from tanagerbend_timer import SystemTimer


class RestartedServer:
    """Backend server whose process is replaced by another.

    A connection to an earlier process is closed when a request arrives on
    it, as if the reset had reached the client only then.
    """

    def __init__(self):
        self.read = []
        self.process = 1
        self.listener = None
        self.both_came = asyncio.Event()

    async def serve(self, reader, writer):
        """Answer the requests on a connection."""
        process = self.process
        try:
            while True:
                head = await read_head(reader)
                if process != self.process:
                    raise ConnectionResetError
                await self._run(head.split()[1])
                writer.write(plain())
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _run(self, path):
        """Run a request; `/poison` crashes, the first two wait together."""
        self.read.append(path)
        if path == '/poison':
            self.process += 1
            self.listener.close()
            raise ConnectionResetError
        if len(self.read) == 2:
            self.both_came.set()
        await self.both_came.wait()


@pytest.fixture
async def backend(loopback):
    server = RestartedServer()
    server.address = await loopback.raw(server.serve)
    server.listener = loopback.servers[-1]
    return server


@pytest.fixture
async def guarded(loopback, backend):
    recorder = Recorder(SystemTimer())
    quarantine = Quarantine(recorder)
    notices = SuspectNotices(
        quarantine,
        Roster(member('host-1'), recorder),
        NoPeers(),
    )
    server = loopback.http(backend.address)
    return GuardedBackend(
        server,
        'artwork',
        quarantine,
        notices,
        server.drop_kept,
    )


async def send(guarded, path):
    """Send a request; return the result code."""
    request = BackendRequest('GET', path, (), b'', 'id-1')
    deadline = guarded.quarantine.timer.now() + 60
    outcome = await guarded.exchange(request, deadline)
    match outcome:
        case Refusal(code=code):
            return code
    assert [chunk async for chunk in outcome.chunks] == [b'ok']
    return ResultCode.OK


def print_of(path):
    """Return the fingerprint of a request."""
    return fingerprint('artwork', 'GET', path, b'')


async def test_suspect_sent_after_a_crash_is_not_convicted(guarded, backend):
    """Guards against a crash charged to a request that was never read."""
    await asyncio.gather(send(guarded, '/a'), send(guarded, '/b'))
    quarantine = guarded.quarantine
    quarantine.crashed([print_of('/poison'), print_of('/plate')])
    got = await asyncio.gather(
        send(guarded, '/poison'),
        send(guarded, '/plate'),
    )
    assert backend.read[2:] == ['/poison']
    assert quarantine.check(print_of('/poison')) is Verdict.CONVICTED
    assert quarantine.check(print_of('/plate')) is Verdict.SUSPECT
    assert got == [
        ResultCode.CONNECTION_LOST,
        ResultCode.INSTANCE_UNREACHABLE,
    ]


async def test_suspect_runs_on_a_restarted_server(guarded, backend):
    """Guards against a suspect lost with a connection from before."""
    await asyncio.gather(send(guarded, '/a'), send(guarded, '/b'))
    quarantine = guarded.quarantine
    quarantine.crashed([print_of('/plate')])
    backend.process += 1
    assert await send(guarded, '/plate') is ResultCode.OK
    assert backend.read[2:] == ['/plate']
    assert quarantine.check(print_of('/plate')) is Verdict.CLEAR
