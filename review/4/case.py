"""Waiting watches are cut while an instance leaves without a notice."""

import asyncio
import itertools
import pathlib
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / 'standins')
)

from harness import (  # noqa: E402
    BROKEN,
    HELD,
    configuration,
    main,
    route,
)

ZONES = ('north', 'south', 'east', 'west')
MACHINES = 6
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
WORK_SECONDS = 0.22
# Requests a second from the clients of each machine.
PER_SECOND = 10.0
CUTS = 9
CUT_EVERY = 1.0
# The instance leaves this long after the first cut.
LEAVES_AFTER = 2.3
# An instance serves drainS and a little longer after its entry is removed,
# at times many seconds.
SERVES_ON = 8.0


async def case(deployment, trouble):
    def prepare(instance):
        instance.work_seconds = lambda _path: WORK_SECONDS

    async def browse(daemon):
        for number in itertools.count():
            deployment.spawn(
                deployment.request(
                    daemon,
                    'GET',
                    f'/browse/{daemon.number}/{number}',
                    deadline_ms=2500,
                    note=False,
                )
            )
            await asyncio.sleep(1 / PER_SECOND)

    async def cut():
        for _ in range(CUTS):
            deployment.store.cut_watches()
            await asyncio.sleep(CUT_EVERY)

    await deployment.start(
        [('shop', ZONES[n % 4]) for n in range(MACHINES)],
        configuration(7, ['shop'], route('browse', 'shop', timeout=1.2)),
        prepare,
    )
    for daemon in deployment.daemons:
        deployment.spawn(browse(daemon))
    await asyncio.sleep(CONTACT_SECONDS + 3)
    gone = deployment.instances[0]
    if trouble:
        deployment.spawn(cut())
    await asyncio.sleep(LEAVES_AFTER)
    removed = time.monotonic()
    deployment.store.delete(f'servers/{gone.identity}')
    await asyncio.sleep(SERVES_ON)
    arrived = [
        each['at'] - removed
        for each in deployment.arrivals
        if each['instance'] is gone and each['at'] > removed
    ]
    late = [seconds for seconds in arrived if seconds > DRAIN_SECONDS]
    deployment.record(
        f'{len(arrived)} requests reached {gone.identity} after its entry was'
        f' removed, {len(late)} of them later than {DRAIN_SECONDS} s; the last'
        f' one {max(arrived, default=0):.2f} s after it'
    )
    good = sum(each['status'] == 200 for each in deployment.answers)
    deployment.record(f'{good} of {len(deployment.answers)} were served')
    return BROKEN if late else HELD


main(case, pathlib.Path(__file__).parent)
