"""Idle connection to the instance on this host, which ends with its process."""

import asyncio
from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_quarantine import ProcessState

# A running process on this host accepts a connection within this time.
CONNECT_SECONDS: Final = 0.25


@attrs.define(eq=False)
class ProcessConnection:
    """Idle connection to the instance, kept open for later waits.

    Parameters
    ==========

    address : str
        ``address:port`` of the instance.
    recorder : Recorder
    """

    address: str
    recorder: Recorder
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    async def wait(self, seconds: float) -> ProcessState:
        """Wait until the connection ends, at most ``seconds``."""
        if self._has_ended():
            await self._reopen()
        if self.reader is None:
            return ProcessState.UNKNOWN
        try:
            async with asyncio.timeout(seconds):
                # Bytes without a request, such as status 408, precede the
                # end of the connection.
                await self.reader.read(1)
        except TimeoutError:
            # A process that was paused sees the end and the timeout together.
            if not self._has_ended():
                return ProcessState.RUNNING
        except OSError as error:
            self._count_end(type(error).__name__)
            return ProcessState.UNKNOWN
        self._count_end('closed')
        return ProcessState.UNKNOWN

    async def is_down(self) -> bool:
        """Return whether the instance refuses a connection."""
        try:
            _reader, writer = await self._connect()
        except ConnectionRefusedError:
            return True
        except OSError as error:
            # Shows neither that the instance runs nor that it is down.
            self.recorder.count('instance_probes_failed', type(error).__name__)
            return False
        writer.close()
        return False

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = None
        self.writer = None

    async def _reopen(self) -> None:
        self.close()
        try:
            reader, writer = await self._connect()
        except OSError as error:
            self._count_end(type(error).__name__)
            return
        self.reader = reader
        self.writer = writer
        self.recorder.count('instance_watches_opened')

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.address.rpartition(':')
        async with asyncio.timeout(CONNECT_SECONDS):
            return await asyncio.open_connection(host, int(port))

    def _count_end(self, reason: str) -> None:
        self.recorder.count('instance_watches_ended', reason)
        self.close()

    def _has_ended(self) -> bool:
        return (
            self.reader is None
            or self.reader.at_eof()
            or self.reader.exception() is not None
        )
