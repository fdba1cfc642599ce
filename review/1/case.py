"""A request that crashes instances and whose client leaves first."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / 'standins')
)

from harness import (  # noqa: E402
    BROKEN,
    HELD,
    CannotRun,
    configuration,
    main,
    route,
)

ZONES = ('north', 'south', 'east', 'west')
MACHINES = 8
CONTACT_SECONDS = 3.0
ALLOWED_RETRIES = 3
POISON = '/order/press-7'
BODY = b'{"rolls": 12}'
# An order takes 0.29 s; this one ends its instance 0.25 s after it began.
CRASH_AFTER = 0.25
DOWN_SECONDS = 2.0
# Half of the objective of the route is 0.75 s; the client leaves earlier.
LEAVES_AFTER = 0.1
# The clients that leave do so in windows of 5.5 s at most.
SPACING = 1.2
PER_WINDOW = 5


async def case(deployment, trouble):
    crashes = []

    def prepare(instance):
        instance.work_seconds = lambda path: (
            0.29 if path.startswith('/order') else 0.05
        )

        def on_run(arrival):
            if arrival['path'] == POISON:
                deployment.spawn(crash(instance))

        instance.on_run = on_run

    async def crash(instance):
        await asyncio.sleep(CRASH_AFTER)
        crashes.append(time.monotonic())
        instance.crash(DOWN_SECONDS)

    async def browse(daemon):
        """A client of light traffic that never leaves early."""
        number = 0
        while True:
            await asyncio.sleep(random.expovariate(0.7))
            number += 1
            await deployment.request(
                daemon, 'GET', f'/browse/{daemon.number}/{number}', note=False
            )

    await deployment.start(
        [('shop', ZONES[n % 4]) for n in range(MACHINES)],
        configuration(
            7,
            ['shop'],
            route('browse', 'shop'),
            route('order', 'shop', 'unsafe', 1.5, 1.5, priority=2),
        ),
        prepare,
    )
    await asyncio.sleep(CONTACT_SECONDS + 1)
    for daemon in deployment.daemons:
        deployment.spawn(browse(daemon))

    async def send_from(daemons):
        for daemon in daemons:
            deployment.spawn(
                deployment.request(
                    daemon,
                    'POST',
                    POISON,
                    BODY,
                    deadline_ms=3000,
                    leave_after=LEAVES_AFTER if trouble else None,
                )
            )
            await asyncio.sleep(SPACING)

    def arrivals():
        return [
            each
            for each in deployment.arrivals
            if each['path'] == POISON and each['run']
        ]

    daemons = deployment.daemons
    await send_from(daemons[:4])
    for _ in range(4):
        if len(crashes) >= 3:
            break
        await send_from(daemons[4:5])
    if len(crashes) < 3:
        raise CannotRun(f'only {len(crashes)} crashes')
    third = crashes[2]
    deployment.record('three instances have crashed')
    await asyncio.sleep(third + CONTACT_SECONDS + 1 - time.monotonic())
    for _ in range(2):
        begun = time.monotonic()
        await send_from((daemons[1:] + daemons[:1])[:PER_WINDOW])
        # A pause of the clients that leave, as between two disruptions.
        await asyncio.sleep(max(begun + 9 - time.monotonic(), 0))
    late = [
        each
        for each in deployment.answers
        if each['path'] == POISON and each['sent'] > third + CONTACT_SECONDS
    ]
    late_ids = {each['id'] for each in late}
    reached = [each for each in arrivals() if each['id'] in late_ids]
    deployment.record(
        f'{len(late)} retries sent later than contactS after the third crash;'
        f' {len(reached)} reached an instance; {len(crashes)} crashes in all'
    )
    served = [
        each
        for each in deployment.answers
        if each['path'].startswith('/browse')
    ]
    good = sum(each['status'] == 200 for each in served)
    deployment.record(f'{good} of {len(served)} other requests were served')
    return BROKEN if len(reached) > ALLOWED_RETRIES else HELD


main(case, pathlib.Path(__file__).parent)
