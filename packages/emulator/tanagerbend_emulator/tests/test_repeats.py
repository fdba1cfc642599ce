"""Repeats at instances, over all daemons and levels of calls."""

import attrs
import pytest

from tanagerbend_emulator import LOADS, simulate, read_load
from tanagerbend_emulator.loads import Restart

SEEDS = (1, 2)
# The daemons keep a larger part of the budget in reserve for repeats that
# they do not count.
MAX_RELATIVE_ERROR = 0.25


def shedding_load():
    """Return a load in which a called service sheds, on twelve hosts."""
    return read_load(LOADS / 'shedding.toml')


def three_level_load():
    """Return a load of three levels of calls; the lowest sheds."""
    return read_load(LOADS / 'depths.toml')


def load_name(load):
    """Return the title of a load up to the colon."""
    return load.title.partition(':')[0]


def load_on_hosts(hosts):
    """Return a load on more hosts, each with a smaller share of it."""
    load = shedding_load()
    factor = hosts / sum(each.instances for each in load.services)
    # Twice the slots in total, for twice the rate of requests.
    services = tuple(
        attrs.evolve(
            each,
            instances=round(each.instances * factor),
            slots=max(round(2 * each.slots / factor), 1),
        )
        for each in load.services
    )
    kinds = tuple(attrs.evolve(each, rate=2 * each.rate) for each in load.kinds)
    shedding = tuple(
        attrs.evolve(each, instances=hosts) for each in load.shedding
    )
    return attrs.evolve(
        load,
        services=services,
        kinds=kinds,
        shedding=shedding,
        floods=(),
    )


def load_with_many_calls():
    """Return a load of few requests that cause sixteen calls each."""
    load = three_level_load()
    calls = {'page': ('item',) * 2, 'item': ('cost',) * 8, 'order': ('item',)}
    kinds = tuple(
        attrs.evolve(each, rate=each.rate / 10, calls=calls.get(each.name, ()))
        for each in load.kinds
    )
    shedding = tuple(attrs.evolve(each, share=0.2) for each in load.shedding)
    return attrs.evolve(load, kinds=kinds, shedding=shedding)


def load_with_restarts():
    """Return a load in which all daemons restart three times."""
    load = shedding_load()
    restarts = tuple(
        Restart(service.name, at, service.instances)
        for service in load.services
        for at in (5.0, 8.0, 11.0)
    )
    return attrs.evolve(load, restarts=restarts)


@pytest.mark.parametrize(
    'load', [shedding_load(), three_level_load()], ids=load_name
)
def test_daemons_know_what_their_repeats_cause(load):
    """Guards against a wrong count of the calls that repeats cause."""
    result = simulate(load, 'objective', 1)
    assert result.caused_repeats > 50
    assert (
        abs(result.counted_caused_repeats / result.caused_repeats - 1)
        < MAX_RELATIVE_ERROR
    )


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(
    'load',
    [
        pytest.param(shedding_load(), id='shedding'),
        pytest.param(three_level_load(), id='three levels'),
        pytest.param(load_with_many_calls(), id='many calls'),
        pytest.param(load_with_restarts(), id='restarts'),
        pytest.param(load_on_hosts(30), id='30 daemons'),
        pytest.param(load_on_hosts(300), id='300 daemons'),
    ],
)
def test_calls_of_repeated_runs_stay_within_the_budget(load, seed):
    """Guards against calls of repeated runs that the budget leaves out."""
    result = simulate(load, 'objective', seed)
    assert max(result.budget_excess.values()) <= 0, result.budget_excess
