"""Peer transport: one connection and one reading task for each peer."""

import asyncio
import contextlib
import itertools
from collections import Counter, OrderedDict
from typing import Final

from tanagerbend_interfaces import Message
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_wire.codec import decode, encode
from tanagerbend_wire.frames import count_received, read_block, write_block
from tanagerbend_wire.handshake import Identity, Session, connect_session

MAX_CONNECTIONS: Final = 64


class PeerConnection:
    """Requests in flight on one connection, matched by correlation."""

    def __init__(self, session: Session, recorder: Recorder) -> None:
        self.session = session
        self.recorder = recorder
        self.correlations = itertools.count(1)
        self.waiting: dict[int, asyncio.Future[Message | Refusal]] = {}
        self.is_closed = False
        self.is_retired = False
        self.is_used = False
        self.task = asyncio.create_task(self.read_answers())

    async def read_answers(self) -> None:
        """Hand each answer to its request until the connection ends."""
        try:
            while await self._read_answer():
                """Continue with the next answer."""
        except (OSError, asyncio.IncompleteReadError):
            self.recorder.count('peer_connections_lost')
        finally:
            self.close()

    async def _read_answer(self) -> bool:
        frame = await read_block(self.session.reader)
        match frame:
            case Refusal():
                return self._refuse(frame)
        payload = self.session.incoming.open(frame)
        match payload:
            case Refusal():
                return self._refuse(payload)
        try:
            correlation, message = decode(payload)
        except ValueError as error:
            return self._refuse(
                Refusal(ResultCode.FRAME_MALFORMED, str(error)),
            )
        count_received(self.recorder, message, frame)
        waiting = self.waiting.pop(correlation, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(message)
        return True

    def _refuse(self, refusal: Refusal) -> bool:
        self.recorder.count('frames_refused', refusal.code.name)
        return False

    async def request(self, message: Message) -> Message | Refusal:
        """Send one message and wait for its answer."""
        correlation = next(self.correlations)
        answered = asyncio.get_running_loop().create_future()
        self.waiting[correlation] = answered
        frame = self.session.outgoing.seal(encode(message, correlation))
        try:
            sent = write_block(self.session.writer, frame)
            self.recorder.count(
                'control_bytes_sent',
                type(message).__name__,
                sent,
            )
            answer = await answered
            self.is_used = True
            return answer
        finally:
            self.waiting.pop(correlation, None)
            if self.is_retired and not self.waiting:
                self.close()

    def retire(self) -> None:
        """Close as soon as no request waits; others may still succeed."""
        self.is_retired = True
        if not self.waiting:
            self.close()

    def close(self) -> None:
        """End the connection and all requests that wait on it."""
        self.is_closed = True
        self.task.cancel()
        self.session.writer.close()
        for answered in self.waiting.values():
            if not answered.done():
                answered.set_result(
                    Refusal(ResultCode.PEER_UNREACHABLE, 'connection lost'),
                )


class PeerClient:
    """Peer transport over authenticated TCP connections.

    Explanation
    ===========

    Connections are kept and reused; beyond ``max_connections`` the least
    recently used one is closed, since a daemon talks to random members of
    a large fleet.  A connection on which a request timed out is closed as
    well, because it may have gone silent for good.

    Parameters
    ==========

    identity : Identity
    recorder : Recorder
    max_connections : int
    """

    def __init__(
        self,
        identity: Identity,
        recorder: Recorder,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.identity = identity
        self.recorder = recorder
        self.max_connections = max_connections
        self.connections: OrderedDict[str, PeerConnection] = OrderedDict()
        self.locks: dict[str, asyncio.Lock] = {}
        self.users: Counter[str] = Counter()

    async def request(
        self,
        peer: str,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        """Send to ``address:port``; ``timeout`` in seconds."""
        try:
            async with asyncio.timeout(timeout):
                return await self._request(peer, message)
        except TimeoutError:
            self._retire(peer)
            return Refusal(ResultCode.PEER_TIMEOUT, f'no answer from {peer}')
        except (OSError, ValueError) as error:
            self._retire(peer)
            return Refusal(ResultCode.PEER_UNREACHABLE, str(error))

    async def _request(self, peer: str, message: Message) -> Message | Refusal:
        connection = await self._connection(peer)
        match connection:
            case Refusal():
                return connection
        was_used = connection.is_used
        answer = await connection.request(message)
        if connection.is_closed and was_used and _is_lost(answer):
            connection = await self._connection(peer)
            match connection:
                case Refusal():
                    return connection
            return await connection.request(message)
        return answer

    async def _connection(self, peer: str) -> PeerConnection | Refusal:
        lock = self.locks.setdefault(peer, asyncio.Lock())
        self.users[peer] += 1
        try:
            async with lock:
                return await self._cached_connection(peer)
        finally:
            self.users[peer] -= 1
            if not self.users[peer]:
                self.users.pop(peer)
                self.locks.pop(peer)

    async def _cached_connection(self, peer: str) -> PeerConnection | Refusal:
        known = self.connections.get(peer)
        if known is not None and not known.is_closed:
            self.connections.move_to_end(peer)
            return known
        opened = await self._open(peer)
        match opened:
            case PeerConnection():
                self._remember(peer, opened)
        return opened

    async def _open(self, peer: str) -> PeerConnection | Refusal:
        address, _, port = peer.rpartition(':')
        reader, writer = await asyncio.open_connection(address, int(port))
        try:
            session = await connect_session(self.identity, reader, writer)
        except asyncio.IncompleteReadError:
            writer.close()
            return Refusal(ResultCode.PEER_UNREACHABLE, 'closed in handshake')
        except BaseException:
            writer.close()
            raise
        match session:
            case Refusal():
                writer.close()
                self.recorder.count('frames_refused', session.code.name)
                return session
        self.recorder.count('peer_connections_opened')
        self.recorder.count('control_bytes_sent', 'Hello', session.hello_bytes)
        return PeerConnection(session, self.recorder)

    def _remember(self, peer: str, connection: PeerConnection) -> None:
        self._retire(peer)
        self.connections[peer] = connection
        while len(self.connections) > self.max_connections:
            _peer, oldest = self.connections.popitem(last=False)
            oldest.retire()

    def _retire(self, peer: str) -> None:
        connection = self.connections.pop(peer, None)
        if connection is not None:
            connection.retire()

    async def close(self) -> None:
        """Close all connections."""
        connections = list(self.connections.values())
        self.connections.clear()
        for connection in connections:
            connection.close()
        for closed in connections:
            with contextlib.suppress(asyncio.CancelledError):
                await closed.task


def _is_lost(answer: Message | Refusal) -> bool:
    match answer:
        case Refusal(code=ResultCode.PEER_UNREACHABLE):
            return True
    return False
