"""Authenticated, length-prefixed frames over a TCP stream."""

import asyncio
import hashlib
import hmac
import struct
from collections import deque
from typing import Final

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode

MAX_FRAME_BYTES: Final = 2 * 1024 * 1024
LENGTH: Final = struct.Struct('>I')
COUNTER: Final = struct.Struct('>Q')
# Half of a SHA-256 tag; forging it still takes 2**128 attempts.
TAG_BYTES: Final = 16
REMEMBERED_TAGS: Final = 16
CLIENT: Final = b'c'
SERVER: Final = b's'


def tag_of(key: bytes, *parts: bytes) -> bytes:
    """Return the truncated HMAC-SHA256 of the joined parts."""
    return hmac.digest(key, b''.join(parts), hashlib.sha256)[:TAG_BYTES]


async def read_block(
    reader: asyncio.StreamReader,
    limit: int = MAX_FRAME_BYTES,
) -> bytes | Refusal:
    """Read one length-prefixed block of at most ``limit`` bytes.

    Raises
    ======

    asyncio.IncompleteReadError
        If the stream ends.
    """
    (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    if length > limit:
        return Refusal(
            ResultCode.FRAME_TOO_LARGE,
            f'frame of {length} bytes, at most {limit}',
        )
    return await reader.readexactly(length)


def write_block(writer: asyncio.StreamWriter, block: bytes) -> int:
    """Write one block; return the bytes put on the stream."""
    writer.write(LENGTH.pack(len(block)) + block)
    return LENGTH.size + len(block)


def count_received(recorder: Recorder, message: object, frame: bytes) -> None:
    """Count the bytes of a frame that was received."""
    size = LENGTH.size + len(frame)
    recorder.count('control_bytes_received', type(message).__name__, size)


class Sealer:
    """Authenticates the frames of one direction of a connection.

    Explanation
    ===========

    Each tag covers the direction and a counter that both sides raise with
    each frame.  A replayed, reordered or dropped frame fails its check; a
    frame with one of the last tags is reported as replayed.

    Examples
    ========

    >>> out, back = Sealer(b'key', CLIENT), Sealer(b'key', CLIENT)
    >>> frame = out.seal(b'payload')
    >>> back.open(frame)
    b'payload'
    >>> back.open(frame).code.name
    'FRAME_REPLAYED'
    """

    def __init__(self, key: bytes, direction: bytes) -> None:
        self.key = key
        self.direction = direction
        self.counter = 0
        self.opened: deque[bytes] = deque(maxlen=REMEMBERED_TAGS)

    def seal(self, payload: bytes) -> bytes:
        """Return tag and payload."""
        return self._next_tag(payload) + payload

    def open(self, frame: bytes) -> bytes | Refusal:
        """Return the payload if the tag is right."""
        tag, payload = frame[:TAG_BYTES], frame[TAG_BYTES:]
        if hmac.compare_digest(tag, self._next_tag(payload)):
            self.opened.append(tag)
            return payload
        if tag in self.opened:
            return Refusal(ResultCode.FRAME_REPLAYED, 'tag seen before')
        return Refusal(
            ResultCode.FRAME_UNAUTHENTICATED,
            'wrong tag: other key, altered or reordered frame',
        )

    def _next_tag(self, payload: bytes) -> bytes:
        self.counter += 1
        counter = COUNTER.pack(self.counter)
        return tag_of(self.key, self.direction, counter, payload)
