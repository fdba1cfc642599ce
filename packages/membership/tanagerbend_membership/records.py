"""Validation, hashes and placeholders of member records."""

import hashlib
import zlib
from typing import Final

from tanagerbend_interfaces import Host, Member, MemberState
from tanagerbend_model.addresses import (
    MAX_NAME_LENGTH,
    MAX_WIRE_NUMBER,
    is_address,
    is_name,
)

BUCKETS: Final = 64
HASH_BYTES: Final = 4


def bucket_of(host: str) -> int:
    """Return the bucket of a host, for comparisons between daemons."""
    return zlib.crc32(host.encode()) % BUCKETS


def record_hash(member: Member) -> int:
    """Return a 32-bit hash of the mutable fields of a record.

    Explanation
    ===========

    A CRC is not suitable: it is linear, so equal changes of two members
    cancel out when the hashes of a bucket are combined with XOR.  Gone
    members hash to 0, because daemons forget them at different times.

    Parameters
    ==========

    member : Member
    """
    if member.state is MemberState.GONE:
        return 0
    text = f'{member.host}/{member.freshness}/{int(member.state)}'
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')


def find_fault(record: Member | Host) -> str:
    """Return the first fault of a record, or an empty string.

    Examples
    ========

    >>> find_fault(Host('h', 's', 'd', 'r', '10.0.0.1:1', '10.0.0.1:99999'))
    "invalid peer address '10.0.0.1:99999'"
    """
    names = (
        record.host,
        record.service,
        record.failure_domain,
        record.region,
    )
    for name in names:
        if not is_name(name):
            return f'invalid name {name[:MAX_NAME_LENGTH]!r}'
    if not is_address(record.call_address):
        return f'invalid call address {record.call_address[:MAX_NAME_LENGTH]!r}'
    if not is_address(record.peer_address):
        return f'invalid peer address {record.peer_address[:MAX_NAME_LENGTH]!r}'
    match record:
        case Member(incarnation=incarnation, sequence=sequence):
            if not 0 <= min(incarnation, sequence):
                return 'negative incarnation or sequence'
            if max(incarnation, sequence) > MAX_WIRE_NUMBER:
                return 'incarnation or sequence out of range'
    return ''


def record_from_listing(host: Host) -> Member:
    """Return the record of a host that is known only from the host list."""
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
