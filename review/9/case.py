"""A heartbeat that a cut held up arrives after the instance said it leaves."""

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
    Relay,
    ask,
    route,
    run,
)

DRAIN_S, CONTACT_S, HEARTBEAT_S = 2.0, 3.0, 1.5
# The cut of the site file: `core_cut`, count 1, for 5.5 s.
CUT_S = 5.5
# TCP sends a segment again after 0.2 s, then after twice as long each time.
FIRST_RETRANSMISSION_S = 0.2


def work(_method, _target, _instance):
    return 0.2


class Link:
    """The instance's way to the store: held up by a cut, as TCP does it."""

    def __init__(self, system, instance):
        self.system, self.instance = system, instance
        self.cut_from = self.cut_to = float('inf')
        self.waiting = []

    def send(self):
        """Send a heartbeat on a connection of its own."""
        instance, record = self.instance, self.system.record
        instance.sequence += 1
        entry = instance.entry()
        sent = arrives = record.now()
        wait = FIRST_RETRANSMISSION_S
        while self.cut_from <= arrives < self.cut_to:
            arrives += wait
            wait *= 2
        self.waiting.append(
            asyncio.create_task(self._arrive(entry, sent, arrives))
        )

    async def _arrive(self, entry, sent, arrives):
        record = self.system.record
        await asyncio.sleep(max(arrives - record.now(), 0))
        self.system.store.put(f'servers/{self.instance.identity}', entry)
        status = entry['status']
        record(
            f'store: {self.instance.identity} {status["state"]}, sequence'
            f' {status["sequence"]}, sent {record.now() - sent:.2f} s ago'
        )


async def beat(link):
    while True:
        link.send()
        await asyncio.sleep(HEARTBEAT_S)


async def traffic(system, until):
    asked = []
    while system.record.now() < until:
        for daemon in system.daemons:
            asked.append(
                asyncio.create_task(
                    ask(system, daemon, 'POST', '/alta/x', body=b'order')
                )
            )
        await asyncio.sleep(0.05)
    await asyncio.gather(*asked)


async def play(system):
    record = system.record
    relay = Relay()
    # The daemon of the third machine reaches the store through the relay.
    await system.start(
        [(f'i-{name}', 'ordenes', work) for name in 'abcd'],
        relays={2: relay},
    )
    system.configure([route('/alta/', 'ordenes', 'unsafe', timeout=3.0)])
    if not await system.wait_ready():
        return NOT_RUN
    links = [Link(system, each) for each in system.instances]
    beats = [asyncio.create_task(beat(each)) for each in links]
    await asyncio.sleep(4)
    leaving, link = system.instances[2], links[2]
    beats[2].cancel()
    # Heartbeats of the third machine are sent 0.9, 2.4, 3.9 and 5.4 s after
    # the beginning of the cut.
    began = record.now()
    if TROUBLE:
        record(f'the third machine is cut off from the store for {CUT_S} s')
        link.cut_from, link.cut_to = began, began + CUT_S
        relay.cut()
    await asyncio.sleep(0.9)
    beats[2] = asyncio.create_task(beat(link))
    await asyncio.sleep(CUT_S - 0.9)
    relay.heal()
    healed = record.now()
    record('the cut has ended')
    await asyncio.sleep(0.4)
    beats[2].cancel()
    leaving.state = 'draining'
    link.send()
    await asyncio.sleep(0)
    acknowledged = record.now()
    record('i-c reports that it is draining')
    beats[2] = asyncio.create_task(beat_later(link))
    await traffic(system, acknowledged + 6)
    for task in beats:
        task.cancel()
    # The owner is on the machine that was cut off: in touch again by now.
    from_then = max(acknowledged + DRAIN_S, healed + CONTACT_S)
    late = [
        (round(at - acknowledged, 2), target)
        for at, _, target in leaving.arrivals
        if at > from_then
    ]
    record(
        f'requests at i-c later than {from_then - acknowledged:.2f} s after'
        f' the acknowledgement: {len(late)} {late[:12]}'
    )
    return BROKEN if late else HELD


async def beat_later(link):
    await asyncio.sleep(HEARTBEAT_S)
    await beat(link)


run(FOLDER, play)
