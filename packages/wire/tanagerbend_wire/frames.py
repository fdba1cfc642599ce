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
LENGTH_PREFIX: Final = struct.Struct('>I')
FRAME_COUNTER: Final = struct.Struct('>Q')
# HMAC-SHA256 truncated to 128 bits; a random forgery succeeds with
# probability 2**-128.
TAG_BYTES: Final = 16
MAX_RECENT_TAGS: Final = 16
CLIENT_TO_SERVER: Final = b'c'
SERVER_TO_CLIENT: Final = b's'


def compute_tag(key: bytes, *parts: bytes) -> bytes:
    """Return the truncated HMAC-SHA256 of the joined parts."""
    return hmac.digest(key, b''.join(parts), hashlib.sha256)[:TAG_BYTES]


async def read_block(
    reader: asyncio.StreamReader,
    max_bytes: int = MAX_FRAME_BYTES,
) -> bytes | Refusal:
    """Read one length-prefixed block of at most ``max_bytes`` bytes.

    A longer block is refused before its content is read.

    Raises
    ======

    asyncio.IncompleteReadError
        If the stream ends before the block is complete.
    """
    (length,) = LENGTH_PREFIX.unpack(
        await reader.readexactly(LENGTH_PREFIX.size)
    )
    if length > max_bytes:
        return Refusal(
            ResultCode.FRAME_TOO_LARGE,
            f'frame of {length} bytes, at most {max_bytes}',
        )
    return await reader.readexactly(length)


def write_block(writer: asyncio.StreamWriter, block: bytes) -> int:
    """Write one block; return its size with the length prefix."""
    writer.write(LENGTH_PREFIX.pack(len(block)) + block)
    return LENGTH_PREFIX.size + len(block)


def count_received(recorder: Recorder, message: object, frame: bytes) -> None:
    """Add the size of a received frame to the counter of its message class."""
    size = LENGTH_PREFIX.size + len(frame)
    recorder.count('control_bytes_received', type(message).__name__, size)


class FrameAuthenticator:
    """Authenticates the frames of one direction of a connection.

    Explanation
    ===========

    Each tag covers the direction and a frame counter that both sides
    increment with each frame, so that verification fails after a replayed,
    reordered or dropped frame.  A frame whose tag is among the
    ``MAX_RECENT_TAGS`` last accepted ones is reported as replayed.

    Parameters
    ==========

    key : bytes
        Session key.
    direction : bytes
        ``CLIENT_TO_SERVER`` or ``SERVER_TO_CLIENT``.

    Examples
    ========

    >>> sender = FrameAuthenticator(b'key', CLIENT_TO_SERVER)
    >>> receiver = FrameAuthenticator(b'key', CLIENT_TO_SERVER)
    >>> frame = sender.seal(b'payload')
    >>> receiver.open(frame)
    b'payload'
    >>> receiver.open(frame).code.name
    'FRAME_REPLAYED'
    """

    def __init__(self, key: bytes, direction: bytes) -> None:
        self.key = key
        self.direction = direction
        self.counter = 0
        self.recent_tags: deque[bytes] = deque(maxlen=MAX_RECENT_TAGS)

    def seal(self, payload: bytes) -> bytes:
        """Return the frame: the tag followed by the payload."""
        return self._next_tag(payload) + payload

    def open(self, frame: bytes) -> bytes | Refusal:
        """Return the payload if the tag is valid, else a refusal."""
        tag, payload = frame[:TAG_BYTES], frame[TAG_BYTES:]
        if hmac.compare_digest(tag, self._next_tag(payload)):
            self.recent_tags.append(tag)
            return payload
        if tag in self.recent_tags:
            return Refusal(ResultCode.FRAME_REPLAYED, 'tag of an earlier frame')
        return Refusal(
            ResultCode.FRAME_UNAUTHENTICATED,
            'invalid tag: different key, or altered or reordered frame',
        )

    def _next_tag(self, payload: bytes) -> bytes:
        self.counter += 1
        counter = FRAME_COUNTER.pack(self.counter)
        return compute_tag(self.key, self.direction, counter, payload)
