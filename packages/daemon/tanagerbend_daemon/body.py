"""Body of an answer that releases what the call holds."""

from collections.abc import AsyncIterator, Callable


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
        Called with True if the body was read to its end.
    """

    def __init__(
        self,
        chunks: AsyncIterator[bytes],
        on_end: Callable[[bool], None],
    ) -> None:
        self.chunks = chunks
        self.on_end: Callable[[bool], None] | None = on_end

    def __aiter__(self) -> 'HeldBody':
        return self

    async def __anext__(self) -> bytes:
        try:
            return await self.chunks.__anext__()
        except StopAsyncIteration:
            self._report(is_whole=True)
            raise
        except BaseException:
            self._report(is_whole=False)
            raise

    async def aclose(self) -> None:
        """Give up the rest of the body."""
        try:
            await close_body(self.chunks)
        finally:
            self._report(is_whole=False)

    def _report(self, *, is_whole: bool) -> None:
        on_end = self.on_end
        self.on_end = None
        if on_end is not None:
            on_end(is_whole)


async def close_body(chunks: AsyncIterator[bytes]) -> None:
    """Close a body that may be a plain iterator."""
    close = getattr(chunks, 'aclose', None)
    if close is not None:
        await close()
