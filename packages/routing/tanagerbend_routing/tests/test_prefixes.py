"""Routes by host and longest prefix."""

import random

import pytest

from tanagerbend_model import Refusal
from tanagerbend_routing import (
    Part,
    PrefixRoute,
    Repeat,
    RoutingConfiguration,
)


def route(prefix, *parts, host='shop'):
    named = parts or (Part('one'),)
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
def test_longest_prefix(path, prefix):
    """Guards against a route that is chosen by a part of a name."""
    assert TABLE.match('shop', path).prefix == prefix


def test_routes_of_other_hosts_do_not_count():
    """Guards against a request that leaves its host."""
    assert isinstance(TABLE.match('other', '/b/'), Refusal)
    assert isinstance(TABLE.match('', '/a/'), Refusal)


def test_parts_get_their_weights():
    """Guards against a part that gets more or less than its weight."""
    split = route('/a/', Part('one', 90), Part('two', 10), Part('none', 0))
    chance = random.Random(7)
    found = [split.pick_service(chance) for _ in range(5000)]
    assert abs(found.count('two') / 5000 - 0.1) < 0.02
    assert 'none' not in found
