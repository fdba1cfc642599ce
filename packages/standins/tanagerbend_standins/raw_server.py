"""Handlers of raw connections that leave nothing open."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
Serve = Callable[[Reader, Writer], Awaitable[None]]
# Raised where the other side has gone.
GONE: Final = (asyncio.IncompleteReadError, ConnectionError)


@attrs.frozen
class Closing:
    """Handler that closes its connection at its end.

    A connection that is left to the garbage collector warns wherever that
    runs, which has ended runs of tests in unrelated places.
    """

    serve: Serve

    async def __call__(self, reader: Reader, writer: Writer) -> None:
        """Serve one connection."""
        with contextlib.closing(writer), contextlib.suppress(*GONE):
            await self.serve(reader, writer)
