"""Large answers over thin links of the entry and the owner."""

import functools

import attrs
import pytest

from tanagerbend_emulator import LOADS, simulate, read_load
from tanagerbend_proxy.uplink import BODY_SHARE

BYTES_PER_KILOBYTE = 1024
SEED = 7
MIN_ON_TIME_SHARE = 0.95
# Largest time to a refusal, as a share of the objective.
MAX_REFUSAL_SHARE = 0.125
LINK_SHAPES = {
    'as given': {},
    'few wide links': {'instances': 4, 'slots': 13, 'link': 2045312.0},
    'many thin links': {'instances': 34, 'slots': 2, 'link': 240625.0},
}


def load_with_links(shape):
    """Return the load of plates over links of another number and rate.

    The total link capacity is the same; answers are smaller on thin links.
    """
    load = read_load(LOADS / 'plates.toml')
    changes = LINK_SHAPES[shape]
    desk, store = load.services
    store = attrs.evolve(store, **changes)
    scale = min(store.link / desk.link, 1.0)
    plate, profile = load.kinds
    plate = attrs.evolve(
        plate,
        rate=plate.rate / scale,
        work=plate.work * scale,
        kilobytes=plate.kilobytes * scale,
        most_kilobytes=plate.most_kilobytes * scale,
    )
    return attrs.evolve(
        load,
        services=(desk, store),
        kinds=(plate, profile),
    )


@functools.cache
def simulate_flood(shape):
    load = load_with_links(shape)
    return load, simulate(load, 'objective', SEED)


def simulate_calm(shape):
    """Return a load without its flood, and its result."""
    load = attrs.evolve(load_with_links(shape), seconds=10.0, floods=())
    return load, simulate(load, 'objective', SEED)


def requests_by_outcome(result, kind, begin=0.0, end=1e9):
    """Return the requests of a kind that started in a span, by outcome."""
    found = {}
    for request in result.requests:
        if request.kind == kind and begin <= request.started_at < end:
            found.setdefault(request.outcome, []).append(request)
    return found


def on_time_share(found, ignored=()):
    counted = {outcome: len(each) for outcome, each in found.items()}
    total = sum(
        number for outcome, number in counted.items() if outcome not in ignored
    )
    return counted.get('on time', 0) / total


@pytest.mark.parametrize('shape', LINK_SHAPES)
def test_half_used_links_answer_on_time(shape):
    """Guards against late answers while the links are half idle."""
    load, result = simulate_calm(shape)
    plate = load.kind('plate')
    store = load.services[1]
    offered_bytes = plate.rate * plate.kilobytes * BYTES_PER_KILOBYTE
    assert 0.5 < offered_bytes / (store.instances * store.link) < 0.6
    assert on_time_share(requests_by_outcome(result, 'plate')) >= 0.97
    assert on_time_share(requests_by_outcome(result, 'profile')) >= 0.97


@pytest.mark.parametrize('shape', LINK_SHAPES)
def test_answers_of_a_flood_are_on_time_or_refused(shape):
    """Guards against queued bytes that make all accepted answers late."""
    load, result = simulate_flood(shape)
    (flood,) = load.floods
    found = requests_by_outcome(result, 'plate', flood.begin, flood.end)
    assert on_time_share(found, ignored=('refused',)) >= MIN_ON_TIME_SHARE


@pytest.mark.parametrize('shape', LINK_SHAPES)
def test_flood_leaves_no_link_idle(shape):
    """Guards against refusals while the links could carry the answers."""
    load, result = simulate_flood(shape)
    (flood,) = load.floods
    store = load.services[1]
    plate, profile = load.kinds
    profile_bytes = profile.rate * 2 * BYTES_PER_KILOBYTE
    available_rate = BODY_SHARE * store.instances * store.link - profile_bytes
    # Answers in progress when the flood begins may take this long.
    begin = flood.begin + plate.objective
    found = requests_by_outcome(result, 'plate')
    delivered = sum(
        request.size
        for request in found['on time']
        if begin <= request.finished_at < flood.end
    )
    assert delivered >= 0.8 * available_rate * (flood.end - begin)


@pytest.mark.parametrize('shape', LINK_SHAPES)
def test_refused_callers_are_not_held(shape):
    """Guards against refusals too late for callers to ask elsewhere."""
    load, result = simulate_flood(shape)
    objective = load.kind('plate').objective
    found = requests_by_outcome(result, 'plate')
    refusal_seconds = sorted(
        request.max_refusal_seconds
        for each in found.values()
        for request in each
    )
    assert (
        refusal_seconds[int(0.99 * len(refusal_seconds))]
        <= MAX_REFUSAL_SHARE * objective
    )


@pytest.mark.parametrize('shape', LINK_SHAPES)
def test_small_calls_pass_a_flood_of_large_answers(shape):
    """Guards against urgent small answers that wait behind large ones."""
    _load, result = simulate_flood(shape)
    assert on_time_share(requests_by_outcome(result, 'profile')) >= 0.97


def test_two_sizes_share_a_link():
    """Guards against estimates that fit one size of answers only."""
    load = read_load(LOADS / 'scans.toml')
    result = simulate(load, 'objective', SEED)
    assert on_time_share(requests_by_outcome(result, 'thumb')) >= 0.97
    (flood,) = load.floods
    calm = requests_by_outcome(result, 'scan', 0.0, flood.begin)
    assert on_time_share(calm) >= 0.97
    found = requests_by_outcome(result, 'scan', flood.begin, flood.end)
    assert on_time_share(found, ignored=('refused',)) >= MIN_ON_TIME_SHARE
