"""Frames that are not valid, floods, and connections that fail."""

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
    FAULTS,
    HERE,
    MEMBER,
    MESSAGES,
    THERE,
    attack,
)

SECONDS = 20.0


class Handler:
    """Answers pings after a wait that the test ends."""

    def __init__(self):
        self.reached, self.most, self.now = 0, 0, 0
        self.go_on = asyncio.Event()

    async def answer(self, sender, message):
        self.reached += 1
        self.now += 1
        self.most = max(self.most, self.now)
        if message == Ping('slow'):
            await self.go_on.wait()
        self.now -= 1
        return Pong(HERE.host, 1) if isinstance(message, Ping) else Ack()


@pytest.fixture
async def peers():
    """Return handler, server, client and the server's address."""
    handler = Handler()
    server = PeerServer(HERE, handler, Recorder(SystemTimer()))
    port = await server.start('127.0.0.1', 0)
    client = PeerClient(THERE, Recorder(SystemTimer()))
    yield handler, server, client, f'127.0.0.1:{port}'
    await client.close()
    await server.close()


@pytest.mark.parametrize('seed', [1, 2])
async def test_faulty_frames_are_refused_and_counted(seed):
    """Guards against frames that crash the server or change its state."""
    counts, failures, victim = await attack(2000, seed)
    assert failures == []
    assert len(counts) == len(FAULTS)
    assert victim.recorder.counters.get('events', 'control_fault') == 0
    assert victim.server.tasks == set()
    assert victim.server.by_host == {}


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
def test_records_with_impossible_fields_are_malformed(changes):
    """Guards against states, numbers and lengths taken as they come."""
    struct = ttypes.Envelope()
    wire = encode(Update((MEMBER,)), 1)
    deserialize(struct, wire)
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
    """Guards against lists and numbers of any length from a peer."""
    with pytest.raises(ValueError):
        decode(encode(message, 1))


async def test_slow_answer_does_not_hold_back_others(peers):
    """Guards against pings that time out behind a slow one."""
    handler, _server, client, address = peers
    slow = asyncio.create_task(client.request(address, Ping('slow'), SECONDS))
    while not handler.reached:
        await asyncio.sleep(0)
    assert await client.request(address, Ping(), SECONDS) == Pong('host-1', 1)
    assert not slow.done()
    handler.go_on.set()
    assert await slow == Pong('host-1', 1)
    assert client.recorder.counters.get('peer_connections_opened') == 1


async def test_work_of_one_connection_is_bounded(peers):
    """Guards against a peer that makes a daemon hold many answers."""
    handler, _server, client, address = peers
    calls = [
        asyncio.create_task(client.request(address, Ping('slow'), SECONDS))
        for _ in range(30)
    ]
    while handler.reached < 4:
        await asyncio.sleep(0)
    await asyncio.sleep(0.05)
    handler.go_on.set()
    await asyncio.gather(*calls)
    assert (handler.reached, handler.most) == (30, 4)


async def test_flood_is_slowed_down_and_counted(peers):
    """Guards against a peer that takes all of a daemon's time."""
    _handler, server, client, address = peers
    waits = []

    async def sleep(seconds):
        waits.append(seconds)

    server.recorder.timer.sleep = sleep
    for _ in range(300):
        await client.request(address, Ping(), SECONDS)
    assert server.recorder.counters.get('peers_slowed_down') == len(waits)
    assert len(waits) > 20


async def test_connections_of_one_host_are_bounded(peers):
    """Guards against a host that opens connections without end."""
    _handler, server, client, address = peers
    clients = [PeerClient(THERE, client.recorder) for _ in range(12)]
    for one in clients:
        assert await one.request(address, Ping(), SECONDS) == Pong('host-1', 1)
    assert server.recorder.counters.get('peer_connections_replaced') >= 8
    for one in clients:
        await one.close()


async def test_request_on_a_closed_connection_is_repeated(peers):
    """Guards against suspicion because a kept connection had ended."""
    _handler, server, client, address = peers
    assert await client.request(address, Ping(), SECONDS) == Pong('host-1', 1)
    for writers in server.by_host.values():
        writers[0].close()
    assert await client.request(address, Ping(), SECONDS) == Pong('host-1', 1)


async def test_silent_connection_is_replaced(peers):
    """Guards against requests that keep to a connection gone silent."""
    handler, _server, client, address = peers
    answer = await client.request(address, Ping('slow'), 0.01)
    assert answer.code is ResultCode.PEER_TIMEOUT
    assert await client.request(address, Ping(), SECONDS) == Pong('host-1', 1)
    assert client.recorder.counters.get('peer_connections_opened') == 2
    assert client.locks == {}
    assert isinstance(await client.request('no address', Ping(), 1), Refusal)
