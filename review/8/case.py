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
# The deadline of `bajar-hojas`, which has no other time-out.
DEADLINE_S = 2.5
# Within its longest work (1.1 s) at an instance that is five times as slow.
LONG_WORK_S = 2.3
# The request that crashes each instance that begins to run it.
CRASHES = '/hojas/17'


def work(_method, target, instance):
    if target == CRASHES and TROUBLE:
        return None
    return LONG_WORK_S if instance.is_slow and 'long' in target else 0.18


async def beat(instance):
    while True:
        await asyncio.sleep(1.5)
        if instance.is_up:
            instance.beat()


async def fetch(system, daemon, target):
    """Fetch a sheet."""
    return await ask(system, daemon, 'GET', target, deadline=DEADLINE_S)


async def play(system):
    record = system.record
    await system.start([(f'i-{name}', 'calidad-docs', work) for name in 'abcd'])
    for instance in system.instances:
        instance.is_slow = False
    system.configure(
        [route('/hojas/', 'calidad-docs', 'download', timeout=DEADLINE_S)]
    )
    if not await system.wait_ready():
        return NOT_RUN
    beats = [asyncio.create_task(beat(each)) for each in system.instances]
    # All machines have been in touch for more than `contactS`.
    await asyncio.sleep(4)
    for daemon in system.daemons:
        if (await fetch(system, daemon, '/hojas/warm')).status != 200:
            return NOT_RUN
    # The request crashes the instance beside the first machine; the daemon may
    # repeat it, so it crashes another one too.  Then its client sends it again.
    await fetch(system, system.daemons[0], CRASHES)
    await asyncio.sleep(0.5)
    up = [number for number in range(4) if system.instances[number].is_up]
    if len(up) != (2 if TROUBLE else 4):
        return NOT_RUN
    leaving, daemon = system.instances[up[-1]], system.daemons[up[-1]]
    if TROUBLE:
        leaving.is_slow = True
        record(f'{leaving.identity} is five times as slow')
    runs = asyncio.create_task(fetch(system, daemon, '/hojas/long'))
    await asyncio.sleep(0.05)
    waits = asyncio.create_task(fetch(system, daemon, CRASHES))
    await asyncio.sleep(0.05)
    leaving.state = 'draining'
    leaving.beat()
    acknowledged = record.now()
    record(f'the store acknowledges that {leaving.identity} is draining')
    await asyncio.gather(runs, waits)
    for task in beats:
        task.cancel()
    late = [
        (round(at - acknowledged, 3), name, target)
        for at, name, target in leaving.arrivals
        if at > acknowledged + DRAIN_S
    ]
    record(
        f'requests at {leaving.identity} later than {DRAIN_S} s after that: {late}'
    )
    return BROKEN if late else HELD


run(FOLDER, play)
