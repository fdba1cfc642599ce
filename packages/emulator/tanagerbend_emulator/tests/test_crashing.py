"""Requests that crash instances, among others, over a whole fleet."""

import attrs
import pytest

from tanagerbend_emulator import LOADS, simulate, read_load
from tanagerbend_emulator.loads import Crashed, Restart
from tanagerbend_routing import Repeat

SEEDS = (1, 2)
# Every reachable daemon knows of a third crash after this time; at most
# three further sends may crash an instance then.
CONTACT_SECONDS = 3.0
CRASHES_TO_CONVICT = 3
MAX_LATE_CRASHES = 3
CONVICTED_CODE = 'REQUEST_CRASHES_BACKEND'
CRASHING_KIND = 'killer'


def make_load(hosts, repeat=Repeat.FREELY, retries=1):
    """Return a load of unique requests and a kind that crashes instances."""
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
    crashing_kind = attrs.evolve(
        order,
        name=CRASHING_KIND,
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
        kinds=(*kinds, crashing_kind),
        shedding=(),
        floods=(),
    )


def without_crashing_kind(load):
    """Return a load without the kind that crashes instances."""
    kinds = tuple(each for each in load.kinds if each.name != CRASHING_KIND)
    return attrs.evolve(load, kinds=kinds)


def with_popular_paths(load):
    """Return a load in which all requests of ``stock`` are identical."""
    kinds = tuple(
        attrs.evolve(each, is_unique=each.is_unique and each.name != 'stock')
        for each in load.kinds
    )
    return attrs.evolve(load, kinds=kinds)


def with_crashes(load, seconds=(2.0, 4.0, 4.05, 6.0)):
    """Return a load in which a third of the instances crashes at times."""
    crashed = tuple(
        Crashed(each.name, at, max(each.instances // 3, 1))
        for each in load.services
        for at in seconds
    )
    return attrs.evolve(load, crashed=crashed)


def with_restarts(load):
    """Return a load in which a third of the daemons restarts twice."""
    restarts = tuple(
        Restart(each.name, at, max(each.instances // 3, 1))
        for each in load.services
        for at in (1.0, 5.0)
    )
    return attrs.evolve(load, restarts=restarts)


def late_crash_times(result):
    """Return the times of crashes after all daemons should convict."""
    crash_times = result.crash_times.get(CRASHING_KIND, [])
    if len(crash_times) < CRASHES_TO_CONVICT:
        return []
    deadline = crash_times[CRASHES_TO_CONVICT - 1] + CONTACT_SECONDS
    return [at for at in crash_times if at > deadline]


def wrongly_convicted_kinds(result):
    """Return the other kinds that were refused as crashing instances."""
    return {
        kind
        for kind, code in result.codes
        if code == CONVICTED_CODE and kind != CRASHING_KIND
    }


LOAD_CASES = [
    pytest.param(make_load(12), id='safe'),
    pytest.param(make_load(12, retries=0), id='safe, no repeats'),
    pytest.param(make_load(12, Repeat.NEVER), id='unsafe'),
    pytest.param(make_load(12, Repeat.NEVER, 0), id='unsafe, no repeats'),
    pytest.param(make_load(30), id='30 daemons'),
    pytest.param(with_popular_paths(make_load(30)), id='popular paths'),
    pytest.param(
        with_popular_paths(with_crashes(make_load(30))),
        id='popular paths, other crashes',
    ),
    pytest.param(with_restarts(make_load(30, Repeat.NEVER)), id='restarts'),
]


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('load', LOAD_CASES)
def test_only_the_crashing_request_is_stopped(load, seed):
    """Guards against crashes that go on and convictions of other requests."""
    result = simulate(load, 'objective', seed)
    assert len(late_crash_times(result)) <= MAX_LATE_CRASHES, result.crash_times
    assert not wrongly_convicted_kinds(result), result.codes


def test_crashing_request_is_stopped_in_a_large_deployment():
    """Guards against crash cases that reach too few daemons in time."""
    load = attrs.evolve(make_load(195), seconds=6.0)
    result = simulate(load, 'objective', 1)
    assert len(late_crash_times(result)) <= MAX_LATE_CRASHES, result.crash_times
    assert not wrongly_convicted_kinds(result), result.codes


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(
    'load',
    [
        pytest.param(with_crashes(make_load(30)), id='unique'),
        pytest.param(
            with_popular_paths(with_crashes(make_load(30))),
            id='popular paths',
        ),
        pytest.param(
            with_crashes(make_load(30), [1 + 0.3 * step for step in range(30)]),
            id='thirty times',
        ),
    ],
)
def test_unrelated_crashes_convict_no_request(load, seed):
    """Guards against requests that are refused after unrelated crashes."""
    result = simulate(without_crashing_kind(load), 'objective', seed)
    assert not wrongly_convicted_kinds(result), result.codes
