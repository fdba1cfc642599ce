"""Items of the platform's service, and their encoding between daemons."""

import json
import zlib
from collections import Counter
from typing import Any, Final

import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_model.addresses import MAX_WIRE_NUMBER
from tanagerbend_proxy.messages import (
    DECODING_ERRORS,
    MILLISECONDS,
    finite_float,
    integer_in_range,
)
from tanagerbend_proxy.optional_fields import (
    decode_cold_rates,
    decode_domains,
    decode_optional,
    decode_seconds,
    encode_cold_rates,
    encode_domains,
    to_milliseconds,
)
from tanagerbend_proxy.positions import StorePosition
from tanagerbend_proxy.ranges import invalid_field
from tanagerbend_routing import (
    CallerLimits,
    EvacuationOrder,
    ListedInstance,
    PrefixRoute,
    Repeat,
    RouteDifference,
    RoutingConfiguration,
    WeightedService,
)

# Limit of a peer's answer after decompression; a configuration of 10,000
# routes takes about a fifth of it.
MAX_REPLY_BYTES: Final = 8388608
MALFORMED_ERRORS: Final = (
    *DECODING_ERRORS,
    LookupError,
    AttributeError,
    zlib.error,
)


@attrs.frozen
class Unreadable:
    """A value that is neither a configuration nor an instance.

    Parameters
    ==========

    reason : str
    """

    reason: str


@attrs.frozen
class Removed:
    """A value that was removed."""


ItemValue = (
    RoutingConfiguration
    | ListedInstance
    | EvacuationOrder
    | Unreadable
    | Removed
)


@attrs.frozen
class Item:
    """A key of the service with its decoded value.

    Parameters
    ==========

    identity : str
        Identity of an instance; empty for other values.
    value : RoutingConfiguration, ListedInstance, EvacuationOrder, Unreadable \
        or Removed
    """

    identity: str
    value: ItemValue


@attrs.frozen
class Batch:
    """Items up to one position in the history of the service.

    Parameters
    ==========

    items : tuple of Item
    position : StorePosition
        Up to which all changes of instances are included.
    size : int
        Bytes of the transfer.
    seconds : float
        Duration of the transfer.
    after : StorePosition or None
        After which all changes are included; None if the batch follows
        whatever has been applied.
    complete : StorePosition or None
        Up to which configurations and evacuations are included too; None if
        it is ``position``.
    evacuated : frozenset of str or None
        All failure domains that are evacuated at position ``complete``; None
        if ``items`` hold the changes.
    age : float
        Seconds between the transfer and its use; 0 unless it was begun
        before the daemon could use it.
    """

    items: tuple[Item, ...]
    position: StorePosition
    size: int = 0
    seconds: float = 0.0
    after: StorePosition | None = None
    complete: StorePosition | None = None
    evacuated: frozenset[str] | None = None
    age: float = 0.0


@attrs.frozen
class HistoryUnavailable:
    """The changes since a position are no longer available."""


@attrs.frozen
class PollReply:
    """A peer's answer to a poll.

    Parameters
    ==========

    batch : Batch
    age : float
        Seconds since the peer read all changes of the service.
    reader : str
        Identity of the instance whose daemon the peer takes for the reader.
    settled_after : float
        Seconds until the peer takes a missing entry as a sign that its
        instance is gone.
    lost_seconds : float or None
        Seconds since the peer lost the service, None if it did not.
    entries_age : float or None
        Seconds since the peer read the changes of instances; None if it is
        ``age``.
    """

    batch: Batch
    age: float
    reader: str
    settled_after: float = 0.0
    lost_seconds: float | None = None
    entries_age: float | None = None

    def aged(self, seconds: float) -> 'PollReply':
        """Return the reply as it is after some seconds on the way."""
        entries_age = self.age if self.entries_age is None else self.entries_age
        return attrs.evolve(
            self, age=self.age + seconds, entries_age=entries_age + seconds
        )


def encode_reply(
    reply: PollReply,
    base: RoutingConfiguration | None,
    now: float,
) -> bytes:
    """Return a reply as compressed JSON.

    ``base`` is the configuration in force at the peer, None if it is not
    retained here; ``now`` is in monotonic seconds.
    """
    instances = []
    # In the order of the instances, of which daemons of earlier releases refuse
    # unknown fields.
    sequences = []
    removed = []
    # For each removal, the number of entries of its instance before it.
    removed_after = []
    entry_counts: Counter[str] = Counter()
    routes = None
    for item in reply.batch.items:
        match item.value:
            case ListedInstance(cold_until=cold_until):
                fields = attrs.asdict(item.value)
                sequences.append(fields.pop('sequence'))
                fields['cold_until'] = max(cold_until - now, 0)
                instances.append(fields)
                entry_counts[item.identity] += 1
            case RoutingConfiguration():
                routes = _encode_difference(item.value.difference_from(base))
            case _:
                removed.append(item.identity)
                removed_after.append(entry_counts[item.identity])
    document = {
        'era': reply.batch.position.era,
        'revision': reply.batch.position.revision,
        'complete': _encode_complete(reply.batch),
        'evacuated': encode_domains(reply.batch.evacuated),
        'age_ms': round(reply.age * MILLISECONDS),
        'entries_age_ms': to_milliseconds(reply.entries_age),
        'reader': reply.reader,
        'settled_ms': round(reply.settled_after * MILLISECONDS),
        'lost_ms': to_milliseconds(reply.lost_seconds),
        'instances': instances,
        'sequences': sequences,
        'gone': removed,
        'gone_after': removed_after,
        'routes': routes,
    }
    return zlib.compress(json.dumps(document).encode(), 1)


