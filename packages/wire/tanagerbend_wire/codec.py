"""Conversion between control messages and Thrift frames."""

from collections.abc import Callable
from typing import Any, Final

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from tanagerbend_interfaces import (
    Ack,
    Announce,
    Content,
    Fetch,
    Member,
    MemberState,
    Message,
    Ping,
    Pong,
    Suspects,
    Sync,
    Update,
)
from tanagerbend_model import Refusal, ResultCode, Version
from tanagerbend_wire.generated.control import ttypes

MAX_STRING_BYTES: Final = 2 * 1024 * 1024
MAX_CONTAINER_ITEMS: Final = 20_000
MAX_MEMBERS: Final = 4096
MAX_BUCKETS: Final = 64
MAX_HASH: Final = 2**32 - 1  # noqa: WPS432
MAX_FINGERPRINTS: Final = 1024
MAX_FINGERPRINT_BYTES: Final = 64
MAX_EDITION_PARTS: Final = 4
MAX_TEXT: Final = 256
DIGEST_BYTES: Final = 32
# Leaves room to raise a number that is held in 64 bits.
MAX_NUMBER: Final = 2**62  # noqa: WPS432


def serialize(struct: Any) -> bytes:
    """Return a Thrift structure in the compact protocol."""
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def deserialize(struct: Any, payload: bytes) -> Any:
    """Fill a Thrift structure from its compact form.

    Raises
    ======

    ValueError
        If the payload is malformed.
    """
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(payload),
        string_length_limit=MAX_STRING_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )
    try:
        struct.read(protocol)
    except Exception as error:  # noqa: BLE001
        # The decoder raises many unrelated types on malformed input.
        raise ValueError(f'malformed payload: {error!r}') from error
    return struct


def encode(message: Message | Refusal, correlation: int) -> bytes:
    """Return the payload of one frame."""
    name, convert = _ENCODERS[type(message)]
    body = ttypes.Body(**{name: convert(message)})
    return serialize(ttypes.Envelope(correlation=correlation, body=body))


def decode(payload: bytes) -> tuple[int, Message | Refusal]:
    """Return correlation number and message of one frame.

    Examples
    ========

    >>> decode(encode(Ping('host-1'), 7))
    (7, Ping(target='host-1'))

    Raises
    ======

    ValueError
        If the payload is malformed or a required field is missing.
    """
    envelope = deserialize(ttypes.Envelope(), payload)
    try:
        correlation = _number(envelope.correlation)
        return correlation, _decode_body(envelope.body)
    except (TypeError, AttributeError) as error:
        raise ValueError(f'incomplete message: {error}') from error


def _decode_body(body: Any) -> Message | Refusal:
    found = [
        (convert, getattr(body, name))
        for name, convert in _DECODERS.items()
        if getattr(body, name) is not None
    ]
    if len(found) != 1:
        raise ValueError(f'{len(found)} messages in one frame')
    convert, struct = found[0]
    return convert(struct)


def _number(number: int, highest: int = MAX_NUMBER) -> int:
    if not 0 <= number <= highest:
        raise ValueError(f'number {number} out of range')
    return number


def _text(text: str) -> str:
    if len(text) > MAX_TEXT:
        raise ValueError(f'text of {len(text)} characters')
    return text


def _items(field: list[Any], most: int) -> list[Any]:
    if len(field) > most:
        raise ValueError(f'{len(field)} items, at most {most}')
    return field


def _digest(digest: bytes) -> bytes:
    if len(digest) not in {0, DIGEST_BYTES}:
        raise ValueError(f'digest of {len(digest)} bytes')
    return digest


def _fingerprints(field: list[bytes]) -> tuple[bytes, ...]:
    for fingerprint in _items(field, MAX_FINGERPRINTS):
        if not 0 < len(fingerprint) <= MAX_FINGERPRINT_BYTES:
            raise ValueError(f'fingerprint of {len(fingerprint)} bytes')
    return tuple(field)


def _version_out(version: Version | None) -> Any:
    if version is None:
        return None
    return ttypes.Version(
        edition=list(version.edition),
        revision=version.revision,
        digest=version.digest,
    )


def _version_in(struct: Any) -> Version:
    edition = _items(struct.edition, MAX_EDITION_PARTS)
    return Version(
        tuple(_number(part) for part in edition),
        _number(struct.revision),
        _digest(struct.digest),
    )


