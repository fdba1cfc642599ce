"""Transfer of values between daemons.

A value is compressed with a value that the receiver holds as dictionary.
"""

import functools
from typing import Final

import zstandard

from tanagerbend_distribution.store import VersionStore
from tanagerbend_interfaces import Content, Fetch
from tanagerbend_model import Refusal, ResultCode, digest_of

COMPRESSION_LEVEL: Final = 3
MAX_VALUE_BYTES: Final = 1024 * 1024
# The window has to span the dictionary and the value.
WINDOW_LOG: Final = 22
MAX_WINDOW_BYTES: Final = 2**WINDOW_LOG
# One for each recent value as dictionary and one without a dictionary.
# After a change many peers fetch the same frame.
CACHED_FRAMES: Final = 4


def _dictionary(content: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(
        content,
        dict_type=zstandard.DICT_TYPE_RAWCONTENT,
    )


@functools.lru_cache(maxsize=CACHED_FRAMES)
def compress(content: bytes, base: bytes) -> bytes:
    """Compress a value to a zstd frame, with ``base`` as dictionary.

    Examples
    ========

    >>> old = b'\\n'.join(b'row %d' % number for number in range(4000))
    >>> len(compress(old + b'\\nnew row', old)) < 100
    True
    """
    settings = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL,
        window_log=WINDOW_LOG,
        enable_ldm=True,
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base) if base else None,
        compression_params=settings,
    )
    return compressor.compress(content)


def decompress(payload: bytes, base: bytes) -> bytes | Refusal:
    """Decompress a frame to a value of at most ``MAX_VALUE_BYTES``."""
    decompressor = zstandard.ZstdDecompressor(
        dict_data=_dictionary(base) if base else None,
        max_window_size=MAX_WINDOW_BYTES,
    )
    try:
        size = zstandard.frame_content_size(payload)
        if not 0 <= size <= MAX_VALUE_BYTES:
            return Refusal(ResultCode.FRAME_TOO_LARGE, f'{size} bytes')
        return decompressor.decompress(payload)
    except zstandard.ZstdError as error:
        return Refusal(ResultCode.FRAME_MALFORMED, str(error))


def answer_fetch(store: VersionStore, fetch: Fetch) -> Content:
    """Answer a fetch with the version in force, if it is new enough."""
    current = store.current
    if current is None or fetch.wanted.is_newer_than(current.version):
        return Content(None)
    base = store.recent_values.get(fetch.held, b'')
    return Content(
        current.version,
        fetch.held if base else b'',
        compress(current.content, base),
    )


def unpack(store: VersionStore, content: Content) -> bytes | Refusal:
    """Decompress the value that a peer sent and check its digest."""
    if content.version is None:
        return Refusal(
            ResultCode.VERSION_BEHIND, 'peer does not hold the version'
        )
    base = b''
    if content.base:
        base = store.recent_values.get(content.base, b'')
        if not base:
            reason = 'value used as dictionary is no longer held'
            return Refusal(ResultCode.CONTENT_HASH_MISMATCH, reason)
    value = decompress(content.payload, base)
    match value:
        case Refusal():
            return value
    if digest_of(value) != content.version.digest:
        return Refusal(
            ResultCode.CONTENT_HASH_MISMATCH,
            'digest of the value differs from that of its version',
        )
    return value
