"""Operations that the steps of the demo share."""

import asyncio
import pathlib
import signal
import time
from collections import Counter
from collections.abc import Coroutine
from typing import Final

from tanagerbend_model import Sheet, WorkClass, accept, short_digest
from tanagerbend_replay.events import FaultKind
from tanagerbend_standins.caller import Caller
from tanagerbend_standins.demo_plan import DemoPlan
from tanagerbend_standins.fleet import SHEET_KEY, Fleet, Node, wait_until
from tanagerbend_standins.load import LoadGenerator, Tally
from tanagerbend_standins.outcome_checks import OutcomeChecks
from tanagerbend_standins.trace_recorder import TraceRecorder

LIGHT_LOAD_SECONDS: Final = 1.5
SLOTS: Final = 6
LIGHT_LOAD_SHARE: Final = 0.1


class ScenarioBase:
    """Fleet, load, checks and published sheet of one deployment."""

    def __init__(
        self,
        plan: DemoPlan,
        fleet: Fleet,
        content: bytes,
        trace_directory: pathlib.Path | None = None,
    ) -> None:
        self.plan = plan
        self.fleet = fleet
        self.original_content = content
        self.content = content
        self.sheet: Sheet = accept(content).sheet
        self.work_classes = {
            work_class.work: work_class for work_class in self.sheet.work
        }
        self.caller = Caller(fleet)
        self.load = LoadGenerator(self.caller)
        self.checks = OutcomeChecks(plan.deployment.name, fleet)
        self.record_outcome = self.checks.record_outcome
        self.orders: list[Tally] = []
        self.recorder = TraceRecorder(
            plan, fleet, self.work_classes, trace_directory
        )
        self.caller.observers.append(self.recorder.record_call)
        self.step_seconds: Counter[str] = Counter()

    def running_nodes(self) -> list[Node]:
        """Return the nodes with a running daemon."""
        return [node for node in self.fleet.nodes if node.process is not None]

    def capacity(self, service: str) -> float:
        """Return the requests per second that a service can run."""
        count = sum(node.place.service == service for node in self.fleet.nodes)
        return count * SLOTS / self.plan.work_seconds

    def light_rates(self) -> dict[WorkClass, float]:
        """Return a low call rate for each work class other than orders."""
        return {
            work_class: LIGHT_LOAD_SHARE * self.capacity(work_class.service)
            for work_class in self.sheet.work
            if not work_class.order
        }

    async def is_ready(self) -> bool:
        """Return whether every daemon gets answers for all GET work."""
        replies = await asyncio.gather(
            *(
                self.caller.call(work_class.service, work_class.path, node=node)
                for node in self.fleet.nodes
                for work_class in self.sheet.work
                if work_class.method == 'GET'
            ),
        )
        return all(reply.is_answer for reply in replies)

    async def is_in_force_everywhere(self) -> bool:
        """Return whether the published sheet is in force at all daemons."""
        expected_digest = short_digest(accept(self.content).digest)
        versions = await asyncio.gather(
            *(self.caller.version_at(node) for node in self.running_nodes()),
        )
        return all(version.endswith(expected_digest) for version in versions)

    async def check_in_force(
        self,
        requirement: str,
        description: str,
        started_at: float,
        seconds: float,
    ) -> None:
        """Check that the published sheet is in force everywhere in time."""
        is_met = await wait_until(self.is_in_force_everywhere, seconds)
        elapsed = time.monotonic() - started_at
        self.record_outcome(
            requirement,
            f'{description} in force at every daemon within {seconds:g} s',
            f'{elapsed:.2f} s' if is_met else f'not within {elapsed:.2f} s',
            is_met and elapsed <= seconds,
        )

    def next_sheet(self, serial_number: int) -> bytes:
        """Return the next edition of the sheet, with one more work class."""
        header, *rows = self.original_content.splitlines(keepends=True)
        header_cells = header.split(b',')
        header_cells[1] = b'%s.%d' % (
            header_cells[1].partition(b'.')[0],
            serial_number,
        )
        first = self.sheet.work[0]
        service = first.service.encode()
        added_row = b'%s,changed-%d,9\r\n' % (service, serial_number)
        self.content = b''.join((b','.join(header_cells), *rows, added_row))
        return self.content

    async def publish(self, content: bytes) -> None:
        """Publish a sheet and record the publication."""
        revision = await self.fleet.publish(content)
        self.recorder.record_publication(revision, content)

    async def signal_under_load(
        self,
        node: Node,
        signal_number: signal.Signals,
        kind: FaultKind,
    ) -> tuple[list[Tally], int]:
        """Send light load and, during it, a signal to one daemon."""
        load_task = asyncio.create_task(
            self.load.send_streams(self.light_rates(), LIGHT_LOAD_SECONDS),
        )
        await asyncio.sleep(LIGHT_LOAD_SECONDS / 4)
        self.recorder.record_fault(kind, node.place.host)
        status = await self.fleet.stop_daemon(node, signal_number)
        return list((await load_task).values()), status

    async def run_steps(
        self,
        *steps: Coroutine[None, None, None],
        trace: str = '',
    ) -> None:
        """Run steps and, if a trace name is given, record them."""
        if trace:
            platform = self.fleet.platform
            revision, _content = platform.keys[SHEET_KEY]
            self.recorder.start(revision, self.content)
        for step in steps:
            started_at = time.monotonic()
            await step
            self.step_seconds[step.__name__] += time.monotonic() - started_at
        self.recorder.finish(trace)

    async def close(self) -> None:
        """Close the caller and the fleet."""
        await self.caller.close()
        await self.fleet.close()
