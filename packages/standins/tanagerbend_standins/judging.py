"""Stated outcomes of the demo, compared with what happened."""

from collections import Counter
from typing import Final

import attrs

from tanagerbend_model import Ran
from tanagerbend_standins.fleet import Fleet
from tanagerbend_standins.load import FULL_PERCENT, Tally, percent, unanswered
from tanagerbend_standins.script import Outcome

TIMELY_PERCENT: Final = 99.0
CALL_LIMIT: Final = 2000


@attrs.define
class Verdicts:
    """Outcomes of one deployment.

    Parameters
    ==========

    where : str
        Name of the deployment.
    fleet : Fleet
    outcomes : list of Outcome
    """

    where: str
    fleet: Fleet
    outcomes: list[Outcome] = attrs.field(factory=list)

    def judge(
        self,
        requirement: str,
        stated: str,
        happened: str,
        is_met: bool,
    ) -> None:
        """Note one outcome."""
        self.outcomes.append(
            Outcome(self.where, requirement, stated, happened, is_met),
        )

    def judge_all(
        self,
        requirement: str,
        stated: str,
        tallies: list[Tally],
    ) -> None:
        """State that all calls are answered."""
        sent = sum(len(tally.replies) for tally in tallies)
        answered = sum(tally.answered for tally in tallies)
        happened = f'{answered} of {sent} answered {unanswered(tallies)}'
        self.judge(requirement, stated, happened, answered == sent)

    def judge_urgent(
        self,
        name: str,
        tally: Tally,
        is_flood: bool,
        own_lag_ms: float,
    ) -> None:
        """State that urgent work is answered in time during a flood.

        Parameters
        ==========

        name : str
            Of the flood.
        tally : Tally
        is_flood : bool
            The urgent work itself floods.
        own_lag_ms : float
            How late the caller's process was, which counts as latency.
        """
        # A flood of the judged work itself can only be answered in part.
        whole = tally.accepted if is_flood else len(tally.replies)
        share = percent(tally.in_target, whole)
        self.judge(
            'F3',
            f'{name}: {tally.work.work} at least {TIMELY_PERCENT:g}% in target',
            f'{share:.1f}% of {whole}, slowest {tally.slowest:.2f} s; caller '
            f'late by {own_lag_ms:.0f} ms; {unanswered([tally])}',
            whole > 0 and share >= TIMELY_PERCENT,
        )

    def judge_floor(self, name: str, tally: Tally, full: float) -> None:
        """State that one kind of work keeps its floor during a flood.

        Parameters
        ==========

        name : str
            Of the flood.
        tally : Tally
        full : float
            Requests that the service could run meanwhile.
        """
        least = int(full * tally.work.floor_percent / FULL_PERCENT)
        self.judge(
            'F3',
            f'{name}: {tally.work.work} keeps its floor, {least} answers',
            str(tally),
            tally.answered >= least,
        )

    def judge_ends(self, tally: Tally) -> None:
        """State that no order is left without an outcome."""
        answered = tally.answered
        unknown = tally.interrupted
        sent = len(tally.replies)
        self.judge(
            'I6',
            f'{tally.work.work}: each is answered or "outcome unknown"',
            f'{answered} answered, {unknown} unknown, of {sent}',
            answered + unknown == sent and answered > 0,
        )

    def judge_orders(self, tallies: list[Tally]) -> None:
        """Count the runs of all orders at the stand-in backend servers."""
        runs: Counter[bytes] = Counter()
        for node in self.fleet.nodes:
            runs.update(node.backend.bodies)
        ended = [
            (runs[body], reply)
            for tally in tallies
            for body, reply in zip(tally.bodies, tally.replies, strict=True)
        ]
        doubled = sum(count > 1 for count, _reply in ended)
        untrue = sum(
            count > 0 and reply.ran is Ran.NO for count, reply in ended
        )
        unrun = sum(count == 0 and reply.is_answer for count, reply in ended)
        answered = sum(reply.is_answer for _count, reply in ended)
        self.judge(
            'I6',
            'no order runs twice',
            f'{doubled} of {len(ended)} ran twice',
            not doubled,
        )
        self.judge(
            'I5',
            'no order is falsely "not run", or answered but not run',
            f'{untrue} and {unrun}; {answered} of {len(ended)} answered',
            not untrue and not unrun,
        )

    def judge_whole_run(self, orders: list[Tally]) -> list[Outcome]:
        """Judge what holds for the whole run; return all outcomes."""
        self.judge_orders(orders)
        self.judge_platform()
        self.judge_slots()
        self.judge_processes()
        return self.outcomes

    def judge_platform(self) -> None:
        """State the limit of calls to the configuration service."""
        peak = self.fleet.platform.meter.peak
        self.judge(
            '1.6',
            f'at most {CALL_LIMIT} calls a second to the service',
            f'peak {peak}',
            peak <= CALL_LIMIT,
        )

    def judge_slots(self) -> None:
        """State that no instance gets more requests than it has slots."""
        backends = [node.backend for node in self.fleet.nodes]
        excess = sum(backend.overload_requests for backend in backends)
        self.judge(
            '1.1',
            'no request reaches an instance without a free slot',
            f'{excess} requests',
            not excess,
        )

    def judge_processes(self) -> None:
        """State that no daemon ended without being told to."""
        ended = [node.place.host for node in self.fleet.ended()]
        self.judge(
            '1.6',
            'no daemon ends by itself',
            ', '.join(ended) or 'none',
            not ended,
        )
