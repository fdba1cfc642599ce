"""Items of the platform's service, and how daemons tell them each other."""

import json
import zlib
from typing import Any, Final

import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_model.addresses import MAX_NUMBER
from tanagerbend_proxy.messages import MILLISECONDS, UNFIT, finite, whole
from tanagerbend_proxy.ranges import MOST_IDENTITY, fault_of
from tanagerbend_routing import (
    CallerLimits,
    ListedInstance,
    Part,
    PrefixRoute,
    Repeat,
    RouteDifference,
    RoutingConfiguration,
)

# Largest answer of a peer after decompression, in bytes; a configuration
# of 10,000 routes takes about a fifth of it.
MOST_BYTES: Final = 8388608
MALFORMED: Final = (*UNFIT, LookupError, AttributeError, zlib.error)


@attrs.frozen
class Unreadable:
    """Value that names no configuration and no instance.

    Parameters
    ==========

    reason : str
    """

    reason: str


@attrs.frozen
class Removed:
    """Value that was removed."""


Fact = RoutingConfiguration | ListedInstance | Unreadable | Removed


@attrs.frozen
class Item:
    """One key and what its value says.

    Parameters
    ==========

    identity : str
        Identity of an instance; empty for a configuration.
    fact : RoutingConfiguration, ListedInstance, Unreadable or Removed
    """

    identity: str
    fact: Fact


@attrs.frozen
class Batch:
    """Items up to one revision of the service.

    Parameters
    ==========

    items : tuple of Item
    revision : int
    size : int
        Bytes that were read.
    seconds : float
        Time that their transfer took.
    """

    items: tuple[Item, ...]
    revision: int
    size: int = 0
    seconds: float = 0.0


@attrs.frozen
class HistoryGone:
    """The changes since a revision are no longer available."""


@attrs.frozen
class PollRequest:
    """What a daemon asks a peer that reads the service.

    Parameters
    ==========

    revision : int
        What the asking daemon knows already.
    version : int
        Version of the configuration that it has.
    wait : float
        Seconds to wait for a change.
    host : str
        Identity of the instance beside the asking daemon.
    speed : float
        Bytes a second at which it read the service, 0 if unknown.
    is_reader : bool
        Whether the peer has been named to the asking daemon as the one
        that reads.
    """

    revision: int
    version: int
    wait: float
    host: str
    speed: float
    is_reader: bool = False

    def encode(self) -> str:
        """Return the text of the header."""
        return json.dumps(attrs.astuple(self))

    @classmethod
    def decode(cls, text: str) -> 'PollRequest | Refusal':
        """Read the header of another daemon."""
        try:
            fields = attrs.fields_dict(cls)
            sent = dict(zip(fields, json.loads(text), strict=True))
            if len(sent['host']) > MOST_IDENTITY:
                raise ValueError('identity out of range')
            return cls(
                whole(sent['revision'], MAX_NUMBER),
                whole(sent['version'], MAX_NUMBER),
                finite(sent['wait']),
                str(sent['host']),
                finite(sent['speed']),
                bool(sent['is_reader']),
            )
        except MALFORMED as error:
            return Refusal(ResultCode.HEADER_INVALID, f'request: {error}')


@attrs.frozen
class PollReply:
    """What a peer tells.

    Parameters
    ==========

    batch : Batch
    age : float
        Seconds since the peer last heard the service.
    reader : str
        Identity of the instance whose daemon reads, by the peer.
    settled_after : float
        Seconds until a missing entry says to the peer that its instance
        is gone.
    """

    batch: Batch
    age: float
    reader: str
    settled_after: float = 0.0


def encode_reply(
    reply: PollReply,
    base: RoutingConfiguration | None,
    now: float,
) -> bytes:
    """Return what a peer is told, compressed.

    ``base`` is the configuration that the peer has, if it is known here;
    ``now`` is in monotonic seconds.
    """
    instances = []
    gone = []
    routes = None
    for item in reply.batch.items:
        match item.fact:
            case ListedInstance(cold_until=cold_until):
                fields = attrs.asdict(item.fact)
                fields['cold_until'] = max(cold_until - now, 0)
                instances.append(fields)
            case RoutingConfiguration():
                routes = _encode_difference(item.fact.difference_from(base))
            case _:
                gone.append(item.identity)
    document = {
        'revision': reply.batch.revision,
        'age_ms': round(reply.age * MILLISECONDS),
        'reader': reply.reader,
        'settled_ms': round(reply.settled_after * MILLISECONDS),
        'instances': instances,
        'gone': gone,
        'routes': routes,
    }
    return zlib.compress(json.dumps(document).encode(), 1)


def _encode_difference(difference: RouteDifference) -> dict[str, Any]:
    fields = attrs.asdict(difference, recurse=False)
    fields['put'] = [
        (
            *attrs.astuple(route, filter=_is_plain),
            [attrs.astuple(part) for part in route.parts],
            route.repeat.value,
        )
        for route in difference.put
    ]
    limits = difference.limits
    fields['limits'] = None if limits is None else attrs.asdict(limits)
    return fields


def _is_plain(field: 'attrs.Attribute[Any]', _found: Any) -> bool:
    return field.name not in {'parts', 'repeat'}


def decode_reply(
    raw: bytes,
    known: RoutingConfiguration | None,
    now: float,
) -> PollReply | Refusal:
    """Read what a peer told; ``known`` is the configuration here."""
    try:
        document = json.loads(_inflate(raw))
        return _read_reply(document, known, now, len(raw))
    except MALFORMED as error:
        reason = f'answer of a peer: {type(error).__name__}: {error}'
        return Refusal(ResultCode.FRAME_MALFORMED, reason)


def _inflate(raw: bytes) -> bytes:
    unpacked = zlib.decompressobj().decompress(raw, MOST_BYTES + 1)
    if len(unpacked) > MOST_BYTES:
        raise ValueError(f'more than {MOST_BYTES} bytes')
    return unpacked


def _read_reply(
    document: dict[str, Any],
    known: RoutingConfiguration | None,
    now: float,
    size: int,
) -> PollReply:
    items = [Item(name, Removed()) for name in document['gone']]
    for fields in document['instances']:
        fields['cold_until'] += now
        instance = ListedInstance(**fields)
        fault = fault_of(instance, now)
        if fault:
            raise ValueError(f'{fault} of {instance.identity!r}')
        items.append(Item(instance.identity, instance))
    if document['routes'] is not None:
        difference = _decode_difference(document['routes'])
        version = 0 if known is None else known.version
        if difference.base not in {0, version}:
            raise ValueError(f'difference from version {difference.base}')
        base = known if difference.base else None
        made = RoutingConfiguration.changed_by(difference, base)
        items.append(Item('', made))
    return PollReply(
        Batch(tuple(items), whole(document['revision'], MAX_NUMBER), size),
        finite(document['age_ms']) / MILLISECONDS,
        str(document['reader']),
        finite(document['settled_ms']) / MILLISECONDS,
    )


def _decode_difference(fields: dict[str, Any]) -> RouteDifference:
    limits = fields['limits']
    return RouteDifference(
        fields['version'],
        fields['base'],
        tuple(_route(*row) for row in fields['put']),
        tuple((host, prefix) for host, prefix in fields['removed']),
        None if limits is None else CallerLimits(**limits),
    )


def _route(*row: Any) -> PrefixRoute:
    *plain, parts, repeat = row
    name, host, prefix, *terms = plain
    return PrefixRoute(
        name,
        host,
        prefix,
        tuple(Part(service, weight) for service, weight in parts),
        Repeat(repeat),
        *terms,
    )
