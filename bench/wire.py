"""Counts faulty connections that a peer server does not refuse."""

import argparse
import asyncio
import time

from bench.probe import print_summary_line
from tanagerbend_wire.tests.fuzz import run_faulty_connections

CONNECTIONS, SEED = 100_000, 77


async def main(count, seed):
    """Print the connections by fault and the refusal counters."""
    started = time.monotonic()
    counts, failures, injector = await run_faulty_connections(count, seed)
    for fault, number in sorted(counts.items()):
        print(f'{fault:20} {number:7}')
    counters = injector.recorder.counters
    for (name, label), number in sorted(counters.counts.items()):
        print(f'{name} {label}: {number}')
    for failure in failures[:10]:
        print(failure)
    print_summary_line(
        connections=count,
        not_refused=len(failures),
        seconds=time.monotonic() - started,
    )


def run():
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', type=int, default=CONNECTIONS)
    parser.add_argument('--seed', type=int, default=SEED)
    options = parser.parse_args()
    asyncio.run(main(options.sizes, options.seed))


if __name__ == '__main__':
    run()
