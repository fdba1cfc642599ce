"""Requests of uneven cost on machines whose speed changes."""

import attrs
import pytest

from tanagerbend_emulator import LOADS, read_load, simulate

SEEDS = (8, 9, 10)


@pytest.fixture(scope='module')
def waves():
    """Results of two waves that exceed the capacity of two services."""
    load = read_load(LOADS / 'lessons.toml')
    kinds = tuple(
        attrs.evolve(kind, rank=2) if kind.name == 'find' else kind
        for kind in load.kinds
    )
    floods = tuple(
        attrs.evolve(flood, factor=1.2 * flood.factor) for flood in load.floods
    )
    load = attrs.evolve(load, kinds=kinds, floods=floods)
    return [simulate(load, 'objective', seed) for seed in SEEDS]
