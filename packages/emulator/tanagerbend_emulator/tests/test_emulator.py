"""Load files, virtual time and results under each policy."""

import asyncio
import pathlib
import random

import attrs
import pytest

from tanagerbend_emulator import (
    LOADS,
    Load,
    Trial,
    compare,
    simulate,
    read_load,
    run_trials,
)
from tanagerbend_emulator.fleet import EmulatedFleet
from tanagerbend_emulator.instance import make_request
from tanagerbend_emulator.policies import POLICIES
from tanagerbend_emulator.virtual import run_virtual
from tanagerbend_model import Refusal, ResultCode

SMALL = """
title = "small"
seconds = 4.0
domains = ["north", "south"]
between_domains = 0.002
to_callers = 0.003
budget = { ratio = 0.2, window = 10.0, extra = 20.0 }
[[services]]
name = "shop"
instances = 3
slots = 2
[[services]]
name = "docs"
instances = 2
slots = 2
[[kinds]]
name = "browse"
service = "shop"
rate = 30.0
work = 0.1
objective = 0.3
deadline = 1.0
timeout = 1.0
rank = 0
worth = 2.0
calls = ["look"]
[[kinds]]
name = "order"
service = "shop"
rate = 8.0
work = 0.15
objective = 1.0
deadline = 2.0
timeout = 2.0
rank = 1
repeat = "never"
[[kinds]]
name = "look"
service = "docs"
rate = 0.0
work = 0.02
objective = 0.1
deadline = 0.5
timeout = 0.5
rank = 0
worth = 0.0
[[floods]]
kind = "browse"
begin = 1.0
end = 3.0
factor = 3.0
[[slowness]]
service = "shop"
begin = 0.0
end = 2.0
instances = 1
factor = 2.0
"""


@pytest.fixture
def small(tmp_path):
    """Load of a few seconds."""
    path = tmp_path / 'small.toml'
    path.write_text(SMALL)
    return read_load(path)


@pytest.mark.parametrize('policy', POLICIES)
def test_same_seed_gives_the_same_result(small, policy):
    """Guards against results that can't be reproduced."""
    assert simulate(small, policy, 7) == simulate(small, policy, 7)


def test_every_request_is_counted_once(small):
    """Guards against requests that are missing from the results."""
    result = simulate(small, 'objective', 7)
    total = sum(result.total.outcomes.values())
    for tallies in (result.kinds, result.domains, result.windows):
        counted = sum(
            sum(tally.outcomes.values()) for tally in tallies.values()
        )
        assert counted == total
    # 30 and 8 a second for 4 s, and 60 more a second for 2 s.
    assert 220 < total < 330


def test_arrivals_do_not_depend_on_the_policy(small):
    """Guards against a comparison of policies under different arrivals."""
    request_counts = {
        sum(simulate(small, policy, 7).total.outcomes.values())
        for policy in POLICIES
    }
    assert len(request_counts) == 1


def test_light_load_is_served_on_time(small):
    """Guards against an emulator that loses requests without a cause."""
    light = attrs.evolve(small, floods=(), slowness=())
    kinds = tuple(
        attrs.evolve(kind, rate=kind.rate / 10) for kind in light.kinds
    )
    result = simulate(attrs.evolve(light, kinds=kinds), 'objective', 7)
    assert result.total.worth > 0.95
    assert result.total.outcomes['failed'] == 0


def test_slots_of_an_instance_bound_its_requests(small):
    """Guards against an instance that exceeds its slots and queue."""

    async def count_runs():
        fleet = EmulatedFleet(small, POLICIES['fifo'], random.Random(1))
        owner = fleet.owners['shop-0']
        requests = [
            owner.instance.run(make_request(str(number), 'order', 9.0), 9.0)
            for number in range(12)
        ]
        answers = await asyncio.gather(*requests)
        shed = [answer for answer in answers if isinstance(answer, Refusal)]
        return owner.instance.runs, {each.code for each in shed}

    # Two slots and a queue of four.
    assert run_virtual(count_runs()) == (
        6,
        {ResultCode.BACKEND_SHED_LOAD},
    )


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        ('service = "docs"', 'service = "gone"'),
        ('calls = ["look"]', 'calls = ["gone"]'),
        ('kind = "browse"', 'kind = "gone"'),
        ('repeat = "never"', 'repeat = "often"'),
        ('rate = 30.0', 'pace = 30.0'),
        ('seconds = 4.0', 'seconds = '),
    ],
)
def test_faulty_load_is_refused(tmp_path, old, new):
    """Guards against mistakes in a load file that are silently ignored."""
    path = tmp_path / 'faulty.toml'
    path.write_text(SMALL.replace(old, new))
    assert isinstance(read_load(path), Refusal)


@pytest.mark.parametrize('path', sorted(LOADS.glob('*.toml')), ids=str)
def test_loads_of_the_tool_are_valid(path):
    """Guards against an invalid load file in the package."""
    assert isinstance(read_load(pathlib.Path(path)), Load)


def test_objectives_serve_callers_better_than_the_baselines(small):
    """Guards against an objective queue worse than its baselines."""
    trials = [Trial(small, policy, 7) for policy in POLICIES]
    rows = {
        row.policy: row.worth.mean
        for row in compare(run_trials(trials, 2))
        if row.group == 'all'
    }
    assert rows['objective'] > max(rows['strict'], rows['fifo'])
