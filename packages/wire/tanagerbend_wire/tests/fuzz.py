"""Seeded faulty connections and the refusals expected for them."""

import asyncio
import random

import attrs

from tanagerbend_interfaces import (
    Ack,
    Fetch,
    Member,
    MemberState,
    Ping,
    Sync,
    Update,
)
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode, Version
from tanagerbend_timer import ManualTimer
from tanagerbend_wire import Identity, PeerServer, decode, encode
from tanagerbend_wire.frames import LENGTH_PREFIX, MAX_FRAME_BYTES, write_block
from tanagerbend_wire.handshake import connect_session

KEY = b'shared key of the tests'
SERVER_IDENTITY = Identity('tas-south', 'host-1', 1, KEY)
CLIENT_IDENTITY = Identity('tas-south', 'host-2', 2, KEY)
MEMBER = Member(
    'host-2',
    'pattern',
    'kingston',
    'tas-south',
    2,
    1,
    MemberState.LIVE,
    '10.0.0.2:7000',
    '10.0.0.2:7001',
)
VERSION = Version((2026, 12, 4, 0), 7, b'd' * 32)
MESSAGES = (
    Ping('host-1'),
    Sync(VERSION, tuple(range(64)), (MEMBER, MEMBER)),
    Fetch(VERSION, b'h' * 32),
    Update((MEMBER,)),
)


class MemoryWriter:
    """Stream writer that feeds its bytes to a reader in memory."""

    def __init__(self, reader):
        self.reader, self.is_open = reader, True

    def write(self, content):
        if self.is_open:
            self.reader.feed_data(content)

    def close(self):
        if self.is_open:
            self.is_open = False
            self.reader.feed_eof()

    async def drain(self):
        """Return at once; there is no buffer to drain."""


class RecordingHandler:
    """Handler that records the messages it receives."""

    def __init__(self):
        self.received = []

    async def answer(self, sender, message):
        self.received.append(message)
        return Ack()


