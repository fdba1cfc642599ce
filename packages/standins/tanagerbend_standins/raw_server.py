"""Connection handlers that always close their connection."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
ConnectionHandler = Callable[[Reader, Writer], Awaitable[None]]
# Raised when the remote end has closed the connection.
DISCONNECT_ERRORS: Final = (asyncio.IncompleteReadError, ConnectionError)


@attrs.frozen
class ClosingHandler:
    """Connection handler that closes the connection when it returns.

    A connection that is left to the garbage collector emits a warning
    whenever that runs, which has made unrelated tests fail.
    """

    serve: ConnectionHandler

    async def __call__(self, reader: Reader, writer: Writer) -> None:
        """Handle one connection and close it."""
        with (
            contextlib.closing(writer),
            contextlib.suppress(*DISCONNECT_ERRORS),
        ):
            await self.serve(reader, writer)
