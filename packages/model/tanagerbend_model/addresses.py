"""Addresses, names and numbers that other processes and people write."""

import functools
import ipaddress
from typing import Final

MAX_NAME_LENGTH: Final = 128
MAX_PORT: Final = 65535
# Leaves room to raise a number that is held in 64 bits on the wire.
MAX_NUMBER: Final = 2**62  # noqa: WPS432
CACHED_ADDRESSES: Final = 16384


@functools.lru_cache(maxsize=CACHED_ADDRESSES)
def is_address(text: str) -> bool:
    """Tell whether a text is ``IP:port`` of one host.

    Examples
    ========

    >>> is_address('10.0.0.7:7001'), is_address('10.0.0.7:70010')
    (True, False)
    >>> is_address('db.example:80'), is_address('0.0.0.0:80')
    (False, False)
    """
    host, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdecimal()):
        return False
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return False
    if address.is_unspecified or address.is_multicast:
        return False
    return 0 < int(port[: MAX_NAME_LENGTH + 1]) <= MAX_PORT


def is_name(text: str) -> bool:
    """Tell whether a text can name a host, service, domain or region."""
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()
