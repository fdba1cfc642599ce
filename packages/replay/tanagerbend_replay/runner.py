"""Replay of a trace in manual time."""

import asyncio
from typing import Final

from tanagerbend_replay.calls import CallPath
from tanagerbend_replay.events import (
    CallEvent,
    Event,
    FaultEvent,
    HostsEvent,
    Publication,
    Trace,
)
from tanagerbend_replay.fleet import ReplayFleet
from tanagerbend_replay.tally import Tally
from tanagerbend_timer import ManualTimer

# Longer than any deadline of the example sheets, after the last event.
END_SECONDS: Final = 60


def replay(trace: Trace, seed: int = 1) -> Tally:
    """Feed a trace through the decision packages.

    Explanation
    ===========

    The decisions are those of the daemons: versions, members, routes,
    admission and orders.  Time, the network between daemons and the work
    of backend servers come from the trace and the seed, so a replay gives
    the same counts each time.

    Parameters
    ==========

    trace : Trace
    seed : int

    See Also
    ========

    tanagerbend_replay.verdict.judge
    """
    return asyncio.run(_replay(trace, seed))


async def _replay(trace: Trace, seed: int) -> Tally:
    timer = ManualTimer()
    fleet = ReplayFleet(trace, seed, timer)
    calls = CallPath(fleet)
    for event in trace.events:
        await timer.advance(event.at - timer.now())
        _take(fleet, calls, event)
    for _ in range(END_SECONDS):
        await timer.advance(1)
    for node in fleet.nodes.values():
        node.running.set()
    await timer.settle()
    fleet.tally.breaches['ended'] += len(fleet.tasks)
    for task in list(fleet.tasks):
        task.cancel()
    fleet.tally.finish(fleet.best[1], fleet.in_force())
    return fleet.tally


def _take(fleet: ReplayFleet, calls: CallPath, event: Event) -> None:
    match event:
        case Publication():
            fleet.publish(event)
        case HostsEvent():
            fleet.list_hosts(event)
        case FaultEvent():
            fleet.fail(event)
        case CallEvent():
            fleet.spawn(calls.send(event))
