"""Encoding of changes between daemons."""

import json
import zlib

import attrs
import pytest

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.changes import (
    MAX_REPLY_BYTES,
    Batch,
    Item,
    Removed,
    PollReply,
    decode_reply,
    encode_reply,
)
from tanagerbend_proxy.poll_request import PollRequest
from tanagerbend_proxy.positions import StorePosition
from tanagerbend_routing import (
    CallerLimits,
    ColdRate,
    ListedInstance,
    WeightedService,
    PrefixRoute,
    Repeat,
    RoutingConfiguration,
)

AT = StorePosition(2, 120)
LIMITS = CallerLimits(16384, 100000, 3.0, 15.0)
INSTANCE = ListedInstance('i-1', '10.0.0.1:80', 'shop', 'north', 3)


def route(name, **changes):
    made = PrefixRoute(
        name,
        'shop.example',
        f'/{name}/',
        (WeightedService('shop', 3.0), WeightedService('docs')),
        Repeat.NEVER,
        2.0,
        1.0,
        2,
        1,
    )
    return attrs.evolve(made, **changes)


OLD = RoutingConfiguration.build(
    7,
    (route('gone'), route('kept'), route('moved')),
    LIMITS,
)
NEW = RoutingConfiguration.build(
    9,
    (
        route('kept'),
        route('moved', parts=(WeightedService('docs'),)),
        route('added'),
    ),
    attrs.evolve(LIMITS, body_bytes=5),
    {'shop': ColdRate(4.8, 3.0)},
)


def reply_with(*items):
    return PollReply(Batch(items, AT), 0.25, 'i-5')


def relayed(found, base, known, now=50.0):
    raw = encode_reply(found, base, 10.0)
    return decode_reply(raw, known, now), len(raw)


@pytest.mark.parametrize(('base', 'known'), [(OLD, OLD), (None, OLD)])
def test_configuration_arrives_unchanged(base, known):
    """Guards against routes that are altered when they are relayed."""
    found, _ = relayed(reply_with(Item('', NEW)), base, known)
    assert found.batch.items == (Item('', NEW),)
    assert (found.batch.position, found.reader, found.age) == (AT, 'i-5', 0.25)


def test_instances_arrive_unchanged():
    """Guards against a cold time on the monotonic clock of another host."""
    cold = attrs.evolve(INSTANCE, cold_until=13.0)
    found, _ = relayed(
        reply_with(Item('i-1', cold), Item('i-2', Removed())), OLD, OLD
    )
    items = {item.identity: item.value for item in found.batch.items}
    assert items == {
        'i-1': attrs.evolve(INSTANCE, cold_until=53.0),
        'i-2': Removed(),
    }


@pytest.mark.parametrize('sequence', [None, 0, 41])
def test_order_of_entries_arrives(sequence):
    """Guards against a relayed entry that cannot be told from a later one."""
    known = attrs.evolve(INSTANCE, born=900, sequence=sequence)
    found, _ = relayed(reply_with(Item('i-1', known)), OLD, OLD)
    (item,) = found.batch.items
    assert (item.value.born, item.value.sequence) == (900, sequence)


def test_entries_of_two_starts_keep_their_sequences():
    """Guards against a departure that is relayed with another's sequence."""
    leaving = attrs.evolve(INSTANCE, is_leaving=True, born=900, sequence=41)
    earlier = attrs.evolve(INSTANCE, born=800, sequence=6)
    items = [Item('i-1', leaving), Item('i-1', earlier)]
    found, _ = relayed(reply_with(*items), OLD, OLD)
    values = [item.value for item in found.batch.items]
    assert [each.sequence for each in values] == [41, 6]
    assert [each.is_leaving for each in values] == [True, False]


@pytest.mark.parametrize('removed_at', [0, 1, 2])
def test_removal_keeps_its_place(removed_at):
    """Guards against a follower that misses the departure before a removal.

    An entry that arrives after the removal could not be told from a new one.
    """
    leaving = attrs.evolve(INSTANCE, is_leaving=True, born=900, sequence=41)
    late = attrs.evolve(INSTANCE, born=900, sequence=6)
    items = [Item('i-1', leaving), Item('i-1', late)]
    items.insert(removed_at, Item('i-1', Removed()))
    found, _ = relayed(reply_with(Item('i-2', Removed()), *items), OLD, OLD)
    arrived = [item for item in found.batch.items if item.identity == 'i-1']
    kinds = [type(item.value) for item in items]
    assert [type(item.value) for item in arrived] == kinds


