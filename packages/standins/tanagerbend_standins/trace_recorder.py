"""Recorder of the events of a demo run, written as traces."""

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
from tanagerbend_standins.caller import SentCall
from tanagerbend_standins.demo_plan import DemoPlan
from tanagerbend_standins.fleet import Fleet

ORIGIN: Final = 'recorded by a run of the demo'
SLOTS: Final = 6
# The sheet in force is at time 0; other events start this much later.
SHEET_LEAD_SECONDS: Final = 1.0


class TraceRecorder:
    """Records events between ``start`` and ``finish``, ignoring others.

    Parameters
    ==========

    plan : DemoPlan
    fleet : Fleet
    work_classes : dict of str to WorkClass
        Work classes by work name.
    directory : pathlib.Path or None
        Directory for the traces; None to write none.
    """

    def __init__(
        self,
        plan: DemoPlan,
        fleet: Fleet,
        work_classes: dict[str, WorkClass],
        directory: pathlib.Path | None,
    ) -> None:
        self.plan = plan
        self.fleet = fleet
        self.routes = {
            (
                work_class.service,
                work_class.path,
                work_class.method or 'GET',
            ): work_class
            for work_class in work_classes.values()
        }
        self.directory = directory
        self.writer: TraceWriter | None = None
        self.started_at = 0.0

    def start(self, revision: int, content: bytes) -> None:
        """Start a trace; the sheet in force is its first publication."""
        instances = tuple(
            Instance(
                node.place.host,
                node.place.service,
                node.place.failure_domain,
            )
            for node in self.fleet.nodes
            if node.process is not None
        )
        name = self.plan.deployment.name
        self.writer = TraceWriter(Trace(name, ORIGIN, instances, SLOTS, ()))
        self.writer.add(Publication(0.0, revision, content.decode()))
        self.started_at = time.monotonic() - SHEET_LEAD_SECONDS

    def finish(self, name: str) -> None:
        """Finish the trace and write it to a file with this name."""
        if self.writer is not None and self.directory is not None:
            deployment = self.plan.deployment.name
            path = self.directory / f'{deployment}-{name}.jsonl'
            # Written as bytes to keep the line endings of the sheet.
            path.write_bytes(self.writer.text().encode())
        self.writer = None

    @property
    def elapsed_seconds(self) -> float:
        """Time since the start of the trace."""
        return time.monotonic() - self.started_at

    def record_call(self, sent_call: SentCall) -> None:
        """Record a call or one attempt of an order."""
        work_class = self.routes.get(
            (sent_call.service, sent_call.path, sent_call.method)
        )
        if self.writer is None or work_class is None:
            return
        self.writer.add(
            CallEvent(
                at=self.elapsed_seconds,
                service=sent_call.service,
                work=work_class.work,
                method=sent_call.method,
                path=sent_call.path,
                tenant=sent_call.tenant,
                rank=work_class.effective_rank,
                seconds=self.plan.work_seconds,
                via=sent_call.entry_host,
                order=sent_call.order,
            ),
        )

    def record_publication(self, revision: int, content: bytes) -> None:
        """Record the publication of a sheet."""
        if self.writer is not None:
            self.writer.add(
                Publication(self.elapsed_seconds, revision, content.decode()),
            )

    def record_fault(self, kind: FaultKind, host: str = '') -> None:
        """Record the start or the end of a fault."""
        if self.writer is not None:
            self.writer.add(FaultEvent(self.elapsed_seconds, kind, host))
