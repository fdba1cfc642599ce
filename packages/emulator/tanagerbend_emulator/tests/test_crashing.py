"""Requests that end instances, among others, over a whole fleet."""

import attrs
import pytest

from tanagerbend_emulator import LOADS, play, read_load
from tanagerbend_emulator.loads import Crashed, Restart
from tanagerbend_routing import Repeat

SEEDS = (1, 2)
# After this time every daemon that is in touch knows of a third crash;
# three more sends are allowed then.
CONTACT_SECONDS = 3.0
CRASHES = 3
MAX_LATER = 3
CONVICTED = 'REQUEST_CRASHES_BACKEND'
KILLER = 'killer'


def load_of(hosts, repeat=Repeat.FREELY, retries=1):
    """Return a load whose requests differ, with one that ends instances."""
    load = read_load(LOADS / 'shedding.toml')
    factor = hosts / sum(each.instances for each in load.services)
    services = tuple(
        attrs.evolve(each, instances=round(each.instances * factor))
        for each in load.services
    )
    kinds = [
        attrs.evolve(each, rate=each.rate * factor, is_unique=True)
        for each in load.kinds
    ]
    order = load.kind('order')
    killer = attrs.evolve(
        order,
        name=KILLER,
        rate=2.5,
        repeat=repeat,
        retries=retries,
        is_crashing=True,
        worth=0.0,
        worth_late=0.0,
    )
    return attrs.evolve(
        load,
        seconds=12.0,
        services=services,
        kinds=(*kinds, killer),
        shedding=(),
        floods=(),
    )


def without_killer(load):
    """Return a load without the request that ends instances."""
    kinds = tuple(each for each in load.kinds if each.name != KILLER)
    return attrs.evolve(load, kinds=kinds)


def with_popular_paths(load):
    """Return a load in which all browsing asks for the same page."""
    kinds = tuple(
        attrs.evolve(each, is_unique=each.is_unique and each.name != 'stock')
        for each in load.kinds
    )
    return attrs.evolve(load, kinds=kinds)


def with_crashes(load, seconds=(2.0, 4.0, 4.05, 6.0)):
    """Return a load in which a third of the instances ends at times."""
    crashed = tuple(
        Crashed(each.name, at, max(each.instances // 3, 1))
        for each in load.services
        for at in seconds
    )
    return attrs.evolve(load, crashed=crashed)


def with_restarts(load):
    """Return a load in which a third of the daemons forgets all."""
    restarts = tuple(
        Restart(each.name, at, max(each.instances // 3, 1))
        for each in load.services
        for at in (1.0, 5.0)
    )
    return attrs.evolve(load, restarts=restarts)


def later(verdict):
    """Return the ends of instances after all daemons had to know."""
    ended = verdict.ended.get(KILLER, [])
    if len(ended) < CRASHES:
        return []
    due = ended[CRASHES - 1] + CONTACT_SECONDS
    return [at for at in ended if at > due]


def refused_as_crashing(verdict):
    """Return the sound kinds that were refused as ending instances."""
    return {
        kind
        for kind, code in verdict.codes
        if code == CONVICTED and kind != KILLER
    }


LOAD_CASES = [
    pytest.param(load_of(12), id='safe'),
    pytest.param(load_of(12, retries=0), id='safe, no repeats'),
    pytest.param(load_of(12, Repeat.NEVER), id='unsafe'),
    pytest.param(load_of(12, Repeat.NEVER, 0), id='unsafe, no repeats'),
    pytest.param(load_of(30), id='30 daemons'),
    pytest.param(with_popular_paths(load_of(30)), id='popular paths'),
    pytest.param(
        with_popular_paths(with_crashes(load_of(30))),
        id='popular paths, other crashes',
    ),
    pytest.param(with_restarts(load_of(30, Repeat.NEVER)), id='restarts'),
]


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('load', LOAD_CASES)
def test_crashing_request_is_stopped_and_its_neighbours_are_not(load, seed):
    """Guards against a request that ends instances while it comes."""
    verdict = play(load, 'objective', seed)
    assert len(later(verdict)) <= MAX_LATER, verdict.ended
    assert not refused_as_crashing(verdict), verdict.codes


def test_crashing_request_is_stopped_in_a_large_deployment():
    """Guards against news that reach too few of many daemons in time."""
    load = attrs.evolve(load_of(195), seconds=6.0)
    verdict = play(load, 'objective', 1)
    assert len(later(verdict)) <= MAX_LATER, verdict.ended
    assert not refused_as_crashing(verdict), verdict.codes


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(
    'load',
    [
        pytest.param(with_crashes(load_of(30)), id='unique'),
        pytest.param(
            with_popular_paths(with_crashes(load_of(30))),
            id='popular paths',
        ),
        pytest.param(
            with_crashes(load_of(30), [1 + 0.3 * step for step in range(30)]),
            id='thirty times',
        ),
    ],
)
def test_crashes_for_other_reasons_convict_nobody(load, seed):
    """Guards against sound requests that are refused after crashes."""
    verdict = play(without_killer(load), 'objective', seed)
    assert not refused_as_crashing(verdict), verdict.codes
