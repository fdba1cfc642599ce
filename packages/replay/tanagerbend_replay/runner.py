"""Replays a trace on a manual clock."""

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

# Time after the last event; longer than any deadline in the example sheets.
SETTLE_SECONDS: Final = 60


def replay(trace: Trace, seed: int = 1) -> Tally:
    """Feed a trace through the decision packages.

    Explanation
    ===========

    Versions, members, routes, admission and orders are decided by the
    packages that the daemons use.  Time, network delays and service times
    come from the trace and the seed, so a replay gives the same counts
    each time.

    Parameters
    ==========

    trace : Trace
    seed : int

    See Also
    ========

    tanagerbend_replay.verdict.compare_with_expected
    """
    return asyncio.run(_replay(trace, seed))


async def _replay(trace: Trace, seed: int) -> Tally:
    timer = ManualTimer()
    fleet = ReplayFleet(trace, seed, timer)
    calls = CallPath(fleet)
    for event in trace.events:
        await timer.advance(event.at - timer.now())
        _apply_event(fleet, calls, event)
    for _ in range(SETTLE_SECONDS):
        await timer.advance(1)
    for node in fleet.nodes.values():
        node.running.set()
    await timer.settle()
    fleet.tally.violations['ended'] += len(fleet.tasks)
    for task in list(fleet.tasks):
        task.cancel()
    fleet.tally.check_final_state(
        fleet.newest_valid[1], fleet.digests_in_force()
    )
    return fleet.tally


def _apply_event(fleet: ReplayFleet, calls: CallPath, event: Event) -> None:
    match event:
        case Publication():
            fleet.publish(event)
        case HostsEvent():
            fleet.change_host_list(event)
        case FaultEvent():
            fleet.apply_fault(event)
        case CallEvent():
            fleet.spawn(calls.send(event))
