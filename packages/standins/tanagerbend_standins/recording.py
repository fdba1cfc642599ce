"""Recorder of traces: writes what a run of the demo did."""

import pathlib
import time
from typing import Final

from tanagerbend_model import WorkClass
from tanagerbend_replay.events import (
    CallEvent,
    FaultEvent,
    FaultKind,
    Instance,
    Publication,
    Trace,
)
from tanagerbend_replay.writing import TraceWriter
from tanagerbend_standins.caller import Sent
from tanagerbend_standins.fleet import Fleet
from tanagerbend_standins.script import Script

ORIGIN: Final = 'recorded by a run of the demo'
SLOTS: Final = 6
# The sheet in force stands at 0; everything else comes so much later.
LEAD_SECONDS: Final = 1.0


class Recording:
    """Collects events between ``begin`` and ``end``; else does nothing.

    Parameters
    ==========

    script : Script
    fleet : Fleet
    work : dict of str to WorkClass
        By name.
    directory : pathlib.Path or None
        Where traces are written; None for nowhere.
    """

    def __init__(
        self,
        script: Script,
        fleet: Fleet,
        work: dict[str, WorkClass],
        directory: pathlib.Path | None,
    ) -> None:
        self.script = script
        self.fleet = fleet
        self.routes = {
            (entry.service, entry.path, entry.method or 'GET'): entry
            for entry in work.values()
        }
        self.directory = directory
        self.writer: TraceWriter | None = None
        self.begun = 0.0

    def begin(self, revision: int, content: bytes) -> None:
        """Begin a trace; the sheet in force is its first publication."""
        instances = tuple(
            Instance(
                node.place.host,
                node.place.service,
                node.place.failure_domain,
            )
            for node in self.fleet.nodes
            if node.process is not None
        )
        name = self.script.deployment.name
        self.writer = TraceWriter(Trace(name, ORIGIN, instances, SLOTS, ()))
        self.writer.add(Publication(0.0, revision, content.decode()))
        self.begun = time.monotonic() - LEAD_SECONDS

    def end(self, name: str) -> None:
        """Write the trace under a name."""
        if self.writer is not None and self.directory is not None:
            deployment = self.script.deployment.name
            path = self.directory / f'{deployment}-{name}.jsonl'
            # Line ends within the sheet must stay as they are.
            path.write_bytes(self.writer.text().encode())
        self.writer = None

    @property
    def now(self) -> float:
        """Seconds since the beginning of the trace."""
        return time.monotonic() - self.begun

    def call(self, sent: Sent) -> None:
        """Record a call or one sending of an order."""
        entry = self.routes.get((sent.service, sent.path, sent.method))
        if self.writer is None or entry is None:
            return
        self.writer.add(
            CallEvent(
                at=self.now,
                service=sent.service,
                work=entry.work,
                method=sent.method,
                path=sent.path,
                tenant=sent.tenant,
                rank=entry.effective_rank,
                seconds=self.script.work_seconds,
                via=sent.via,
                order=sent.order,
            ),
        )

    def publication(self, revision: int, content: bytes) -> None:
        """Record a publication."""
        if self.writer is not None:
            self.writer.add(
                Publication(self.now, revision, content.decode()),
            )

    def fault(self, kind: FaultKind, host: str = '') -> None:
        """Record the beginning or the end of a fault."""
        if self.writer is not None:
            self.writer.add(FaultEvent(self.now, kind, host))
