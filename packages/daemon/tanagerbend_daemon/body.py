"""Body of an answer that releases what the call holds."""

from collections.abc import AsyncIterator, Awaitable, Callable

# Called once with the error that ended the body, None if it was whole.
EndOfBody = Callable[[BaseException | None], Awaitable[None]]


class HeldBody:
    """Passes chunks on and reports the end of the body exactly once.

    Explanation
    ===========

    A generator with ``finally`` would not do: if it is closed before its
    first chunk is read, its body never runs and nothing is released.

    Parameters
    ==========

    chunks : asynchronous iterator of bytes
    on_end : callable
        Awaited before the end is passed on.
    """

    def __init__(self, chunks: AsyncIterator[bytes], on_end: EndOfBody) -> None:
        self.chunks = chunks
        self.on_end: EndOfBody | None = on_end

    def __aiter__(self) -> 'HeldBody':
        return self

    async def __anext__(self) -> bytes:
        try:
            return await self.chunks.__anext__()
        except StopAsyncIteration:
            await self._report(None)
            raise
        except BaseException as error:
            await self._report(error)
            raise

    async def aclose(self) -> None:
        """Give up the rest of the body."""
        try:
            await close_body(self.chunks)
        finally:
            await self._report(GeneratorExit())

    async def _report(self, error: BaseException | None) -> None:
        on_end = self.on_end
        self.on_end = None
        if on_end is not None:
            await on_end(error)


async def close_body(chunks: AsyncIterator[bytes]) -> None:
    """Close a body that may be a plain iterator."""
    close = getattr(chunks, 'aclose', None)
    if close is not None:
        await close()
