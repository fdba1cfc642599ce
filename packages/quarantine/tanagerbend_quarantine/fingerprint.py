"""Fingerprint of a request."""

import hashlib
from typing import Final

FINGERPRINT_BYTES: Final = 16


def fingerprint(
    service: str,
    method: str,
    path: str,
    body: object = b'',
) -> bytes:
    """Return what two sendings of one request have in common.

    Explanation
    ===========

    A streamed body is not known before it is sent, so that all streamed
    requests with the same method and path share a fingerprint.

    Examples
    ========

    >>> first = fingerprint('pattern', 'GET', '/a')
    >>> first == fingerprint('pattern', 'GET', '/b')
    False

    Parameters
    ==========

    service, method, path : str
    body : bytes or another object
        Anything but bytes is a streamed body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    parts = [service.encode(), method.encode(), path.encode()]
    if isinstance(body, bytes):
        parts.append(body)
    for part in parts:
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.digest()