@pytest.mark.parametrize('field', ['sequences', 'gone_after'])
@pytest.mark.parametrize('numbers', [[], [1, 2], {}, 5, [[]]])
def test_reply_with_other_numbers_is_refused(field, numbers):
    """Guards against sequences and removals of other instances."""
    items = Item('i-1', INSTANCE), Item('i-2', Removed())
    raw = encode_reply(reply_with(*items), OLD, 10.0)
    document = json.loads(zlib.decompress(raw))
    document[field] = numbers
    changed = zlib.compress(json.dumps(document).encode())
    found = decode_reply(changed, OLD, 50.0)
    assert found.code is ResultCode.FRAME_MALFORMED


def test_instances_of_an_earlier_release_have_no_sequence():
    """Guards against two releases that can't follow each other."""
    known = attrs.evolve(INSTANCE, born=900, sequence=41)
    raw = encode_reply(reply_with(Item('i-1', known)), OLD, 10.0)
    document = json.loads(zlib.decompress(raw))
    document.pop('sequences')
    document.pop('gone_after')
    # An earlier release refuses unknown fields of an instance.
    assert 'sequence' not in document['instances'][0]
    earlier = zlib.compress(json.dumps(document).encode())
    (item,) = decode_reply(earlier, OLD, 50.0).batch.items
    assert item.value == attrs.evolve(known, sequence=None, cold_until=50.0)


@pytest.mark.parametrize('sequence', [-1, 'x', True, 2**70])
def test_invalid_sequence_is_refused(sequence):
    """Guards against an entry that no later one can follow."""
    known = attrs.evolve(INSTANCE, born=900, sequence=sequence)
    found, _ = relayed(reply_with(Item('i-1', known)), OLD, OLD)
    assert found.code is ResultCode.FRAME_MALFORMED


@pytest.mark.parametrize('seconds', [None, 0.0, 4.5])
def test_outage_arrives_with_its_duration(seconds):
    """Guards against a daemon that begins the outage of a peer anew."""
    told = attrs.evolve(reply_with(), lost_seconds=seconds)
    found, _ = relayed(told, OLD, OLD)
    assert found.lost_seconds == seconds


def test_outage_that_begins_later_is_refused():
    """Guards against a daemon that waits for the end of an outage to come."""
    told = attrs.evolve(reply_with(), lost_seconds=-1.0)
    found, _ = relayed(told, OLD, OLD)
    assert found.code is ResultCode.FRAME_MALFORMED


def test_reply_of_an_earlier_release_tells_of_no_outage():
    """Guards against two releases that can't follow each other."""
    raw = encode_reply(reply_with(), OLD, 10.0)
    document = json.loads(zlib.decompress(raw))
    document.pop('lost_ms')
    earlier = zlib.compress(json.dumps(document).encode())
    assert decode_reply(earlier, OLD, 50.0).lost_seconds is None


def test_difference_of_a_large_configuration_is_small():
    """Guards against sending a whole configuration for one changed route."""
    routes = [route(f'r{number}') for number in range(1000)]
    before = RoutingConfiguration.build(7, tuple(routes), LIMITS)
    routes[5] = route('r5', rank=4)
    after = RoutingConfiguration.build(8, tuple(routes), LIMITS)
    found, size = relayed(reply_with(Item('', after)), before, before)
    assert found.batch.items[0].value == after
    assert size < 500


def test_equal_routes_are_shared():
    """Guards against memory that grows with each retained version."""
    shared = NEW.with_shared_routes(OLD)
    assert shared == NEW
    key = ('shop.example', '/kept/')
    assert shared.routes[key] is OLD.routes[key]


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b'plain',
        zlib.compress(b'[]'),
        zlib.compress(b'{"revision": 3}'),
        zlib.compress(b' ' * (MAX_REPLY_BYTES + 9)),
        encode_reply(reply_with(Item('', NEW)), OLD, 0.0)[:-9],
    ],
)
def test_malformed_reply_is_refused(raw):
    """Guards against an exception raised by a malformed reply of a peer."""
    found = decode_reply(raw, OLD, 0.0)
    assert isinstance(found, Refusal)
    assert found.code is ResultCode.FRAME_MALFORMED