def _encode_complete(batch: Batch) -> int | None:
    """Return the revision of the configurations, 0 if of an earlier era."""
    if batch.complete is None:
        return None
    is_current = batch.complete.era == batch.position.era
    return batch.complete.revision if is_current else 0


def _encode_difference(difference: RouteDifference) -> dict[str, Any]:
    fields = attrs.asdict(difference, recurse=False)
    fields['put'] = [
        (
            *attrs.astuple(route, filter=_is_scalar_field),
            [attrs.astuple(part) for part in route.parts],
            route.repeat.value,
        )
        for route in difference.put
    ]
    limits = difference.limits
    fields['limits'] = None if limits is None else attrs.asdict(limits)
    fields['cold_rates'] = encode_cold_rates(difference.cold_rates)
    return fields


def _is_scalar_field(field: 'attrs.Attribute[Any]', _value: Any) -> bool:
    return field.name not in {'parts', 'repeat'}


def decode_reply(
    compressed: bytes,
    current: RoutingConfiguration | None,
    now: float,
) -> PollReply | Refusal:
    """Decode a peer's reply.

    ``current`` is the configuration in force here; ``now`` is in monotonic
    seconds.
    """
    try:
        document = json.loads(_inflate(compressed))
        return _parse_reply(document, current, now, len(compressed))
    except MALFORMED_ERRORS as error:
        reason = f'malformed reply of a peer: {type(error).__name__}: {error}'
        return Refusal(ResultCode.FRAME_MALFORMED, reason)


def _inflate(compressed: bytes) -> bytes:
    document = zlib.decompressobj().decompress(compressed, MAX_REPLY_BYTES + 1)
    if len(document) > MAX_REPLY_BYTES:
        raise ValueError(
            f'more than {MAX_REPLY_BYTES} bytes after decompression'
        )
    return document


def _parse_reply(
    document: dict[str, Any],
    current: RoutingConfiguration | None,
    now: float,
    size: int,
) -> PollReply:
    items = _decode_entries(document, now)
    if document['routes'] is not None:
        difference = _decode_difference(document['routes'])
        version = 0 if current is None else current.version
        if difference.base not in {0, version}:
            raise ValueError(
                f'difference from unknown version {difference.base}'
            )
        base = current if difference.base else None
        configuration = RoutingConfiguration.apply(difference, base)
        items.append(Item('', configuration))
    position = StorePosition(
        decode_optional(document, 'era') or 0,
        integer_in_range(document['revision'], MAX_WIRE_NUMBER),
    )
    return PollReply(
        Batch(
            tuple(items),
            position,
            size,
            complete=_decode_complete(document, position),
            evacuated=decode_domains(document.get('evacuated')),
        ),
        finite_float(document['age_ms']) / MILLISECONDS,
        str(document['reader']),
        finite_float(document['settled_ms']) / MILLISECONDS,
        decode_seconds(document, 'lost_ms'),
        decode_seconds(document, 'entries_age_ms'),
    )


def _decode_entries(document: dict[str, Any], now: float) -> list[Item]:
    """Return entries and removals, those of each instance in their order."""
    instances, removed = document['instances'], document['gone']
    # Earlier releases do not send these fields.
    sequences = document.get('sequences', [None] * len(instances))
    removed_after = document.get('gone_after', [0] * len(removed))
    removals = set(zip(removed, removed_after, strict=True))
    items = [Item(name, Removed()) for name in removed if (name, 0) in removals]
    entry_counts: Counter[str] = Counter()
    for fields, sequence in zip(instances, sequences, strict=True):
        fields['cold_until'] += now
        instance = ListedInstance(**fields, sequence=sequence)
        fault = invalid_field(instance, now)
        if fault:
            raise ValueError(f'{fault} of {instance.identity!r}')
        name = instance.identity
        items.append(Item(name, instance))
        entry_counts[name] += 1
        if (name, entry_counts[name]) in removals:
            items.append(Item(name, Removed()))
    return items


def _decode_complete(
    document: dict[str, Any], position: StorePosition
) -> StorePosition | None:
    revision = decode_optional(document, 'complete')
    if revision is None:
        return None
    return attrs.evolve(position, revision=revision)


def _decode_difference(fields: dict[str, Any]) -> RouteDifference:
    limits = fields['limits']
    return RouteDifference(
        fields['version'],
        fields['base'],
        tuple(_decode_route(*row) for row in fields['put']),
        tuple((host, prefix) for host, prefix in fields['removed']),
        None if limits is None else CallerLimits(**limits),
        decode_cold_rates(fields),
    )


def _decode_route(*row: Any) -> PrefixRoute:
    *scalars, parts, repeat = row
    name, host, prefix, *options = scalars
    return PrefixRoute(
        name,
        host,
        prefix,
        tuple(WeightedService(service, weight) for service, weight in parts),
        Repeat(repeat),
        *options,
    )
