"""Orders under faults: run at most once, "not run" is true, all answered.

Starts real daemons and stand-in backend servers on loopback.  Faults:
daemons are killed, stopped and paused; backend servers crash and lose or
truncate answers; injected network faults between the daemons lose, delay
and double messages and partition the fleet (see ``bench.cut_daemon``).
Callers give up waiting early, send the same key through several daemons at
once, and void keys.  The callers' outcomes are compared with the runs that
the stand-in backend servers counted.  As a baseline, requests without order
keys are sent in the same run, again after each lost answer.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import pathlib
import random
import sys
import tempfile
import time

import aiohttp
import attrs

from bench.chaos import FaultInjector
from bench.probe import print_figures
from tanagerbend_model import headers
from tanagerbend_standins import Fleet, Placement, wait_until

SHEET = (
    'service,work,rank,method,path,deadline_ms,order\n'
    'booking,truck,1,POST,/trucks,{0},yes\n'
    'booking,plain,1,POST,/plain,{0},no\n'
)
DOMAINS = ('leon', 'celaya', 'irapuato', 'silao')
ORDER_KEYS_PATH = '/.tanagerbend/orders'
# An order without an outcome after this time counts as unanswered.
ORDER_TIMEOUT_SECONDS = 60.0
# After this time a caller accepts "outcome unknown" as the outcome.
UNKNOWN_RETRY_SECONDS = 8.0


@attrs.frozen
class Reply:
    """A complete answer of a daemon."""

    status: int
    ran: str
    code: str
    fresh_key: str
    body: bytes


@attrs.define
class Tally:
    """Outcomes that the callers received."""

    answered: dict = attrs.field(factory=dict)
    unknown: set = attrs.field(factory=set)
    unanswered: set = attrs.field(factory=set)
    not_run: set = attrs.field(factory=set)
    codes: collections.Counter = attrs.field(
        factory=collections.Counter,
    )
    plain: int = 0


class Callers:
    """Seeded callers that send orders until they have an outcome."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.tally = Tally()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        )

    async def send(self, method, path, key='', body=b'', seconds=4.0):
        """Send to a random daemon; return None without a complete answer."""
        node = self.random.choice(self.fleet.nodes)
        request_headers = {headers.SERVICE: 'booking'}
        if key:
            request_headers[headers.ORDER_KEY] = key
        try:
            async with self.session.request(
                method,
                f'http://{node.call_address}{path}',
                headers=request_headers,
                data=body,
                timeout=aiohttp.ClientTimeout(total=seconds),
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
        received = response.headers
        reply = Reply(
            response.status,
            received.get(headers.RAN, ''),
            received.get(headers.RESULT, ''),
            received.get(headers.FRESH_ORDER_KEY, ''),
            content,
        )
        self.tally.codes[reply.code] += 1
        if key and reply.ran == 'no':
            self.tally.not_run.add(key)
        return reply

    async def obtain_key(self):
        """Return a key from the key resource or from a refusal."""
        while True:
            if self.random.random() < 0.5:
                reply = await self.send('POST', ORDER_KEYS_PATH)
                if reply is not None and reply.status == 201:
                    return json.loads(reply.body)['key']
            else:
                reply = await self.send('POST', '/trucks')
                if reply is not None and reply.fresh_key:
                    return reply.fresh_key
            await asyncio.sleep(0.05)

    async def send_order(self, number):
        """Send an order until its outcome is known and record that."""
        body = b'order %d' % number
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
                await self._send_until_resolved(number, body)
        except TimeoutError:
            self.tally.unanswered.add(number)

    async def _send_until_resolved(self, number, body):
        key = await self.obtain_key()
        started_at = time.monotonic()
        while True:
            reply = await self._attempt(key, body)
            if reply is None:
                await asyncio.sleep(0.02)
                continue
            if reply.ran == 'yes' and reply.code == '0':
                self.tally.answered[number] = reply.body
                return
            if reply.ran == 'no':
                key = reply.fresh_key or await self.obtain_key()
                started_at = time.monotonic()
                continue
            is_final = reply.code in {'505', '509'}
            if (
                is_final
                or time.monotonic() - started_at > UNKNOWN_RETRY_SECONDS
            ):
                self.tally.unknown.add(number)
                return
            await asyncio.sleep(self.random.uniform(0.02, 0.2))

    async def _attempt(self, key, body):
        draw = self.random.random()
        if draw < 0.05:
            return await self.send('DELETE', f'{ORDER_KEYS_PATH}/{key}', key)
        if draw < 0.1:
            reply = await self.send('GET', f'{ORDER_KEYS_PATH}/{key}', key)
            return None if reply and reply.status == 404 else reply
        if draw < 0.2:
            replies = await asyncio.gather(
                *(self.send('POST', '/trucks', key, body) for _ in range(3)),
            )
            complete = [reply for reply in replies if reply is not None]
            complete.sort(key=lambda reply: reply.ran != 'yes')
            return complete[0] if complete else None
        seconds = 4.0 if draw < 0.8 else self.random.uniform(0.01, 0.5)
        return await self.send('POST', '/trucks', key, body, seconds)

    async def send_plain(self, number):
        """Send a request without a key until it is answered."""
        body = b'plain %d' % number
        self.tally.plain += 1
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
                while True:
                    seconds = self.random.choice((4.0, 4.0, 4.0, 0.05))
                    reply = await self.send(
                        'POST',
                        '/plain',
                        body=body,
                        seconds=seconds,
                    )
                    if reply is not None and reply.status == 200:
                        return
                    await asyncio.sleep(0.05)


async def run(arguments, directory):
    """Run the benchmark; return the figures."""
    places = [
        Placement(f'host-{number}', 'booking', DOMAINS[number % 4], 'centro-mx')
        for number in range(arguments.hosts)
    ]
    fleet = Fleet(
        directory,
        places,
        'centro-mx',
        {'instance': {'drain_seconds': 5.0}},
        has_log_files=True,
        module='bench.cut_daemon',
    )
    injector = FaultInjector(fleet, arguments.seed)
    callers = Callers(fleet, arguments.seed + 1)
    try:
        await fleet.start(SHEET.format(arguments.deadline_ms).encode())
        assert await wait_until(lambda: is_ready(callers, fleet), 60)
        started_at = time.monotonic()
        await load(arguments, callers, injector)
        seconds = time.monotonic() - started_at
        # Wait for delayed duplicates before taking the counts.
        await asyncio.sleep(3.0)
        return figures(arguments, fleet, callers.tally, injector, seconds)
    finally:
        await callers.session.close()
        await fleet.close()


async def is_ready(callers, fleet):
    """Tell whether order keys of every instance are issued."""
    found = set()
    for _ in range(20 * len(fleet.nodes)):
        reply = await callers.send('POST', ORDER_KEYS_PATH)
        if reply is not None and reply.status == 201:
            found.add(json.loads(reply.body)['host'])
    return len(found) == len(fleet.nodes)


async def load(arguments, callers, injector):
    """Send all orders and baseline requests while faults happen."""
    jobs = [(callers.send_order, number) for number in range(arguments.orders)]
    jobs += [
        (callers.send_plain, number) for number in range(arguments.baseline)
    ]
    callers.random.shuffle(jobs)
    stop_event = asyncio.Event()
    faults = asyncio.create_task(injector.run(stop_event))

    async def work():
        while jobs:
            job, number = jobs.pop()
            await job(number)

    await asyncio.gather(*(work() for _ in range(arguments.workers)))
    stop_event.set()
    await faults


def figures(arguments, fleet, tally, injector, seconds):
    """Compare the callers' outcomes with the backend servers' counts."""
    runs = collections.Counter()
    bodies = collections.Counter()
    for node in fleet.nodes:
        runs.update(node.backend.run_counts)
        bodies.update(node.backend.run_counts_by_body)
    orders = {b'order %d' % number for number in range(arguments.orders)}
    wrong_answers = [
        number
        for number, body in tally.answered.items()
        if not body.endswith(b' ran order %d' % number)
        or bodies[b'order %d' % number] != 1
    ]
    resolved = len(tally.answered) + len(tally.unknown) + len(tally.unanswered)
    return {
        'orders': arguments.orders,
        'seconds': round(seconds, 1),
        'faults': dict(injector.fault_counts),
        'answered': len(tally.answered),
        'outcome_unknown': len(tally.unknown),
        'unknown_that_ran': sum(
            bodies[b'order %d' % number] for number in tally.unknown
        ),
        'keys_said_not_run': len(tally.not_run),
        'doubled': sum(bodies[body] > 1 for body in orders),
        'doubled_keys': sum(
            count > 1 for key, count in runs.items() if key.startswith('tb1.')
        ),
        'falsely_not_run': sum(runs[key] > 0 for key in tally.not_run),
        'wrongly_answered': len(wrong_answers),
        'unanswered': len(tally.unanswered) + arguments.orders - resolved,
        'baseline': tally.plain,
        'baseline_doubled': sum(
            count > 1
            for body, count in bodies.items()
            if body.startswith(b'plain ')
        ),
        'codes': dict(tally.codes.most_common()),
    }


FAILURE_FIGURES = (
    'doubled',
    'doubled_keys',
    'falsely_not_run',
    'wrongly_answered',
    'unanswered',
)


def main():
    """Print the figures; fail if one of FAILURE_FIGURES is not zero."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--orders', type=int, default=10_000)
    parser.add_argument('--baseline', type=int, default=2_000)
    parser.add_argument('--hosts', type=int, default=6)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--workers', type=int, default=96)
    parser.add_argument('--deadline-ms', type=int, default=4000)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        found = asyncio.run(run(arguments, pathlib.Path(directory)))
    print_figures(found)
    sys.exit(any(found[name] for name in FAILURE_FIGURES))


if __name__ == '__main__':
    main()
