"""Checks of addresses, names and numbers received from outside."""

import functools
import ipaddress
from typing import Final

MAX_NAME_LENGTH: Final = 128
MAX_PORT: Final = 65535
# Numbers have 64 bits on the wire; the margin allows increments of a received
# number.
MAX_WIRE_NUMBER: Final = 2**62  # noqa: WPS432
MAX_CACHED_ADDRESSES: Final = 16384


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def is_address(text: str) -> bool:
    """Return whether a text is the ``IP:port`` of a single host.

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
    """Return whether a text can name a host, service, domain or region."""
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()
