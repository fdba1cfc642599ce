"""Which requests are suspected or convicted of a crash, and where they run."""

import asyncio

import pytest

from tanagerbend_admission import RankAdmission
from tanagerbend_daemon.call import MAX_HOPS, Answer
from tanagerbend_daemon.containment import GuardedBackend, QuarantineOwner
from tanagerbend_daemon.suspect_notices import SuspectNotices
from tanagerbend_daemon.tests.call_path import (
    FakeServer,
    make_call,
    member,
    ok,
    plain,
    read_head,
    route_table,
)
from tanagerbend_daemon.tests.memory_fleet import NoPeers, WatchedProcess
from tanagerbend_interfaces import BackendRequest
from tanagerbend_membership import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_quarantine import Quarantine, Verdict, fingerprint
from tanagerbend_timer import ManualTimer, SystemTimer


class RestartedServer:
    """Backend server whose process is restarted.

    A connection to an earlier process is closed when a request arrives on
    it, as if the client received the reset only then.
    """

    def __init__(self):
        self.read = []
        self.process = 1
        self.listener = None
        self.both_arrived = asyncio.Event()

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
        """Run a request; `/poison` crashes the server.

        The first two requests wait for each other, which opens two
        connections.
        """
        self.read.append(path)
        if path == '/poison':
            self.process += 1
            self.listener.close()
            raise ConnectionResetError
        if len(self.read) == 2:
            self.both_arrived.set()
        await self.both_arrived.wait()


@pytest.fixture
async def backend(loopback):
    server = RestartedServer()
    server.address = await loopback.raw(server.serve)
    server.listener = loopback.servers[-1]
    return server


def make_guarded_backend(server, close_idle_connections):
    """Return the guarded backend of a server, without other daemons."""
    recorder = Recorder(SystemTimer())
    quarantine = Quarantine(recorder)
    notices = SuspectNotices(
        quarantine,
        Roster(member('host-1'), recorder),
        NoPeers(),
    )
    return GuardedBackend(
        server,
        'artwork',
        quarantine,
        notices,
        close_idle_connections,
        WatchedProcess(recorder.timer),
    )


@pytest.fixture
async def guarded(loopback, backend):
    server = loopback.http(backend.address)
    return make_guarded_backend(server, server.close_idle_connections)


async def send(guarded, path, seconds=60.0):
    """Send a request; return the result code."""
    request = BackendRequest('GET', path, (), b'', 'id-1')
    deadline = guarded.quarantine.timer.now() + seconds
    outcome = await guarded.exchange(request, deadline)
    match outcome:
        case Refusal(code=code):
            return code
    assert [chunk async for chunk in outcome.chunks] == [b'ok']
    return ResultCode.OK


def fingerprint_of(path):
    """Return the fingerprint of a GET request for a path."""
    return fingerprint('artwork', 'GET', path, b'')


async def test_suspect_sent_after_a_crash_is_not_convicted(guarded, backend):
    """Guards against a conviction of a request that the server never read."""
    await asyncio.gather(send(guarded, '/a'), send(guarded, '/b'))
    quarantine = guarded.quarantine
    quarantine.record_crash(
        [fingerprint_of('/poison'), fingerprint_of('/plate')]
    )
    got = await asyncio.gather(
        send(guarded, '/poison'),
        send(guarded, '/plate'),
    )
    assert backend.read[2:] == ['/poison']
    assert quarantine.verdict(fingerprint_of('/poison')) is Verdict.CONVICTED
    assert quarantine.verdict(fingerprint_of('/plate')) is Verdict.SUSPECT
    assert got == [
        ResultCode.CONNECTION_LOST,
        ResultCode.INSTANCE_UNREACHABLE,
    ]


async def test_suspect_runs_on_a_restarted_server(guarded, backend):
    """Guards against a suspect sent on a connection to an earlier process."""
    await asyncio.gather(send(guarded, '/a'), send(guarded, '/b'))
    quarantine = guarded.quarantine
    quarantine.record_crash([fingerprint_of('/plate')])
    backend.process += 1
    assert await send(guarded, '/plate') is ResultCode.OK
    assert backend.read[2:] == ['/plate']
    assert quarantine.verdict(fingerprint_of('/plate')) is Verdict.CLEAR


class SuspectFleet:
    """Owners of four hosts that all hold the same call as a suspect."""

    def __init__(self):
        self.call = make_call()
        suspect = fingerprint_of(self.call.path)
        members = [member(f'host-{number}') for number in range(4)]
        self.work = (
            route_table(*members)
            .match('artwork', self.call.method, self.call.path)
            .work
        )
        self.owners = {
            own.host: self._owner(own, members, suspect) for own in members
        }
        self.ranked = [
            ranked.host
            for ranked in self.owners['host-0']._ranked_instances(
                'artwork', suspect
            )
        ]

    def _owner(self, own, members, suspect):
        recorder = Recorder(ManualTimer())
        roster = Roster(own, recorder)
        roster.merge(members)
        quarantine = Quarantine(recorder)
        quarantine.record_crash([suspect])
        return QuarantineOwner(
            FakeServer([ok(b'ok')]),
            RankAdmission(recorder, 6),
            roster,
            recorder,
            quarantine=quarantine,
            forward=self.forward,
        )

    async def forward(self, call, member):
        """Run a call at another host, with the hop limit of its handler."""
        if call.hops >= MAX_HOPS:
            return Refusal(ResultCode.TOO_MANY_HOPS, 'forwarding loop')
        return await self.owners[member.host].run(call, self.work)


