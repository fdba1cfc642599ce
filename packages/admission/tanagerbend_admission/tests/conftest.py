"""Fixtures of the admission tests: manual time and simulated calls."""

import asyncio

import attrs
import pytest

from tanagerbend_admission import Outcome, RankAdmission, Ticket
from tanagerbend_metrics import Recorder
from tanagerbend_timer import ManualTimer


@attrs.define
class AdmissionHarness:
    """A rank admission with its manual clock and the calls it decided."""

    recorder: Recorder
    admission: RankAdmission
    done: list[tuple[str, object]] = attrs.field(factory=list)

    @property
    def timer(self):
        """The manual clock."""
        return self.recorder.timer

    def ticket(self, rank=3, tenant='studio', within=10.0, target=5.0):
        """Return a ticket whose deadline is `within` seconds from now."""
        deadline = self.timer.now() + within
        return Ticket('work', rank, tenant, deadline, target)

    def offer(self, name, seconds=1.0, outcome=Outcome.SERVED, **ticket):
        """Start a call that runs for `seconds` once it holds a slot."""
        requested = self.ticket(**ticket)
        return asyncio.create_task(self._run(name, requested, seconds, outcome))

    async def _run(self, name, ticket, seconds, outcome):
        refusal = await self.admission.enter(ticket)
        self.done.append((name, refusal and refusal.code.name))
        if refusal is None:
            try:
                await self.timer.sleep(seconds)
            finally:
                self.admission.leave(ticket, outcome, seconds)

    async def learn_service_time(self, seconds, outcome=Outcome.SERVED):
        """Run one call so that the admission learns its service time."""
        await self.run_until_done([self.offer('', seconds, outcome)])
        self.done.clear()

    async def run_until_done(self, tasks):
        """Advance the clock until all calls have ended."""
        while not all(task.done() for task in tasks):
            await self.timer.advance(0.05)

    @property
    def events(self):
        """Events of the journal's entries."""
        return [entry.event for entry in self.recorder.journal.entries]


@pytest.fixture(scope='session')
def make_harness():
    """Return a function that creates a harness."""

    def make(slots=1, max_waiting=8, floors=None):
        recorder = Recorder(ManualTimer())
        admission = RankAdmission(recorder, slots, max_waiting)
        admission.configure(floors or {})
        return AdmissionHarness(recorder, admission)

    return make
