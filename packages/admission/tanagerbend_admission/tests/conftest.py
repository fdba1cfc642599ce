"""Fixtures of the admission tests: manual time and calls to offer."""

import asyncio

import attrs
import pytest

from tanagerbend_admission import Outcome, RankAdmission, Ticket
from tanagerbend_metrics import Recorder
from tanagerbend_timer import ManualTimer


@attrs.define
class Desk:
    """An admission together with its clock and its finished calls."""

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
        """Start a call that runs for `seconds` once it has a slot."""
        asked = self.ticket(**ticket)
        return asyncio.create_task(self._run(name, asked, seconds, outcome))

    async def _run(self, name, ticket, seconds, outcome):
        refusal = await self.admission.enter(ticket)
        self.done.append((name, refusal and refusal.code.name))
        if refusal is None:
            try:
                await self.timer.sleep(seconds)
            finally:
                self.admission.leave(ticket, outcome, seconds)

    async def learn(self, seconds, outcome=Outcome.SERVED):
        """Let the admission see how long a call takes."""
        await self.pass_through([self.offer('', seconds, outcome)])
        self.done.clear()

    async def pass_through(self, tasks):
        """Advance until the calls have ended."""
        while not all(task.done() for task in tasks):
            await self.timer.advance(0.05)

    @property
    def events(self):
        """Names of the journal's entries."""
        return [entry.event for entry in self.recorder.journal.entries]


@pytest.fixture(scope='session')
def make_desk():
    """Return a function that makes a desk."""

    def make(slots=1, places=8, floors=None):
        recorder = Recorder(ManualTimer())
        admission = RankAdmission(recorder, slots, places)
        admission.configure(floors or {})
        return Desk(recorder, admission)

    return make