class FaultInjector:
    """Opens faulty connections to a peer server over in-memory streams."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.handler = RecordingHandler()
        self.recorder = Recorder(ManualTimer())
        self.server = PeerServer(SERVER_IDENTITY, self.handler, self.recorder)

    async def run_connection(self):
        """Run one connection with a randomly chosen fault.

        Returns the name of the fault, the result codes allowed for it, the
        codes counted and the messages that the handler received.  An empty
        code stands for a connection that ended without a refusal.
        """
        fault = self.rng.choice(FAULTS)
        before = dict(self.recorder.counters.counts)
        self.handler.received.clear()
        to_client = asyncio.StreamReader()
        to_server = asyncio.StreamReader()
        writer = MemoryWriter(to_server)
        serving = asyncio.create_task(
            self.server.serve_connection(to_server, MemoryWriter(to_client)),
        )
        allowed = await fault(self.rng, to_client, writer)
        writer.close()
        await serving
        counted = {
            label
            for (name, label), count in self.recorder.counters.counts.items()
            if name in {'frames_refused', 'peer_connections_ended'}
            and before.get((name, label), 0) < count
        }
        codes = {code.name if code else '' for code in allowed}
        return fault.__name__, codes, counted, tuple(self.handler.received)


def mutate(rng, content):
    """Return the content with a few bytes changed, removed or inserted."""
    mutated = bytearray(content)
    for _ in range(rng.randrange(1, 5)):
        index = rng.randrange(len(mutated) + 1)
        match rng.randrange(3):
            case 0:
                mutated[index : index + 1] = bytes([rng.randrange(256)])
            case 1:
                del mutated[index : index + rng.randrange(1, 9)]
            case 2:
                mutated[index:index] = rng.randbytes(rng.randrange(9))
    return bytes(mutated)


async def connect(reader, writer, identity=CLIENT_IDENTITY):
    return await connect_session(identity, reader, writer)


async def random_bytes(rng, reader, writer):
    writer.write(rng.randbytes(rng.randrange(1, 200)))
    return {
        ResultCode.FRAME_TOO_LARGE,
        ResultCode.FRAME_MALFORMED,
        ResultCode.FOREIGN_DEPLOYMENT,
        None,
    }


async def foreign_deployment(rng, reader, writer):
    foreign = attrs.evolve(CLIENT_IDENTITY, deployment='centro-mx')
    task = asyncio.create_task(connect(reader, writer, foreign))
    await asyncio.sleep(0)
    writer.close()
    await asyncio.gather(task, return_exceptions=True)
    return {ResultCode.FOREIGN_DEPLOYMENT}


async def wrong_key(rng, reader, writer):
    intruder = attrs.evolve(CLIENT_IDENTITY, key=rng.randbytes(24))
    task = asyncio.create_task(connect(reader, writer, intruder))
    await asyncio.sleep(0)
    writer.close()
    await asyncio.gather(task, return_exceptions=True)
    return {ResultCode.FRAME_UNAUTHENTICATED}


async def oversized_frame(rng, reader, writer):
    await connect(reader, writer)
    length = rng.randrange(MAX_FRAME_BYTES + 1, 2**32)
    writer.write(LENGTH_PREFIX.pack(length) + rng.randbytes(64))
    return {ResultCode.FRAME_TOO_LARGE}


async def truncated_frame(rng, reader, writer):
    session = await connect(reader, writer)
    frame = session.outgoing.seal(encode(rng.choice(MESSAGES), 1))
    block = LENGTH_PREFIX.pack(len(frame)) + frame
    writer.write(block[: rng.randrange(len(block))])
    return {None}


async def altered_frame(rng, reader, writer):
    session = await connect(reader, writer)
    frame = session.outgoing.seal(encode(rng.choice(MESSAGES), 1))
    index = rng.randrange(len(frame))
    flipped_byte = frame[index] ^ (1 << rng.randrange(8))
    altered = frame[:index] + bytes([flipped_byte]) + frame[index + 1 :]
    write_block(writer, altered)
    return {ResultCode.FRAME_UNAUTHENTICATED}


async def reordered_frame(rng, reader, writer):
    session = await connect(reader, writer)
    session.outgoing.seal(encode(Ping(), 1))
    write_block(writer, session.outgoing.seal(encode(Ping(), 2)))
    return {ResultCode.FRAME_UNAUTHENTICATED}


async def replayed_frame(rng, reader, writer):
    session = await connect(reader, writer)
    frame = session.outgoing.seal(encode(Ping('replayed'), 1))
    write_block(writer, frame)
    write_block(writer, frame)
    return {ResultCode.FRAME_REPLAYED}


async def malformed_payload(rng, reader, writer):
    session = await connect(reader, writer)
    payload = mutate(rng, encode(rng.choice(MESSAGES), 1))
    if rng.random() < 0.2:
        payload = rng.choice((b'\x1c', b'\x19')) * rng.randrange(5000)
    write_block(writer, session.outgoing.seal(payload))
    try:
        decode(payload)
    except ValueError:
        return {ResultCode.FRAME_MALFORMED}
    return {ResultCode.FRAME_MALFORMED, None}


async def answer_as_request(rng, reader, writer):
    session = await connect(reader, writer)
    refusal = encode(Refusal(ResultCode.QUEUE_FULL, 'x' * 500), 1)
    write_block(writer, session.outgoing.seal(refusal))
    return {ResultCode.FRAME_MALFORMED}


FAULTS = (
    random_bytes,
    foreign_deployment,
    wrong_key,
    oversized_frame,
    truncated_frame,
    altered_frame,
    reordered_frame,
    replayed_frame,
    malformed_payload,
    answer_as_request,
)


def find_violation(outcome):
    """Describe how an outcome violates the expectation; '' if it does not."""
    fault, codes, counted, received = outcome
    if not counted or not counted <= codes:
        return f'{fault}: counted {counted}, expected one of {codes}'
    if fault == 'replayed_frame':
        return '' if received in {(), (Ping('replayed'),)} else f'{received}'
    if not received:
        return ''
    if fault == 'malformed_payload':
        # A mutation may produce another valid message.
        (message,) = received
        is_consistent = decode(encode(message, 1))[1] == message
        return (
            ''
            if is_consistent
            else f'{message} changes when encoded and decoded again'
        )
    return f'{fault}: the handler received {received}'


async def run_faulty_connections(count, seed):
    """Run faulty connections; return counts by fault, failures, injector."""
    injector, counts, failures = FaultInjector(seed), {}, []
    for _ in range(count):
        outcome = await injector.run_connection()
        counts[outcome[0]] = counts.get(outcome[0], 0) + 1
        if find_violation(outcome):
            failures.append(find_violation(outcome))
        # Each connection starts with a full rate limit, as of another peer.
        injector.server.rate_limiters.by_host.clear()
    return counts, failures, injector
