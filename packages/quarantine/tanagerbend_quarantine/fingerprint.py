"""Fingerprint of a request."""

import hashlib
from typing import Final

FINGERPRINT_BYTES: Final = 16


def fingerprint(
    service: str,
    method: str,
    path: str,
    body: object = b'',
    caller: str = '',
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
    >>> first == fingerprint('pattern', 'GET', '/a', caller='press')
    False

    Parameters
    ==========

    service, method, path : str
        The service, or the host name that the request is for.
    body : bytes or another object
        Anything but bytes is a streamed body.
    caller : str
        Service of the caller, if it is part of the request.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    parts = [service.encode(), method.encode(), path.encode()]
    if isinstance(body, bytes):
        parts.append(body)
    if caller:
        # A fifth part, so that it can't be taken for a body.
        parts = [*parts[:3], caller.encode(), *parts[3:], b'']
    for part in parts:
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.digest()
