"""Starts per order when work outlasts the lifetime of the order key.

Drives the order ledger on a manual clock with seeded work times and
re-sends.  Baseline: a lease that another instance may take once it has
expired, as in a queue with a visibility timeout.
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
WORK_TIME_SIGMA = 0.4
RESEND_SECONDS = 30.0
CALLER_TIMEOUT_SECONDS = 400.0
# Median time of the work as a share of the lifetime.
WORK_TO_LIFETIME_RATIOS = (0.25, 0.5, 1.0, 1.5)
ANSWER = RecordedAnswer(200, (), b'done')


def work_seconds(rng, ratio):
    """Draw the time that an order takes, in seconds."""
    return LIFETIME_SECONDS * ratio * rng.lognormvariate(0, WORK_TIME_SIGMA)


def count_lease_starts(duration):
    """Return how often an order starts under an expiring lease."""
    starts, lease_end, done = 0, 0.0, float('inf')
    for attempt in range(int(CALLER_TIMEOUT_SECONDS / RESEND_SECONDS)):
        now = attempt * RESEND_SECONDS
        if now >= done:
            break
        if now >= lease_end:
            starts += 1
            lease_end = now + LIFETIME_SECONDS
            done = min(done, now + duration)
    return starts


async def run_with_key(duration, timer, number):
    """Return how often an order starts under a key, and its outcome."""
    issuer = OrderKeyIssuer(
        b'shared key', timer, LIFETIME_SECONDS, lambda: number
    )
    ledger = Ledger(Recorder(timer))
    key = issuer.issue('order', 'host-1', 1)
    started_at, record, starts, outcome = timer.now(), None, 0, 'unknown'
    for _ in range(int(CALLER_TIMEOUT_SECONDS / RESEND_SECONDS)):
        if record is not None and timer.now() - started_at >= duration:
            if record.state is OrderState.IN_PROGRESS:
                ledger.finish(record, ANSWER)
        match ledger.begin(key, b'digest'):
            case NewOrder(record=record):
                starts += ledger.start(record)
            case DuplicateOrder(record=duplicate) if (
                duplicate.answer is not None
            ):
                outcome = 'answer'
                break
            case Refusal():
                break
        await timer.advance(RESEND_SECONDS)
    return starts, outcome


async def measure_ratio(ratio, seed):
    """Return percentages: run twice by lease, twice by key, answered."""
    rng, timer = random.Random(seed), ManualTimer()
    doubled_lease = doubled_key = answered = 0
    for number in range(ORDERS):
        duration = work_seconds(rng, ratio)
        doubled_lease += count_lease_starts(duration) > 1
        starts, outcome = await run_with_key(duration, timer, str(number))
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
    for ratio in WORK_TO_LIFETIME_RATIOS:
        runs = [await measure_ratio(ratio, seed) for seed in SEEDS]
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
