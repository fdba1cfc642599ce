"""Transfer of values between daemons, compressed against a held value."""

import functools
from typing import Final

import zstandard

from tanagerbend_distribution.store import VersionStore
from tanagerbend_interfaces import Content, Fetch
from tanagerbend_model import Refusal, ResultCode, digest_of

LEVEL: Final = 3
MAX_VALUE_BYTES: Final = 1024 * 1024
# The window has to reach over the dictionary and the value.
WINDOW_LOG: Final = 22
MAX_WINDOW_BYTES: Final = 2**WINDOW_LOG
# The kept values as dictionaries, and no dictionary.  After a change many
# peers ask for the same difference.
CACHED_FRAMES: Final = 4


def _dictionary(content: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(
        content,
        dict_type=zstandard.DICT_TYPE_RAWCONTENT,
    )


@functools.lru_cache(maxsize=CACHED_FRAMES)
def compress(content: bytes, base: bytes) -> bytes:
    """Return a zstd frame of a value, with another value as dictionary.

    Examples
    ========

    >>> old = b'\\n'.join(b'row %d' % number for number in range(4000))
    >>> len(compress(old + b'\\nnew row', old)) < 100
    True
    """
    settings = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        window_log=WINDOW_LOG,
        enable_ldm=True,
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base) if base else None,
        compression_params=settings,
    )
    return compressor.compress(content)


def decompress(payload: bytes, base: bytes) -> bytes | Refusal:
    """Return the value of a frame, at most 1 MiB."""
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
    """Answer a peer that asks for the version in force."""
    current = store.current
    if current is None or fetch.wanted.is_newer_than(current.version):
        return Content(None)
    base = store.kept.get(fetch.held, b'')
    return Content(
        current.version,
        fetch.held if base else b'',
        compress(current.content, base),
    )


def unpack(store: VersionStore, content: Content) -> bytes | Refusal:
    """Return the value that a peer sent, checked by its digest."""
    if content.version is None:
        return Refusal(ResultCode.VERSION_BEHIND, 'peer lacks the version')
    base = b''
    if content.base:
        base = store.kept.get(content.base, b'')
        if not base:
            reason = 'dictionary value is no longer held'
            return Refusal(ResultCode.CONTENT_HASH_MISMATCH, reason)
    plain = decompress(content.payload, base)
    match plain:
        case Refusal():
            return plain
    if digest_of(plain) != content.version.digest:
        return Refusal(ResultCode.CONTENT_HASH_MISMATCH, 'digest differs')
    return plain
