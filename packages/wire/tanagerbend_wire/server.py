"""Peer server: one task for each connection of a peer."""

import asyncio
from typing import Final

from tanagerbend_interfaces import Message, PeerHandler
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_wire.codec import decode, encode
from tanagerbend_wire.frames import read_block, write_block
from tanagerbend_wire.handshake import Identity, Session, accept_session

HANDSHAKE_SECONDS: Final = 5.0
IDLE_SECONDS: Final = 120.0


class PeerServer:
    """Answers the control messages of other daemons.

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

    async def start(self, address: str, port: int) -> int:
        """Listen; return the port, which the system chooses for 0."""
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
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.recorder.count('peer_connections_ended')
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        async with asyncio.timeout(HANDSHAKE_SECONDS):
            session = await accept_session(self.identity, reader, writer)
        match session:
            case Refusal():
                self.recorder.count('frames_refused', session.code.name)
                return
        refusal = None
        while refusal is None:
            async with asyncio.timeout(IDLE_SECONDS):
                frame = await read_block(reader)
            refusal = await self._answer_frame(session, frame)
        self.recorder.count('frames_refused', refusal.code.name)

    async def _answer_frame(
        self,
        session: Session,
        frame: bytes | Refusal,
    ) -> Refusal | None:
        match frame:
            case Refusal():
                return frame
        payload = session.incoming.open(frame)
        match payload:
            case Refusal():
                return payload
        try:
            correlation, message = decode(payload)
        except ValueError as error:
            return Refusal(ResultCode.FRAME_MALFORMED, str(error))
        match message:
            case Refusal():
                return Refusal(ResultCode.FRAME_MALFORMED, 'not a request')
        answer = await self.handler.answer(session.peer, message)
        await self._send(session, answer, correlation)
        return None

    async def _send(
        self,
        session: Session,
        answer: Message | Refusal,
        correlation: int,
    ) -> None:
        frame = session.outgoing.seal(encode(answer, correlation))
        sent = write_block(session.writer, frame)
        await session.writer.drain()
        self.recorder.count('control_bytes_sent', type(answer).__name__, sent)

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