def test_difference_from_another_version_is_refused():
    """Guards against applying a difference to the wrong version."""
    found, _ = relayed(
        reply_with(Item('', NEW)), OLD, attrs.evolve(OLD, version=3)
    )
    assert isinstance(found, Refusal)


def test_poll_request_arrives_unchanged():
    """Guards against a poll request that is altered when it is sent."""
    request = PollRequest(AT, 7, 0.5, 'i-1', 9000.5)
    header, era = request.encode(), request.encode_era()
    assert PollRequest.decode(header, era) == request
    assert isinstance(PollRequest.decode(header, 'x'), Refusal)
    assert isinstance(PollRequest.decode('[1]'), Refusal)


def test_evacuations_arrive_with_each_reply():
    """Guards against an order that stops at the daemon that reads it."""
    reply = PollReply(
        Batch((), AT, evacuated=frozenset({'north', 'süd 1'})), 0.25, 'i-5'
    )
    found, _ = relayed(reply, OLD, OLD)
    assert found.batch.evacuated == {'north', 'süd 1'}


@pytest.mark.parametrize('names', ['north', [7], [''], [['north']], {'a': 1}])
def test_malformed_evacuations_of_a_peer_are_refused(names):
    """Guards against an exception at a message of another release."""
    document = json.loads(
        zlib.decompress(encode_reply(reply_with(), OLD, 10.0))
    )
    assert document['evacuated'] is None
    document['evacuated'] = names
    compressed = zlib.compress(json.dumps(document).encode())
    found = decode_reply(compressed, OLD, 50.0)
    assert isinstance(found, Refusal)


def test_reply_of_an_earlier_release_reports_no_evacuations():
    """Guards against taking a release that can't report for none."""
    document = json.loads(
        zlib.decompress(encode_reply(reply_with(), OLD, 10.0))
    )
    document.pop('evacuated')
    compressed = zlib.compress(json.dumps(document).encode())
    assert decode_reply(compressed, OLD, 50.0).batch.evacuated is None


@pytest.mark.parametrize('rates', [{'shop': [0, 3]}, {'shop': ['x', 3]}, [7]])
def test_malformed_cold_rates_of_a_peer_are_refused(rates):
    """Guards against a division by a rate that is none."""
    reply = encode_reply(reply_with(Item('', NEW)), OLD, 10.0)
    document = json.loads(zlib.decompress(reply))
    document['routes']['cold_rates'] = rates
    compressed = zlib.compress(json.dumps(document).encode())
    assert isinstance(decode_reply(compressed, OLD, 50.0), Refusal)


def test_configuration_of_an_earlier_release_has_no_cold_rates():
    """Guards against refusing a configuration without the new field."""
    reply = encode_reply(reply_with(Item('', NEW)), OLD, 10.0)
    document = json.loads(zlib.decompress(reply))
    document['routes'].pop('cold_rates')
    compressed = zlib.compress(json.dumps(document).encode())
    (item,) = decode_reply(compressed, OLD, 50.0).batch.items
    assert item.value == attrs.evolve(NEW, cold_rates={})


def test_earlier_releases_state_no_era():
    """Guards against polls between daemons of two releases that fail."""
    request = PollRequest(AT, 7, 0.5, 'i-1', 9000.5)
    fields = json.loads(request.encode())
    assert fields == [120, 7, 0.5, 'i-1', 9000.5, False]
    found = PollRequest.decode(request.encode())
    assert found.position == StorePosition(0, 120)
    document = json.loads(zlib.decompress(encode_reply(reply_with(), None, 0)))
    document.pop('era')
    compressed = zlib.compress(json.dumps(document).encode())
    reply = decode_reply(compressed, None, 0)
    assert reply.batch.position == StorePosition(0, 120)
