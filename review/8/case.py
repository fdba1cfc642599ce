"""A request waits for its turn while its instance leaves, and is sent then."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    ask,
    route,
    run,
)

DRAIN_S = 2.0
# Below the longest work of the route (2.1 s) at a slow instance (1.6 times).
LONG_WORK_S = 2.7
# The request that crashes each instance that begins to run it.
CRASHES = '/alta/17'


def work(_method, target, _instance):
    if target == CRASHES and TROUBLE:
        return None
    return LONG_WORK_S if target == '/alta/long' else 0.3


async def beat(instance):
    while True:
        await asyncio.sleep(1.5)
        if instance.is_up:
            instance.beat()


async def order(system, daemon, target):
    """Send an order with the deadline of the letter's orders."""
    return await ask(
        system, daemon, 'POST', target, deadline=3.0, body=b'order 17'
    )


async def play(system):
    record = system.record
    await system.start([(f'i-{name}', 'ordenes', work) for name in 'abc'])
    system.configure([route('/alta/', 'ordenes', 'unsafe', timeout=3.0)])
    if not await system.wait_ready():
        return NOT_RUN
    beats = [asyncio.create_task(beat(each)) for each in system.instances]
    # All machines have been in touch for more than `contactS`.
    await asyncio.sleep(4)
    one, two, three = system.daemons
    for daemon in system.daemons:
        if (await order(system, daemon, '/alta/warm')).status != 200:
            return NOT_RUN
    # The order crashes two instances, and its client sends it again.
    for daemon in (one, two):
        await order(system, daemon, CRASHES)
        await asyncio.sleep(0.5)
    leaving = system.instances[2]
    runs = asyncio.create_task(order(system, three, '/alta/long'))
    await asyncio.sleep(0.1)
    waits = asyncio.create_task(order(system, three, CRASHES))
    await asyncio.sleep(0.1)
    leaving.state = 'draining'
    leaving.beat()
    acknowledged = record.now()
    record('the store acknowledges that i-c is draining')
    await asyncio.gather(runs, waits)
    for task in beats:
        task.cancel()
    late = [
        (round(at - acknowledged, 3), name, target)
        for at, name, target in leaving.arrivals
        if at > acknowledged + DRAIN_S
    ]
    record(f'requests at i-c later than {DRAIN_S} s after that: {late}')
    return BROKEN if late else HELD


run(FOLDER, play)