def _optional_version_in(struct: Any) -> Version | None:
    return None if struct is None else _version_in(struct)


def _member_out(member: Member) -> Any:
    return ttypes.Member(
        host=member.host,
        serviceName=member.service,
        failureDomain=member.failure_domain,
        region=member.region,
        incarnation=member.incarnation,
        sequence=member.sequence,
        state=int(member.state),
        callAddress=member.call_address,
        peerAddress=member.peer_address,
    )


def _member_in(struct: Any) -> Member:
    return Member(
        host=_text(struct.host),
        service=_text(struct.serviceName),
        failure_domain=_text(struct.failureDomain),
        region=_text(struct.region),
        incarnation=_number(struct.incarnation),
        sequence=_number(struct.sequence),
        state=MemberState(struct.state),
        call_address=_text(struct.callAddress),
        peer_address=_text(struct.peerAddress),
    )


def _members_out(members: tuple[Member, ...]) -> list[Any]:
    return [_member_out(member) for member in members]


def _members_in(structs: list[Any]) -> tuple[Member, ...]:
    return tuple(_member_in(struct) for struct in _items(structs, MAX_MEMBERS))


def _required(field: Any) -> Any:
    if field is None:
        raise ValueError('required field is missing')
    return field


Encoder = tuple[str, Callable[[Any], Any]]

_ENCODERS: Final[dict[type, Encoder]] = {
    Ping: ('ping', lambda ping: ttypes.Ping(target=ping.target)),
    Pong: (
        'pong',
        lambda pong: ttypes.Pong(
            host=pong.host,
            incarnation=pong.incarnation,
        ),
    ),
    Sync: (
        'sync',
        lambda sync: ttypes.Sync(
            version=_version_out(sync.version),
            buckets=list(sync.buckets),
            members=_members_out(sync.members),
        ),
    ),
    Announce: (
        'announce',
        lambda announce: ttypes.Announce(
            version=_version_out(announce.version),
        ),
    ),
    Fetch: (
        'fetch',
        lambda fetch: ttypes.Fetch(
            wanted=_version_out(fetch.wanted),
            held=fetch.held,
        ),
    ),
    Content: (
        'content',
        lambda content: ttypes.Content(
            version=_version_out(content.version),
            base=content.base,
            payload=content.payload,
        ),
    ),
    Update: (
        'update',
        lambda update: ttypes.Update(members=_members_out(update.members)),
    ),
    Suspects: (
        'suspects',
        lambda notice: ttypes.Suspects(
            serviceName=notice.service,
            suspected=list(notice.suspected),
            convicted=list(notice.convicted),
            cleared=list(notice.cleared),
        ),
    ),
    Ack: ('ack', lambda ack: ttypes.Ack(wanted=ack.wanted)),
    Refusal: (
        'failure',
        lambda refusal: ttypes.Failure(
            code=int(refusal.code),
            reason=refusal.reason,
        ),
    ),
}

_DECODERS: Final[dict[str, Callable[[Any], Message | Refusal]]] = {
    'ping': lambda struct: Ping(_text(struct.target)),
    'pong': lambda struct: Pong(
        _text(struct.host),
        _number(struct.incarnation),
    ),
    'sync': lambda struct: Sync(
        _optional_version_in(struct.version),
        tuple(
            _number(bucket, MAX_HASH)
            for bucket in _items(struct.buckets, MAX_BUCKETS)
        ),
        _members_in(struct.members),
    ),
    'announce': lambda struct: Announce(_version_in(struct.version)),
    'fetch': lambda struct: Fetch(
        _version_in(struct.wanted),
        _digest(struct.held),
    ),
    'content': lambda struct: Content(
        _optional_version_in(struct.version),
        _digest(struct.base),
        _required(struct.payload),
    ),
    'update': lambda struct: Update(_members_in(struct.members)),
    'suspects': lambda struct: Suspects(
        _text(struct.serviceName),
        _fingerprints(struct.suspected),
        _fingerprints(struct.convicted),
        _fingerprints(struct.cleared),
    ),
    'ack': lambda struct: Ack(bool(struct.wanted)),
    'failure': lambda struct: Refusal(
        ResultCode(struct.code),
        struct.reason[:MAX_TEXT],
    ),
}
