"""Limits of the body of an answer while it is read."""

from collections.abc import AsyncIterator, Callable
from typing import Final

import aiohttp

# Larger answers are refused.  The limit is several times the size of a batch
# of large versions; three answers at once, each held twice, take half of the
# memory of a small host.
MAX_ANSWER_BYTES: Final = 16777216
# Bytes on the connection for each byte of a body, beyond an allowance for
# headers and a few small chunks.  Each chunk costs processor time, however
# small it is.
MAX_FRAMING_RATIO: Final = 4
FRAMING_ALLOWANCE_BYTES: Final = 65536


async def limited_parts(
    content: aiohttp.StreamReader,
    received: Callable[[], int],
) -> AsyncIterator[bytes]:
    """Yield the parts of a body.

    ``received`` returns the number of bytes received on its connection.

    Raises
    ======

    aiohttp.ClientPayloadError
        If the body is too large, or mostly consists of framing.
    """
    size = 0
    received_before = received()
    async for part in content.iter_any():
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            reason = f'answer of more than {MAX_ANSWER_BYTES} bytes'
            raise aiohttp.ClientPayloadError(reason)
        # Bytes after the end of the body belong to no answer.
        if not content.is_eof():
            _check_framing(size, received() - received_before)
        yield part


async def skip_body(
    content: aiohttp.StreamReader,
    received: Callable[[], int],
) -> None:
    """Read a body to its end and keep nothing of it; see `limited_parts`."""
    async for _ in limited_parts(content, received):  # noqa: WPS328
        pass  # noqa: WPS420


def _check_framing(size: int, received: int) -> None:
    if received > MAX_FRAMING_RATIO * size + FRAMING_ALLOWANCE_BYTES:
        reason = f'{received} bytes for {size} bytes of an answer'
        raise aiohttp.ClientPayloadError(reason)
