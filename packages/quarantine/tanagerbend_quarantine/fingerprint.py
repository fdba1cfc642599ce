"""Fingerprints that identify repetitions of a request."""

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
    """Return a hash that is equal for repetitions of one request.

    Explanation
    ===========

    A streamed body is not known before it is sent, so all streamed
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
        Service, or name of the host, that the request is sent to; method
        and path of the request.
    body : bytes or another object
        Anything but bytes is a streamed body.
    caller : str
        Service of the caller, if it distinguishes requests.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    parts = [service.encode(), method.encode(), path.encode()]
    if isinstance(body, bytes):
        parts.append(body)
    if caller:
        # A caller adds a fifth part, so that it can't be mistaken for a body.
        parts = [*parts[:3], caller.encode(), *parts[3:], b'']
    for part in parts:
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.digest()
