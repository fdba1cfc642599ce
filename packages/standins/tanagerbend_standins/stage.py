"""What the steps of the demo have in common."""

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
from tanagerbend_standins.fleet import SHEET_KEY, Fleet, Node, eventually
from tanagerbend_standins.judging import Verdicts
from tanagerbend_standins.load import Load, Tally
from tanagerbend_standins.recording import Recording
from tanagerbend_standins.script import Script

STEADY_SECONDS: Final = 1.5
SLOTS: Final = 6
TOP_SHARE: Final = 0.1


class Stage:
    """One deployment: its fleet, its load, its sheet in force."""

    def __init__(
        self,
        script: Script,
        fleet: Fleet,
        content: bytes,
        traces: pathlib.Path | None = None,
    ) -> None:
        self.script = script
        self.fleet = fleet
        self.original = content
        self.content = content
        self.sheet: Sheet = accept(content).sheet
        self.work = {entry.work: entry for entry in self.sheet.work}
        self.caller = Caller(fleet)
        self.load = Load(self.caller)
        self.verdicts = Verdicts(script.deployment.name, fleet)
        self.judge = self.verdicts.judge
        self.orders: list[Tally] = []
        self.recording = Recording(script, fleet, self.work, traces)
        self.caller.observers.append(self.recording.call)
        self.seconds: Counter[str] = Counter()

    def running(self) -> list[Node]:
        """Nodes whose daemon runs."""
        return [node for node in self.fleet.nodes if node.process is not None]

    def capacity(self, service: str) -> float:
        """Requests per second that the instances of a service can run."""
        count = sum(node.place.service == service for node in self.fleet.nodes)
        return count * SLOTS / self.script.work_seconds

    def light(self) -> dict[WorkClass, float]:
        """Rates of light work of every kind but orders."""
        return {
            entry: TOP_SHARE * self.capacity(entry.service)
            for entry in self.sheet.work
            if not entry.order
        }

    async def is_ready(self) -> bool:
        """Tell whether every daemon reaches every kind of work."""
        replies = await asyncio.gather(
            *(
                self.caller.call(entry.service, entry.path, node=node)
                for node in self.fleet.nodes
                for entry in self.sheet.work
                if entry.method == 'GET'
            ),
        )
        return all(reply.is_answer for reply in replies)

    async def is_in_force(self) -> bool:
        """Tell whether all running daemons hold the published sheet."""
        wanted = short_digest(accept(self.content).digest)
        versions = await asyncio.gather(
            *(self.caller.version_at(node) for node in self.running()),
        )
        return all(version.endswith(wanted) for version in versions)

    async def expect_version(
        self,
        requirement: str,
        what: str,
        begun: float,
        seconds: float,
    ) -> None:
        """State that the published sheet is in force at all daemons."""
        is_met = await eventually(self.is_in_force, seconds)
        took = time.monotonic() - begun
        self.judge(
            requirement,
            f'{what} in force at every daemon within {seconds:g} s',
            f'{took:.2f} s' if is_met else f'not within {took:.2f} s',
            is_met and took <= seconds,
        )

    def change(self, serial: int) -> bytes:
        """Return the next sheet of the day, with one more kind of work."""
        head, *rows = self.original.splitlines(keepends=True)
        cells = head.split(b',')
        cells[1] = b'%s.%d' % (cells[1].partition(b'.')[0], serial)
        first = self.sheet.work[0]
        service = first.service.encode()
        added = b'%s,changed-%d,9\r\n' % (service, serial)
        self.content = b''.join((b','.join(cells), *rows, added))
        return self.content

    async def publish(self, content: bytes) -> None:
        """Publish a value and record that."""
        revision = await self.fleet.publish(content)
        self.recording.publication(revision, content)

    async def under_load(
        self,
        node: Node,
        number: signal.Signals,
        kind: FaultKind,
    ) -> tuple[list[Tally], int]:
        """Send light work, and soon a signal to one daemon."""
        running = asyncio.create_task(
            self.load.streams(self.light(), STEADY_SECONDS),
        )
        await asyncio.sleep(STEADY_SECONDS / 4)
        self.recording.fault(kind, node.place.host)
        status = await self.fleet.stop_daemon(node, number)
        return list((await running).values()), status

    async def take(
        self,
        *steps: Coroutine[None, None, None],
        trace: str = '',
    ) -> None:
        """Run some steps, and record them under a name if there is one."""
        if trace:
            platform = self.fleet.platform
            revision, _content = platform.keys[SHEET_KEY]
            self.recording.begin(revision, self.content)
        for step in steps:
            begun = time.monotonic()
            await step
            self.seconds[step.__name__] += time.monotonic() - begun
        self.recording.end(trace)

    async def close(self) -> None:
        """End everything that the scenario started."""
        await self.caller.close()
        await self.fleet.close()
