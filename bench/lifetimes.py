"""Order keys whose lifetime is shorter than the work.

Drives the order ledger on a manual clock with seeded work times and
re-sends. Baseline: a lease that another instance may take when it has
expired, as a queue with a visibility timeout works.
"""

import asyncio
import random
import statistics

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal
from tanagerbend_orders import (
    DuplicateOrder,
    Ledger,
    NewOrder,
    OrderKeyIssuer,
    OrderState,
    RecordedAnswer,
)
from tanagerbend_timer import ManualTimer

ORDERS = 1000
SEEDS = (1, 2, 3)
LIFETIME_SECONDS = 100.0
SIGMA = 0.4
RESEND_SECONDS = 30.0
GIVE_UP_SECONDS = 400.0
# Median time of the work as a share of the lifetime.
RATIOS = (0.25, 0.5, 1.0, 1.5)
ANSWER = RecordedAnswer(200, (), b'done')


def work_seconds(chance, ratio):
    """Return the time that one order takes."""
    return LIFETIME_SECONDS * ratio * chance.lognormvariate(0, SIGMA)


def lease_starts(duration):
    """Return how often a lease that expires lets an order start."""
    starts, lease_end, done = 0, 0.0, float('inf')
    for attempt in range(int(GIVE_UP_SECONDS / RESEND_SECONDS)):
        now = attempt * RESEND_SECONDS
        if now >= done:
            break
        if now >= lease_end:
            starts += 1
            lease_end = now + LIFETIME_SECONDS
            done = min(done, now + duration)
    return starts


async def key_outcome(duration, timer, number):
    """Return how often an order starts under a key, and its outcome."""
    issuer = OrderKeyIssuer(
        b'shared key', timer, LIFETIME_SECONDS, lambda: number
    )
    ledger = Ledger(Recorder(timer))
    key = issuer.issue('order', 'host-1', 1)
    began, record, starts, outcome = timer.now(), None, 0, 'unknown'
    for _ in range(int(GIVE_UP_SECONDS / RESEND_SECONDS)):
        if record is not None and timer.now() - began >= duration:
            if record.state is OrderState.IN_PROGRESS:
                ledger.finish(record, ANSWER)
        match ledger.begin(key, b'digest'):
            case NewOrder(record=record):
                starts += ledger.start(record)
            case DuplicateOrder(record=held) if held.answer is not None:
                outcome = 'answer'
                break
            case Refusal():
                break
        await timer.advance(RESEND_SECONDS)
    return starts, outcome


async def scenario(ratio, seed):
    """Return percentages: doubled leases, doubled keys, keys answered."""
    chance, timer = random.Random(seed), ManualTimer()
    doubled_lease = doubled_key = answered = 0
    for number in range(ORDERS):
        duration = work_seconds(chance, ratio)
        doubled_lease += lease_starts(duration) > 1
        starts, outcome = await key_outcome(duration, timer, str(number))
        doubled_key += starts > 1
        answered += outcome == 'answer'
    return tuple(
        100 * count / ORDERS for count in (doubled_lease, doubled_key, answered)
    )


async def main():
    """Run all ratios with all seeds."""
    print('manual clock, seeded work times; no machine time in the results')
    print('work/lifetime  doubled: lease  doubled: key  key got the answer')
    results = {}
    for ratio in RATIOS:
        runs = [await scenario(ratio, seed) for seed in SEEDS]
        for name, found in zip(
            ('lease_doubled', 'key_doubled', 'key_answered'),
            zip(*runs, strict=True),
            strict=True,
        ):
            results[f'{name}_{ratio}'] = found
        cells = [
            f'{min(found):5.1f} to {max(found):5.1f} %'
            for found in zip(*runs, strict=True)
        ]
        print(f'{ratio:13.2f}  {"  ".join(cells)}')
    print(
        ' '.join(
            f'{name}={statistics.median(found):.1f}'
            for name, found in results.items()
        )
    )


if __name__ == '__main__':
    asyncio.run(main())
