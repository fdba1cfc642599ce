"""Seeded faulty connections, with the refusal that each must meet."""

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
from tanagerbend_wire.frames import LENGTH, MAX_FRAME_BYTES, write_block
from tanagerbend_wire.handshake import connect_session

KEY = b'shared key of the tests'
HERE = Identity('tas-south', 'host-1', 1, KEY)
THERE = Identity('tas-south', 'host-2', 2, KEY)
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


class Pipe:
    """Writer whose bytes arrive at a reader."""

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
        """Hold nothing back."""


class State:
    """Handler that notes which messages reached it."""

    def __init__(self):
        self.reached = []

    async def answer(self, sender, message):
        self.reached.append(message)
        return Ack()


class Victim:
    """A peer server behind streams in memory."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.state = State()
        self.recorder = Recorder(ManualTimer())
        self.server = PeerServer(HERE, self.state, self.recorder)

    async def attack(self):
        """Run one faulty connection; return the kind and what happened.

        Returns the name of the fault, the codes that it may be refused
        with, the codes counted, and the messages that reached the handler.
        """
        fault = self.random.choice(FAULTS)
        before = dict(self.recorder.counters.counts)
        self.state.reached.clear()
        outward = asyncio.StreamReader()
        inward = asyncio.StreamReader()
        writer = Pipe(inward)
        serving = asyncio.create_task(
            self.server.serve_connection(inward, Pipe(outward)),
        )
        allowed = await fault(self.random, outward, writer)
        writer.close()
        await serving
        counted = {
            label
            for (name, label), count in self.recorder.counters.counts.items()
            if name in {'frames_refused', 'peer_connections_ended'}
            and before.get((name, label), 0) < count
        }
        codes = {code.name if code else '' for code in allowed}
        return fault.__name__, codes, counted, tuple(self.state.reached)


def mutated(chance, content):
    """Return bytes with a few of them changed, removed or added."""
    changed = bytearray(content)
    for _ in range(chance.randrange(1, 5)):
        place = chance.randrange(len(changed) + 1)
        match chance.randrange(3):
            case 0:
                changed[place : place + 1] = bytes([chance.randrange(256)])
            case 1:
                del changed[place : place + chance.randrange(1, 9)]
            case 2:
                changed[place:place] = chance.randbytes(chance.randrange(9))
    return bytes(changed)


async def connect(reader, writer, identity=THERE):
    return await connect_session(identity, reader, writer)


async def random_bytes(chance, reader, writer):
    writer.write(chance.randbytes(chance.randrange(1, 200)))
    return {
        ResultCode.FRAME_TOO_LARGE,
        ResultCode.FRAME_MALFORMED,
        ResultCode.FOREIGN_DEPLOYMENT,
        None,
    }


async def foreign_deployment(chance, reader, writer):
    foreign = attrs.evolve(THERE, deployment='centro-mx')
    task = asyncio.create_task(connect(reader, writer, foreign))
    await asyncio.sleep(0)
    writer.close()
    await asyncio.gather(task, return_exceptions=True)
    return {ResultCode.FOREIGN_DEPLOYMENT}


async def wrong_key(chance, reader, writer):
    stranger = attrs.evolve(THERE, key=chance.randbytes(24))
    task = asyncio.create_task(connect(reader, writer, stranger))
    await asyncio.sleep(0)
    writer.close()
    await asyncio.gather(task, return_exceptions=True)
    return {ResultCode.FRAME_UNAUTHENTICATED}


async def oversized_frame(chance, reader, writer):
    await connect(reader, writer)
    length = chance.randrange(MAX_FRAME_BYTES + 1, 2**32)
    writer.write(LENGTH.pack(length) + chance.randbytes(64))
    return {ResultCode.FRAME_TOO_LARGE}


async def truncated_frame(chance, reader, writer):
    session = await connect(reader, writer)
    frame = session.outgoing.seal(encode(chance.choice(MESSAGES), 1))
    block = LENGTH.pack(len(frame)) + frame
    writer.write(block[: chance.randrange(len(block))])
    return {None}


async def altered_frame(chance, reader, writer):
    session = await connect(reader, writer)
    frame = session.outgoing.seal(encode(chance.choice(MESSAGES), 1))
    place = chance.randrange(len(frame))
    flipped = frame[place] ^ (1 << chance.randrange(8))
    altered = frame[:place] + bytes([flipped]) + frame[place + 1 :]
    write_block(writer, altered)
    return {ResultCode.FRAME_UNAUTHENTICATED}


async def reordered_frame(chance, reader, writer):
    session = await connect(reader, writer)
    session.outgoing.seal(encode(Ping(), 1))
    write_block(writer, session.outgoing.seal(encode(Ping(), 2)))
    return {ResultCode.FRAME_UNAUTHENTICATED}


async def replayed_frame(chance, reader, writer):
    session = await connect(reader, writer)
    frame = session.outgoing.seal(encode(Ping('replayed'), 1))
    write_block(writer, frame)
    write_block(writer, frame)
    return {ResultCode.FRAME_REPLAYED}


async def malformed_payload(chance, reader, writer):
    session = await connect(reader, writer)
    payload = mutated(chance, encode(chance.choice(MESSAGES), 1))
    if chance.random() < 0.2:
        payload = chance.choice((b'\x1c', b'\x19')) * chance.randrange(5000)
    write_block(writer, session.outgoing.seal(payload))
    try:
        decode(payload)
    except ValueError:
        return {ResultCode.FRAME_MALFORMED}
    return {ResultCode.FRAME_MALFORMED, None}


async def answer_as_request(chance, reader, writer):
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


def verdict(outcome):
    """Return what is wrong with the outcome of an attack, or ''."""
    fault, codes, counted, reached = outcome
    if not counted or not counted <= codes:
        return f'{fault}: counted {counted}, expected one of {codes}'
    if fault == 'replayed_frame':
        return '' if reached in {(), (Ping('replayed'),)} else f'{reached}'
    if not reached:
        return ''
    if fault == 'malformed_payload':
        # A change may leave another valid message behind.
        (message,) = reached
        is_sound = decode(encode(message, 1))[1] == message
        return '' if is_sound else f'{message} is not sound'
    return f'{fault} reached the handler with {reached}'


async def attack(count, seed):
    """Run many attacks; return counts by fault, and the failures."""
    victim, counts, failures = Victim(seed), {}, []
    for _ in range(count):
        outcome = await victim.attack()
        counts[outcome[0]] = counts.get(outcome[0], 0) + 1
        if verdict(outcome):
            failures.append(verdict(outcome))
        # Each attack counts as a connection of a peer of its own.
        victim.server.rates.by_host.clear()
    return counts, failures, victim
