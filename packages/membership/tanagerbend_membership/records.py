"""Validity, hashes and placeholders of member records."""

import functools
import hashlib
import ipaddress
import zlib
from typing import Final

from tanagerbend_interfaces import Host, Member, MemberState

BUCKETS: Final = 64
MAX_NAME_LENGTH: Final = 128
MAX_PORT: Final = 65535
# Leaves room to raise a number that is held in 64 bits on the wire.
MAX_NUMBER: Final = 2**62  # noqa: WPS432
HASH_BYTES: Final = 4
CACHED_ADDRESSES: Final = 16384


def bucket_of(host: str) -> int:
    """Return the bucket of a host for comparison between daemons."""
    return zlib.crc32(host.encode()) % BUCKETS


def record_hash(member: Member) -> int:
    """Return a 32-bit hash of what may change in a record.

    Explanation
    ===========

    A CRC would not do: it is linear, so equal changes of two members
    cancel out when the hashes of a bucket are combined.  Gone members
    count as 0, because daemons forget them at different times.

    Parameters
    ==========

    member : Member
    """
    if member.state is MemberState.GONE:
        return 0
    text = f'{member.host}/{member.freshness}/{int(member.state)}'
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')


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


def fault_of(record: Member | Host) -> str:
    """Return what is wrong with a record; empty if nothing is.

    Examples
    ========

    >>> fault_of(Host('h', 's', 'd', 'r', '10.0.0.1:1', '10.0.0.1:99999'))
    "peer address '10.0.0.1:99999'"
    """
    names = (
        record.host,
        record.service,
        record.failure_domain,
        record.region,
    )
    for name in names:
        if not is_name(name):
            return f'name {name[:MAX_NAME_LENGTH]!r}'
    if not is_address(record.call_address):
        return f'call address {record.call_address[:MAX_NAME_LENGTH]!r}'
    if not is_address(record.peer_address):
        return f'peer address {record.peer_address[:MAX_NAME_LENGTH]!r}'
    match record:
        case Member(incarnation=incarnation, sequence=sequence):
            if not 0 <= min(incarnation, sequence):
                return 'negative incarnation or sequence'
            if max(incarnation, sequence) > MAX_NUMBER:
                return 'incarnation or sequence out of range'
    return ''


def placeholder(host: Host) -> Member:
    """Return the record of a host known from the host list alone."""
    state = MemberState.DRAINING if host.leaving else MemberState.LIVE
    return Member(
        host=host.host,
        service=host.service,
        failure_domain=host.failure_domain,
        region=host.region,
        incarnation=0,
        sequence=0,
        state=state,
        call_address=host.call_address,
        peer_address=host.peer_address,
    )
