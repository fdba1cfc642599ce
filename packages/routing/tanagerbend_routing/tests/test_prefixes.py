"""Tests of routes by host and longest prefix."""

import random

import attrs
import pytest

from tanagerbend_model import Refusal
from tanagerbend_routing import (
    PrefixRoute,
    Repeat,
    RoutingConfiguration,
    WeightedService,
)


def route(prefix, *parts, host='shop'):
    named = parts or (WeightedService('one'),)
    return PrefixRoute(prefix, host, prefix, named, Repeat.FREELY, 1.0, 0.5)


TABLE = RoutingConfiguration.build(
    1,
    (route('/a/'), route('/a/b/'), route('/a/', host='other'), route('/')),
    None,
)


@pytest.mark.parametrize(
    ('path', 'prefix'),
    (
        ('/a/', '/a/'),
        ('/a/bc', '/a/'),
        ('/a/b/c?x=/a/', '/a/b/'),
        ('/a', '/'),
        ('/?q=/a/b/', '/'),
    ),
)
def test_longest_prefix_matches(path, prefix):
    """Guards against matching a prefix within a path segment."""
    assert TABLE.match('shop', path).prefix == prefix


def test_routes_of_other_hosts_do_not_match():
    """Guards against routing a request by the routes of another host."""
    assert isinstance(TABLE.match('other', '/b/'), Refusal)
    assert isinstance(TABLE.match('', '/a/'), Refusal)


def test_requests_are_split_by_weight():
    """Guards against services that get more or less than their weight."""
    split = route(
        '/a/',
        WeightedService('one', 90),
        WeightedService('two', 10),
        WeightedService('none', 0),
    )
    rng = random.Random(7)
    found = [split.pick_service(rng) for _ in range(5000)]
    assert abs(found.count('two') / 5000 - 0.1) < 0.02
    assert 'none' not in found


def test_shared_routes_are_not_compared(monkeypatch):
    """Guards against comparing all routes again for each version."""
    changed = attrs.evolve(TABLE.hosts['shop']['/a/'], timeout=9.0)
    routes = {**TABLE.routes, ('shop', '/a/'): changed}
    newer = RoutingConfiguration.build(2, tuple(routes.values()), None)
    compared = []
    equal = PrefixRoute.__eq__

    def count(one, other):
        compared.append(other)
        return equal(one, other)

    monkeypatch.setattr(PrefixRoute, '__eq__', count)
    shared = newer.with_shared_routes(TABLE)
    difference = shared.difference_from(TABLE)
    assert len(compared) == 2
    assert difference.put == (changed,)
    assert shared.version == 2
    for key, known in TABLE.routes.items():
        is_changed = key == ('shop', '/a/')
        assert shared.routes[key] is (changed if is_changed else known)


def test_equal_routes_are_shared():
    """Guards against versions that each hold copies of all routes."""
    copies = tuple(attrs.evolve(each) for each in TABLE.routes.values())
    newer = RoutingConfiguration.build(2, (*copies, route('/new/')), None)
    shared = newer.with_shared_routes(TABLE)
    assert shared.routes.keys() == newer.routes.keys()
    for key, known in TABLE.routes.items():
        assert shared.routes[key] is known
