"""Validators of single settings; messages never contain the value."""

import ipaddress
import math
import re
from typing import Any, Final

import attrs

from tanagerbend_model.cells import NAME_PATTERN

MAX_PORT: Final = 65535
MIN_SECRET_LENGTH: Final = 16
# Text that an HTTP header transfers unchanged: no spaces at either end.
HEADER_VALUE_PATTERN: Final = re.compile('[!-~]([ -~]*[!-~])?')
KEY_PATTERN: Final = re.compile('[A-Za-z0-9._-]{1,128}')


def ip_and_port(_instance: Any, _attribute: Any, text: Any) -> None:
    """Check ``IP:port`` with an IPv4 address and a port above 0.

    Examples
    ========

    >>> ip_and_port(None, None, '10.3.0.1:0')
    Traceback (most recent call last):
    ...
    ValueError: the port is not a number from 1 to 65535
    """
    address, _, port = str(text).rpartition(':')
    try:
        ipaddress.IPv4Address(address)
    except ValueError:
        raise ValueError('expected IPv4:port') from None
    if not re.fullmatch('[0-9]{1,5}', port) or not (0 < int(port) <= MAX_PORT):
        raise ValueError(f'the port is not a number from 1 to {MAX_PORT}')


def reachable_address(_instance: Any, _attribute: Any, text: Any) -> None:
    """Check an ``IP:port`` that other daemons can connect to."""
    ip_and_port(None, None, text)
    address, _, _port = str(text).rpartition(':')
    if ipaddress.IPv4Address(address).is_unspecified:
        raise ValueError('other daemons cannot connect to this address')


def http_url(_instance: Any, _attribute: Any, text: str) -> None:
    """Check ``http://IP:port``."""
    if not text.startswith('http://'):
        raise ValueError('the URL does not begin with "http://"')
    ip_and_port(None, None, text.removeprefix('http://').rstrip('/'))


def name(_instance: Any, _attribute: Any, text: str) -> None:
    """Check a name by the rule for names in the sheet."""
    if NAME_PATTERN.fullmatch(text) is None:
        raise ValueError('expected a name of letters, digits, ".", "_", "-"')


def key(_instance: Any, _attribute: Any, text: str) -> None:
    """Check a key of the configuration service."""
    if KEY_PATTERN.fullmatch(text) is None:
        raise ValueError('expected a key of letters, digits, ".", "_", "-"')


def secret(_instance: Any, _attribute: Any, text: str) -> None:
    """Check the length of a secret, and that a header can transfer it."""
    if len(text) < MIN_SECRET_LENGTH:
        raise ValueError(
            f'{len(text)} characters, at least {MIN_SECRET_LENGTH} are needed',
        )
    if HEADER_VALUE_PATTERN.fullmatch(text) is None:
        raise ValueError('expected printable ASCII without spaces at the ends')


@attrs.frozen
class Between:
    """Check that a number lies between two bounds, both included."""

    lowest: float
    highest: float

    def __call__(self, _instance: Any, _attribute: Any, number: Any) -> None:
        """Check one number."""
        if not math.isfinite(number) or not (
            self.lowest <= number <= self.highest
        ):
            raise ValueError(
                f'expected a number from {self.lowest} to {self.highest}',
            )


def addresses(_instance: Any, _attribute: Any, texts: Any) -> None:
    """Check a list of ``IP:port``."""
    for text in texts:
        ip_and_port(None, None, text)
