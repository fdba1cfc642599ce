"""Conversion between control messages and Thrift payloads of frames."""

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
MAX_TEXT_CHARS: Final = 256
DIGEST_BYTES: Final = 32
# Half of the largest signed 64-bit integer, so that a received value can be
# incremented without overflow.
MAX_INTEGER: Final = 2**62  # noqa: WPS432


def serialize(struct: Any) -> bytes:
    """Return a Thrift structure encoded in the compact protocol."""
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def deserialize(struct: Any, payload: bytes) -> Any:
    """Fill a Thrift structure from its compact-protocol encoding.

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
        # The decoder raises many unrelated exceptions on malformed input.
        raise ValueError(f'malformed payload: {error!r}') from error
    return struct


def encode(message: Message | Refusal, correlation: int) -> bytes:
    """Return the payload of the frame that carries one message."""
    name, convert = _ENCODERS[type(message)]
    body = ttypes.Body(**{name: convert(message)})
    return serialize(ttypes.Envelope(correlation=correlation, body=body))


def decode(payload: bytes) -> tuple[int, Message | Refusal]:
    """Return the correlation number and the message of one frame.

    Examples
    ========

    >>> decode(encode(Ping('host-1'), 7))
    (7, Ping(target='host-1'))

    Raises
    ======

    ValueError
        If the payload is malformed, a required field is missing or a value
        is out of bounds.
    """
    envelope = deserialize(ttypes.Envelope(), payload)
    try:
        correlation = _checked_integer(envelope.correlation)
        return correlation, _decode_body(envelope.body)
    except (TypeError, AttributeError) as error:
        raise ValueError(f'incomplete message: {error}') from error


def _decode_body(body: Any) -> Message | Refusal:
    present = [
        (convert, getattr(body, name))
        for name, convert in _DECODERS.items()
        if getattr(body, name) is not None
    ]
    if len(present) != 1:
        raise ValueError(f'{len(present)} messages in one frame, expected 1')
    convert, struct = present[0]
    return convert(struct)


def _checked_integer(number: int, maximum: int = MAX_INTEGER) -> int:
    if not 0 <= number <= maximum:
        raise ValueError(f'integer {number} is out of range')
    return number


def _checked_text(text: str) -> str:
    if len(text) > MAX_TEXT_CHARS:
        raise ValueError(f'text of {len(text)} characters is too long')
    return text


def _checked_items(field: list[Any], max_items: int) -> list[Any]:
    if len(field) > max_items:
        raise ValueError(f'{len(field)} items, at most {max_items}')
    return field


def _checked_digest(digest: bytes) -> bytes:
    if len(digest) not in {0, DIGEST_BYTES}:
        raise ValueError(f'digest of {len(digest)} bytes has an invalid length')
    return digest


def _checked_fingerprints(field: list[bytes]) -> tuple[bytes, ...]:
    for fingerprint in _checked_items(field, MAX_FINGERPRINTS):
        if not 0 < len(fingerprint) <= MAX_FINGERPRINT_BYTES:
            raise ValueError(f'fingerprint of {len(fingerprint)} bytes')
    return tuple(field)


def _version_to_thrift(version: Version | None) -> Any:
    if version is None:
        return None
    return ttypes.Version(
        edition=list(version.edition),
        revision=version.revision,
        digest=version.digest,
    )


def _version_from_thrift(struct: Any) -> Version:
    edition = _checked_items(struct.edition, MAX_EDITION_PARTS)
    return Version(
        tuple(_checked_integer(part) for part in edition),
        _checked_integer(struct.revision),
        _checked_digest(struct.digest),
    )


def _optional_version_from_thrift(struct: Any) -> Version | None:
    return None if struct is None else _version_from_thrift(struct)


def _member_to_thrift(member: Member) -> Any:
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


def _member_from_thrift(struct: Any) -> Member:
    return Member(
        host=_checked_text(struct.host),
        service=_checked_text(struct.serviceName),
        failure_domain=_checked_text(struct.failureDomain),
        region=_checked_text(struct.region),
        incarnation=_checked_integer(struct.incarnation),
        sequence=_checked_integer(struct.sequence),
        state=MemberState(struct.state),
        call_address=_checked_text(struct.callAddress),
        peer_address=_checked_text(struct.peerAddress),
    )


def _members_to_thrift(members: tuple[Member, ...]) -> list[Any]:
    return [_member_to_thrift(member) for member in members]


def _members_from_thrift(structs: list[Any]) -> tuple[Member, ...]:
    return tuple(
        _member_from_thrift(struct)
        for struct in _checked_items(structs, MAX_MEMBERS)
    )


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
            version=_version_to_thrift(sync.version),
            buckets=list(sync.buckets),
            members=_members_to_thrift(sync.members),
        ),
    ),
    Announce: (
        'announce',
        lambda announce: ttypes.Announce(
            version=_version_to_thrift(announce.version),
        ),
    ),
    Fetch: (
        'fetch',
        lambda fetch: ttypes.Fetch(
            wanted=_version_to_thrift(fetch.wanted),
            held=fetch.held,
        ),
    ),
    Content: (
        'content',
        lambda content: ttypes.Content(
            version=_version_to_thrift(content.version),
            base=content.base,
            payload=content.payload,
        ),
    ),
    Update: (
        'update',
        lambda update: ttypes.Update(
            members=_members_to_thrift(update.members)
        ),
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
    'ping': lambda struct: Ping(_checked_text(struct.target)),
    'pong': lambda struct: Pong(
        _checked_text(struct.host),
        _checked_integer(struct.incarnation),
    ),
    'sync': lambda struct: Sync(
        _optional_version_from_thrift(struct.version),
        tuple(
            _checked_integer(bucket, MAX_HASH)
            for bucket in _checked_items(struct.buckets, MAX_BUCKETS)
        ),
        _members_from_thrift(struct.members),
    ),
    'announce': lambda struct: Announce(_version_from_thrift(struct.version)),
    'fetch': lambda struct: Fetch(
        _version_from_thrift(struct.wanted),
        _checked_digest(struct.held),
    ),
    'content': lambda struct: Content(
        _optional_version_from_thrift(struct.version),
        _checked_digest(struct.base),
        _required(struct.payload),
    ),
    'update': lambda struct: Update(_members_from_thrift(struct.members)),
    'suspects': lambda struct: Suspects(
        _checked_text(struct.serviceName),
        _checked_fingerprints(struct.suspected),
        _checked_fingerprints(struct.convicted),
        _checked_fingerprints(struct.cleared),
    ),
    'ack': lambda struct: Ack(bool(struct.wanted)),
    'failure': lambda struct: Refusal(
        ResultCode(struct.code),
        struct.reason[:MAX_TEXT_CHARS],
    ),
}
