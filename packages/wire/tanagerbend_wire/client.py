"""Client side of the peer transport: one connection for each peer."""

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
    """Connection to a peer; matches answers to requests by correlation."""

    def __init__(self, session: Session, recorder: Recorder) -> None:
        self.session = session
        self.recorder = recorder
        self.correlations = itertools.count(1)
        self.pending: dict[int, asyncio.Future[Message | Refusal]] = {}
        self.is_closed = False
        self.is_retired = False
        self.has_answered = False
        self.reader_task = asyncio.create_task(self.read_answers())

    async def read_answers(self) -> None:
        """Complete pending requests until the connection ends."""
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
                return self._reject_frame(frame)
        payload = self.session.incoming.open(frame)
        match payload:
            case Refusal():
                return self._reject_frame(payload)
        try:
            correlation, message = decode(payload)
        except ValueError as error:
            return self._reject_frame(
                Refusal(ResultCode.FRAME_MALFORMED, str(error)),
            )
        count_received(self.recorder, message, frame)
        answer_future = self.pending.pop(correlation, None)
        if answer_future is not None and not answer_future.done():
            answer_future.set_result(message)
        return True

    def _reject_frame(self, refusal: Refusal) -> bool:
        self.recorder.count('frames_refused', refusal.code.name)
        return False

    async def request(self, message: Message) -> Message | Refusal:
        """Send one message and wait for its answer."""
        correlation = next(self.correlations)
        answer_future = asyncio.get_running_loop().create_future()
        self.pending[correlation] = answer_future
        frame = self.session.outgoing.seal(encode(message, correlation))
        try:
            sent = write_block(self.session.writer, frame)
            self.recorder.count(
                'control_bytes_sent',
                type(message).__name__,
                sent,
            )
            answer = await answer_future
            self.has_answered = True
            return answer
        finally:
            self.pending.pop(correlation, None)
            if self.is_retired and not self.pending:
                self.close()

    def retire(self) -> None:
        """Close once no request is pending; those in flight may succeed."""
        self.is_retired = True
        if not self.pending:
            self.close()

    def close(self) -> None:
        """Close the connection and fail all pending requests."""
        self.is_closed = True
        self.reader_task.cancel()
        self.session.writer.close()
        for answer_future in self.pending.values():
            if not answer_future.done():
                answer_future.set_result(
                    Refusal(ResultCode.PEER_UNREACHABLE, 'connection lost'),
                )


class PeerClient:
    """Peer transport over authenticated TCP connections.

    Explanation
    ===========

    Connections are kept open and reused.  Since a daemon talks to random
    members of a large fleet, their number is limited: beyond
    ``max_connections`` the least recently used one is closed.  After a
    timeout a connection gets no further requests and is closed, because the
    peer may have become unreachable without ending the connection.

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
        self.lock_users: Counter[str] = Counter()

    async def request(
        self,
        peer: str,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        """Send a message to ``address:port`` and return the answer.

        ``timeout`` is in seconds and covers connecting as well.
        """
        try:
            async with asyncio.timeout(timeout):
                return await self._request(peer, message)
        except TimeoutError:
            self._retire_connection(peer)
            return Refusal(ResultCode.PEER_TIMEOUT, f'no answer from {peer}')
        except (OSError, ValueError) as error:
            self._retire_connection(peer)
            return Refusal(ResultCode.PEER_UNREACHABLE, str(error))

    async def _request(self, peer: str, message: Message) -> Message | Refusal:
        connection = await self._connection(peer)
        match connection:
            case Refusal():
                return connection
        had_answered = connection.has_answered
        answer = await connection.request(message)
        # The peer may have closed a reused connection, for example on its
        # restart, so the request is sent once more on a new one.
        if connection.is_closed and had_answered and _is_unreachable(answer):
            connection = await self._connection(peer)
            match connection:
                case Refusal():
                    return connection
            return await connection.request(message)
        return answer

    async def _connection(self, peer: str) -> PeerConnection | Refusal:
        lock = self.locks.setdefault(peer, asyncio.Lock())
        self.lock_users[peer] += 1
        try:
            async with lock:
                return await self._cached_connection(peer)
        finally:
            self.lock_users[peer] -= 1
            if not self.lock_users[peer]:
                self.lock_users.pop(peer)
                self.locks.pop(peer)

    async def _cached_connection(self, peer: str) -> PeerConnection | Refusal:
        cached = self.connections.get(peer)
        if cached is not None and not cached.is_closed:
            self.connections.move_to_end(peer)
            return cached
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
            return Refusal(
                ResultCode.PEER_UNREACHABLE,
                'peer closed the connection during the handshake',
            )
        except BaseException:
            writer.close()
            raise
        match session:
            case Refusal():
                writer.close()
                self.recorder.count('frames_refused', session.code.name)
                return session
        self.recorder.count('peer_connections_opened')
        self.recorder.count(
            'control_bytes_sent', 'Hello', session.sent_hello_bytes
        )
        return PeerConnection(session, self.recorder)

    def _remember(self, peer: str, connection: PeerConnection) -> None:
        self._retire_connection(peer)
        self.connections[peer] = connection
        while len(self.connections) > self.max_connections:
            _peer, oldest = self.connections.popitem(last=False)
            oldest.retire()

    def _retire_connection(self, peer: str) -> None:
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
                await closed.reader_task


def _is_unreachable(answer: Message | Refusal) -> bool:
    match answer:
        case Refusal(code=ResultCode.PEER_UNREACHABLE):
            return True
    return False
