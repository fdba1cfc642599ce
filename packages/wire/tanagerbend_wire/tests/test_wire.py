"""Invalid frames, floods and failing connections of the peer transport."""

import asyncio

import pytest

from tanagerbend_interfaces import Ack, Ping, Pong, Suspects, Update
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode, Version
from tanagerbend_timer import SystemTimer
from tanagerbend_wire import PeerClient, PeerServer, decode, encode
from tanagerbend_wire.codec import deserialize, serialize
from tanagerbend_wire.generated.control import ttypes
from tanagerbend_wire.tests.fuzz import (
    CLIENT_IDENTITY,
    FAULTS,
    MEMBER,
    MESSAGES,
    SERVER_IDENTITY,
    run_faulty_connections,
)

TIMEOUT_SECONDS = 20.0


class BlockingHandler:
    """Counts requests; answers ``Ping('slow')`` once ``may_answer`` is set."""

    def __init__(self):
        self.received, self.max_concurrent, self.concurrent = 0, 0, 0
        self.may_answer = asyncio.Event()

    async def answer(self, sender, message):
        self.received += 1
        self.concurrent += 1
        self.max_concurrent = max(self.max_concurrent, self.concurrent)
        if message == Ping('slow'):
            await self.may_answer.wait()
        self.concurrent -= 1
        return (
            Pong(SERVER_IDENTITY.host, 1)
            if isinstance(message, Ping)
            else Ack()
        )


@pytest.fixture
async def peers():
    """Yield handler, server, client and the address of the server."""
    handler = BlockingHandler()
    server = PeerServer(SERVER_IDENTITY, handler, Recorder(SystemTimer()))
    port = await server.start('127.0.0.1', 0)
    client = PeerClient(CLIENT_IDENTITY, Recorder(SystemTimer()))
    yield handler, server, client, f'127.0.0.1:{port}'
    await client.close()
    await server.close()


@pytest.mark.parametrize('seed', [1, 2])
async def test_faulty_frames_are_refused_and_counted(seed):
    """Guards against frames that crash the server or change its state."""
    counts, failures, injector = await run_faulty_connections(2000, seed)
    assert failures == []
    assert len(counts) == len(FAULTS)
    assert injector.recorder.counters.get('events', 'control_fault') == 0
    assert injector.server.tasks == set()
    assert injector.server.writers_by_host == {}


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 77},
        {'incarnation': -1},
        {'sequence': 2**63 - 1},
        {'host': None},
        {'peerAddress': 'x' * 300},
    ],
)
def test_records_with_invalid_fields_are_malformed(changes):
    """Guards against member fields decoded without a check of their range."""
    struct = ttypes.Envelope()
    payload = encode(Update((MEMBER,)), 1)
    deserialize(struct, payload)
    for name, content in changes.items():
        setattr(struct.body.update.members[0], name, content)
    with pytest.raises(ValueError):
        decode(serialize(struct))


@pytest.mark.parametrize(
    'message',
    [
        Suspects('s', (b'',)),
        Suspects('s', (b'f',) * 2000),
        type(MESSAGES[1])(Version((1, 2, 3, 4, 5), 1, b'd' * 32)),
        type(MESSAGES[1])(Version((), -1, b'd' * 32)),
        type(MESSAGES[1])(Version((), 1, b'd' * 31)),
        type(MESSAGES[1])(None, (2**40,)),
        Update((MEMBER,) * 5000),
    ],
)
def test_messages_out_of_bounds_are_malformed(message):
    """Guards against lists and numbers of a peer that exceed their bounds."""
    with pytest.raises(ValueError):
        decode(encode(message, 1))


async def test_slow_answer_does_not_block_others(peers):
    """Guards against pings that time out because an earlier one is slow."""
    handler, _server, client, address = peers
    slow = asyncio.create_task(
        client.request(address, Ping('slow'), TIMEOUT_SECONDS)
    )
    while not handler.received:
        await asyncio.sleep(0)
    assert await client.request(address, Ping(), TIMEOUT_SECONDS) == Pong(
        'host-1', 1
    )
    assert not slow.done()
    handler.may_answer.set()
    assert await slow == Pong('host-1', 1)
    assert client.recorder.counters.get('peer_connections_opened') == 1


async def test_concurrent_answers_of_one_connection_are_bounded(peers):
    """Guards against a peer that occupies a daemon with many requests."""
    handler, _server, client, address = peers
    calls = [
        asyncio.create_task(
            client.request(address, Ping('slow'), TIMEOUT_SECONDS)
        )
        for _ in range(30)
    ]
    while handler.received < 4:
        await asyncio.sleep(0)
    await asyncio.sleep(0.05)
    handler.may_answer.set()
    await asyncio.gather(*calls)
    assert (handler.received, handler.max_concurrent) == (30, 4)


async def test_flood_is_slowed_down_and_counted(peers):
    """Guards against a peer whose messages use all processor time."""
    _handler, server, client, address = peers
    waits = []

    async def sleep(seconds):
        waits.append(seconds)

    server.recorder.timer.sleep = sleep
    for _ in range(300):
        await client.request(address, Ping(), TIMEOUT_SECONDS)
    assert server.recorder.counters.get('peers_slowed_down') == len(waits)
    assert len(waits) > 20


async def test_connections_of_one_host_are_bounded(peers):
    """Guards against a host that opens an unlimited number of connections."""
    _handler, server, client, address = peers
    clients = [PeerClient(CLIENT_IDENTITY, client.recorder) for _ in range(12)]
    for each in clients:
        assert await each.request(address, Ping(), TIMEOUT_SECONDS) == Pong(
            'host-1', 1
        )
    assert server.recorder.counters.get('peer_connections_replaced') >= 8
    for each in clients:
        await each.close()


async def test_request_on_a_closed_connection_is_repeated(peers):
    """Guards against suspecting a peer that closed an idle connection."""
    _handler, server, client, address = peers
    assert await client.request(address, Ping(), TIMEOUT_SECONDS) == Pong(
        'host-1', 1
    )
    for writers in server.writers_by_host.values():
        writers[0].close()
    assert await client.request(address, Ping(), TIMEOUT_SECONDS) == Pong(
        'host-1', 1
    )


async def test_silent_connection_is_replaced(peers):
    """Guards against reuse of a connection on which a request timed out."""
    handler, _server, client, address = peers
    answer = await client.request(address, Ping('slow'), 0.01)
    assert answer.code is ResultCode.PEER_TIMEOUT
    assert await client.request(address, Ping(), TIMEOUT_SECONDS) == Pong(
        'host-1', 1
    )
    assert client.recorder.counters.get('peer_connections_opened') == 2
    assert client.locks == {}
    assert isinstance(await client.request('no address', Ping(), 1), Refusal)
