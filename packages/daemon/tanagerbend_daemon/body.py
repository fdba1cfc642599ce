"""Body of an answer that reports its end, so that a call frees its slot."""

from collections.abc import AsyncIterator, Awaitable, Callable

# Called once with the error that ended the body, None if it was whole.
BodyEndCallback = Callable[[BaseException | None], Awaitable[None]]


class MonitoredBody:
    """Forwards chunks and reports the end of the body exactly once.

    Explanation
    ===========

    This is no generator with ``finally``: a generator that is closed before
    its first chunk is read never runs, so nothing would be released.

    Parameters
    ==========

    chunks : asynchronous iterator of bytes
    on_end : callable
        Awaited before the reader learns of the end.
    """

    def __init__(
        self, chunks: AsyncIterator[bytes], on_end: BodyEndCallback
    ) -> None:
        self.chunks = chunks
        self.on_end: BodyEndCallback | None = on_end

    def __aiter__(self) -> 'MonitoredBody':
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
        """Discard the rest of the body."""
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
    """Close a body, which may be an iterator without ``aclose``."""
    close = getattr(chunks, 'aclose', None)
    if close is not None:
        await close()