async def test_suspect_skips_a_server_that_is_down():
    """Guards against daemons that forward a suspect in a loop."""
    fleet = SuspectFleet()
    first, *others = fleet.ranked
    fleet.owners[first].backend.answers = [
        Refusal(ResultCode.INSTANCE_UNREACHABLE, 'refused'),
    ]
    got = {
        host: await owner.run(fleet.call, fleet.work)
        for host, owner in fleet.owners.items()
    }
    # The entry daemon retries this refusal at another instance.
    assert got.pop(first).code is ResultCode.INSTANCE_UNREACHABLE
    assert [type(outcome) for outcome in got.values()] == [Answer] * 3


class CrashingServer:
    """Backend server whose requests run until the test ends the process."""

    def __init__(self):
        self.read = []
        self.ended = asyncio.Event()

    async def exchange(self, request, _deadline):
        """Run a request until the process ends."""
        self.read.append(request.path)
        await self.ended.wait()
        return Refusal(ResultCode.CONNECTION_LOST, 'reset', Ran.UNKNOWN)


@pytest.fixture
def crashing():
    return make_guarded_backend(CrashingServer(), lambda: None)


async def test_crash_with_many_in_flight_is_one_crash(crashing):
    """Guards against convicting all concurrent requests for one crash."""
    paths = [f'/{number}' for number in range(6)]
    sent = [asyncio.create_task(send(crashing, path)) for path in paths]
    while len(crashing.backend.read) < len(paths):
        await asyncio.sleep(0)
    crashing.backend.ended.set()
    await asyncio.gather(*sent)
    verdicts = {
        crashing.quarantine.verdict(fingerprint_of(path)) for path in paths
    }
    assert verdicts == {Verdict.SUSPECT}


async def test_suspect_that_waits_too_long_has_not_run(crashing):
    """Guards against a call that waits for others beyond its deadline."""
    crashing.quarantine.record_crash([fingerprint_of('/plate')])
    running = asyncio.create_task(send(crashing, '/other'))
    while not crashing.backend.read:
        await asyncio.sleep(0)
    async with asyncio.timeout(5):
        refused = await send(crashing, '/plate', 0.05)
    assert refused is ResultCode.DEADLINE_PASSED
    assert crashing.backend.read == ['/other']
    assert not crashing.gate.waiting
    crashing.backend.ended.set()
    await running


async def test_suspect_beside_a_cancelled_request_is_not_convicted(
    crashing,
):
    """Guards against a conviction although a cancelled request may run on."""
    quarantine = crashing.quarantine
    given_up = asyncio.create_task(send(crashing, '/poison'))
    while not crashing.backend.read:
        await asyncio.sleep(0)
    given_up.cancel()
    await asyncio.wait((given_up,))
    quarantine.record_crash([fingerprint_of('/plate')])
    suspect = asyncio.create_task(send(crashing, '/plate'))
    while len(crashing.backend.read) < 2:
        await asyncio.sleep(0)
    crashing.backend.ended.set()
    await suspect
    assert quarantine.verdict(fingerprint_of('/plate')) is Verdict.SUSPECT
    assert quarantine.verdict(fingerprint_of('/poison')) is Verdict.SUSPECT


async def give_up(crashing, path):
    """Send a request and cancel it once the server runs it."""
    given_up = asyncio.create_task(send(crashing, path))
    while path not in crashing.backend.read:
        await asyncio.sleep(0)
    given_up.cancel()
    await asyncio.wait((given_up,))


async def until_watched(crashing):
    """Wait until no abandoned request is watched any more."""
    async with asyncio.timeout(10):
        while crashing.watch.task is not None:
            await asyncio.sleep(0.01)


async def test_crash_under_a_cancelled_request_is_noticed(crashing):
    """Guards against crashes that no one notices once the caller has left."""
    await give_up(crashing, '/poison')
    crashing.process.end()
    await until_watched(crashing)
    quarantine = crashing.quarantine
    assert quarantine.verdict(fingerprint_of('/poison')) is Verdict.SUSPECT


async def test_server_that_outlives_a_cancelled_request_clears_it(crashing):
    """Guards against suspecting a request that does no harm for ever."""
    quarantine = crashing.quarantine
    quarantine.record_crash([fingerprint_of('/plate')])
    await give_up(crashing, '/plate')
    await until_watched(crashing)
    assert quarantine.verdict(fingerprint_of('/plate')) is Verdict.CLEAR
