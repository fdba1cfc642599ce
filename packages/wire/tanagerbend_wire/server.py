"""Server side of the peer transport: one reading task per connection."""

import asyncio
from typing import Final

from tanagerbend_interfaces import Message, PeerHandler
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_wire.codec import decode, encode
from tanagerbend_wire.frames import count_received, read_block, write_block
from tanagerbend_wire.handshake import Identity, Session, accept_session
from tanagerbend_wire.limits import RateLimiters

HANDSHAKE_TIMEOUT_SECONDS: Final = 5.0
IDLE_TIMEOUT_SECONDS: Final = 120.0
# Covers the handler and sending its answer, not the wait for a free slot.
ANSWER_TIMEOUT_SECONDS: Final = 10.0
# Each daemon of a fleet of the target size keeps up to 64 connections open.
MAX_CONNECTIONS: Final = 1024
MAX_CONNECTIONS_PER_HOST: Final = 4
# A ping on behalf of a peer takes up to 0.5 s, so several messages of one
# connection are answered concurrently.
MAX_ANSWERS_PER_CONNECTION: Final = 4
MAX_ANSWERS: Final = 64


class PeerServer:
    """Answers the control messages of other daemons.

    Explanation
    ===========

    The number of connections, the number of answers in progress and the
    messages per second of a host are limited.  When a host has too many
    connections, the oldest one is closed, because its other end may be gone
    without having closed it.

    Parameters
    ==========

    identity : Identity
    handler : PeerHandler
    recorder : Recorder
    """

    def __init__(
        self,
        identity: Identity,
        handler: PeerHandler,
        recorder: Recorder,
    ) -> None:
        self.identity = identity
        self.handler = handler
        self.recorder = recorder
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers_by_host: dict[str, list[asyncio.StreamWriter]] = {}
        self.rate_limiters = RateLimiters(recorder.timer, MAX_CONNECTIONS)
        self.answer_semaphore = asyncio.Semaphore(MAX_ANSWERS)

    async def start(self, address: str, port: int) -> int:
        """Listen and return the port; the system chooses one for port 0."""
        self.server = await asyncio.start_server(
            self.serve_connection,
            address,
            port,
            backlog=1024,
        )
        return self.server.sockets[0].getsockname()[1]

    async def serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one peer until it closes or violates the protocol."""
        if len(self.tasks) >= MAX_CONNECTIONS:
            self.recorder.count('peer_connections_refused')
            writer.close()
            return
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            refusal = await self._serve_session(reader, writer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.recorder.count('peer_connections_ended')
        else:
            self.recorder.count('frames_refused', refusal.code.name)
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _serve_session(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Refusal:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            session = await accept_session(self.identity, reader, writer)
        match session:
            case Refusal():
                return session
        self.recorder.count(
            'control_bytes_sent', 'Hello', session.sent_hello_bytes
        )
        self._register(session)
        connection = _ServerConnection(self, session)
        try:
            return await connection.serve()
        finally:
            connection.cancel()
            self._unregister(session)

    def _register(self, session: Session) -> None:
        writers = self.writers_by_host.setdefault(session.peer, [])
        writers.append(session.writer)
        if len(writers) > MAX_CONNECTIONS_PER_HOST:
            self.recorder.count('peer_connections_replaced')
            writers[0].close()

    def _unregister(self, session: Session) -> None:
        writers = self.writers_by_host[session.peer]
        writers.remove(session.writer)
        if not writers:
            self.writers_by_host.pop(session.peer)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class _ServerConnection:
    """Reads the requests of one session and answers them."""

    def __init__(self, server: PeerServer, session: Session) -> None:
        self.server = server
        self.session = session
        self.recorder = server.recorder
        self.rate_limiter = server.rate_limiters.for_host(session.peer)
        self.connection_semaphore = asyncio.Semaphore(
            MAX_ANSWERS_PER_CONNECTION,
        )
        self.tasks: set[asyncio.Task[None]] = set()

    async def serve(self) -> Refusal:
        """Serve requests; return the refusal of the first invalid frame."""
        while True:
            await self._limit_rate()
            async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                frame = await read_block(self.session.reader)
            request = self._open_request(frame)
            match request:
                case Refusal():
                    return request
            await self.connection_semaphore.acquire()
            task = asyncio.create_task(self._answer_request(*request))
            self.tasks.add(task)
            task.add_done_callback(self._finish_answer)

    async def _limit_rate(self) -> None:
        delay = self.rate_limiter.delay()
        if delay:
            self.recorder.count('peers_slowed_down')
            await self.recorder.timer.sleep(delay)

    def _open_request(
        self, frame: bytes | Refusal
    ) -> tuple[int, Message] | Refusal:
        match frame:
            case Refusal():
                return frame
        payload = self.session.incoming.open(frame)
        match payload:
            case Refusal():
                return payload
        try:
            correlation, message = decode(payload)
        except ValueError as error:
            return Refusal(ResultCode.FRAME_MALFORMED, str(error))
        match message:
            case Refusal():
                return Refusal(
                    ResultCode.FRAME_MALFORMED,
                    'a refusal was sent as a request',
                )
        count_received(self.recorder, message, frame)
        return correlation, message

    async def _answer_request(self, correlation: int, message: Message) -> None:
        try:
            async with (
                self.server.answer_semaphore,
                asyncio.timeout(ANSWER_TIMEOUT_SECONDS),
            ):
                answer = await self.server.handler.answer(
                    self.session.peer,
                    message,
                )
                await self._send_answer(answer, correlation)
        except (OSError, TimeoutError):
            self.session.writer.close()
        except Exception as error:  # noqa: BLE001
            # An exception in one handler must not affect other connections.
            self.recorder.record_event(
                'control_fault',
                type(message).__name__,
                repr(error),
            )
            self.session.writer.close()

    def _finish_answer(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.connection_semaphore.release()

    async def _send_answer(
        self,
        answer: Message | Refusal,
        correlation: int,
    ) -> None:
        frame = self.session.outgoing.seal(encode(answer, correlation))
        sent = write_block(self.session.writer, frame)
        self.recorder.count('control_bytes_sent', type(answer).__name__, sent)
        await self.session.writer.drain()

    def cancel(self) -> None:
        """Cancel the answers in progress."""
        for task in list(self.tasks):
            task.cancel()
