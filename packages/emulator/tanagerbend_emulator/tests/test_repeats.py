"""Repeats that reach instances, over all daemons and levels of calls."""

import attrs
import pytest

from tanagerbend_emulator import LOADS, play, read_load
from tanagerbend_emulator.loads import Restart

SEEDS = (1, 2)
# The daemons keep a larger part of the budget for what they miss.
MAX_OFF = 0.25


def shedding():
    """Return a called service that rejects work, on twelve hosts."""
    return read_load(LOADS / 'shedding.toml')


def depths():
    """Return three levels of calls, of which the lowest rejects work."""
    return read_load(LOADS / 'depths.toml')


def titled(load):
    """Return the short name of a load."""
    return load.title.partition(':')[0]


def many_hosts(hosts):
    """Return a load on more hosts, each with a thinner share of it."""
    load = shedding()
    factor = hosts / sum(each.instances for each in load.services)
    # More hosts with fewer slots each serve twice the requests.
    services = tuple(
        attrs.evolve(
            each,
            instances=round(each.instances * factor),
            slots=max(round(2 * each.slots / factor), 1),
        )
        for each in load.services
    )
    kinds = tuple(attrs.evolve(each, rate=2 * each.rate) for each in load.kinds)
    troubles = tuple(
        attrs.evolve(each, instances=hosts) for each in load.shedding
    )
    return attrs.evolve(
        load,
        services=services,
        kinds=kinds,
        shedding=troubles,
        floods=(),
    )


def many_calls():
    """Return few requests, of which each leads to sixteen calls below."""
    load = depths()
    calls = {'page': ('item',) * 2, 'item': ('cost',) * 8, 'order': ('item',)}
    kinds = tuple(
        attrs.evolve(each, rate=each.rate / 10, calls=calls.get(each.name, ()))
        for each in load.kinds
    )
    troubles = tuple(attrs.evolve(each, share=0.2) for each in load.shedding)
    return attrs.evolve(load, kinds=kinds, shedding=troubles)


def restarting():
    """Return a load in which all daemons start again three times."""
    load = shedding()
    restarts = tuple(
        Restart(service.name, at, service.instances)
        for service in load.services
        for at in (5.0, 8.0, 11.0)
    )
    return attrs.evolve(load, restarts=restarts)


@pytest.mark.parametrize('load', [shedding(), depths()], ids=titled)
def test_daemons_know_what_their_repeats_cause(load):
    """Guards against an estimate of caused repeats that is far off."""
    verdict = play(load, 'objective', 1)
    assert verdict.caused > 50
    assert abs(verdict.counted / verdict.caused - 1) < MAX_OFF


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(
    'load',
    [
        pytest.param(shedding(), id='shedding'),
        pytest.param(depths(), id='three levels'),
        pytest.param(many_calls(), id='many calls'),
        pytest.param(restarting(), id='restarts'),
        pytest.param(many_hosts(30), id='30 daemons'),
        pytest.param(many_hosts(300), id='300 daemons'),
    ],
)
def test_calls_of_repeated_runs_stay_within_the_budget(load, seed):
    """Guards against repeats that nobody counts, below the one that is."""
    verdict = play(load, 'objective', seed)
    assert max(verdict.beyond.values()) <= 0, verdict.beyond
