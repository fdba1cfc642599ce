"""Comparison of the demo's expected outcomes with the results."""

from collections import Counter
from typing import Final

import attrs

from tanagerbend_model import Ran
from tanagerbend_standins.demo_plan import Outcome
from tanagerbend_standins.fleet import Fleet
from tanagerbend_standins.load import (
    FULL_PERCENT,
    Tally,
    describe_unanswered,
    percent,
)

MIN_TIMELY_PERCENT: Final = 99.0
MAX_CALLS_PER_SECOND: Final = 2000


@attrs.define
class OutcomeChecks:
    """Checks of one deployment, which collect their outcomes.

    Parameters
    ==========

    deployment_name : str
    fleet : Fleet
    outcomes : list of Outcome
    """

    deployment_name: str
    fleet: Fleet
    outcomes: list[Outcome] = attrs.field(factory=list)

    def record_outcome(
        self,
        requirement: str,
        expected: str,
        observed: str,
        is_met: bool,
    ) -> None:
        """Add one outcome."""
        self.outcomes.append(
            Outcome(
                self.deployment_name, requirement, expected, observed, is_met
            ),
        )

    def check_all_answered(
        self,
        requirement: str,
        expected: str,
        tallies: list[Tally],
    ) -> None:
        """Check that all calls are answered."""
        sent = sum(len(tally.replies) for tally in tallies)
        answered = sum(tally.answered for tally in tallies)
        observed = (
            f'{answered} of {sent} answered {describe_unanswered(tallies)}'
        )
        self.record_outcome(requirement, expected, observed, answered == sent)

    def check_urgent_latency(
        self,
        flood_name: str,
        tally: Tally,
        is_flooding: bool,
        loop_lag_ms: float,
    ) -> None:
        """Check that urgent work meets its target during a flood.

        Parameters
        ==========

        flood_name : str
        tally : Tally
            Replies to the urgent work.
        is_flooding : bool
            Whether the urgent work itself is the flood.
        loop_lag_ms : float
            Event loop lag of the caller, which adds to the latency.
        """
        # Part of a flood has to be refused; only accepted calls count.
        total = tally.accepted if is_flooding else len(tally.replies)
        in_target_percent = percent(tally.in_target, total)
        self.record_outcome(
            'F3',
            f'{flood_name}: {tally.work_class.work} '
            f'at least {MIN_TIMELY_PERCENT:g}% in target',
            f'{in_target_percent:.1f}% of {total}, slowest '
            f'{tally.slowest_seconds:.2f} s; '
            f'event loop lag of the caller {loop_lag_ms:.0f} ms; '
            f'{describe_unanswered([tally])}',
            total > 0 and in_target_percent >= MIN_TIMELY_PERCENT,
        )

    def check_floor(
        self, flood_name: str, tally: Tally, runnable: float
    ) -> None:
        """Check that work gets its guaranteed floor during a flood.

        Parameters
        ==========

        flood_name : str
        tally : Tally
            Replies to the work.
        runnable : float
            Number of requests that the service can run during the flood.
        """
        minimum = int(runnable * tally.work_class.floor_percent / FULL_PERCENT)
        self.record_outcome(
            'F3',
            f'{flood_name}: {tally.work_class.work} '
            f'keeps its floor, {minimum} answers',
            str(tally),
            tally.answered >= minimum,
        )

    def check_order_outcomes(self, tally: Tally) -> None:
        """Check that every order is answered or reported as unknown."""
        answered = tally.answered
        unknown = tally.interrupted
        sent = len(tally.replies)
        self.record_outcome(
            'I6',
            f'{tally.work_class.work}: each is answered or "outcome unknown"',
            f'{answered} answered, {unknown} unknown, of {sent}',
            answered + unknown == sent and answered > 0,
        )

    def check_order_runs(self, tallies: list[Tally]) -> None:
        """Check replies to orders against the runs at the backend servers."""
        runs: Counter[bytes] = Counter()
        for node in self.fleet.nodes:
            runs.update(node.backend.run_counts_by_body)
        order_runs = [
            (runs[body], reply)
            for tally in tallies
            for body, reply in zip(tally.bodies, tally.replies, strict=True)
        ]
        repeated = sum(count > 1 for count, _reply in order_runs)
        ran_but_refused = sum(
            count > 0 and reply.ran is Ran.NO for count, reply in order_runs
        )
        answered_without_run = sum(
            count == 0 and reply.is_answer for count, reply in order_runs
        )
        answered = sum(reply.is_answer for _count, reply in order_runs)
        self.record_outcome(
            'I6',
            'no order runs twice',
            f'{repeated} of {len(order_runs)} ran twice',
            not repeated,
        )
        self.record_outcome(
            'I5',
            'no order ran but is reported as "not run", or is answered without '
            'a run',
            f'{ran_but_refused} and {answered_without_run}; '
            f'{answered} of {len(order_runs)} answered',
            not ran_but_refused and not answered_without_run,
        )

    def check_whole_run(self, orders: list[Tally]) -> list[Outcome]:
        """Check what must hold for the whole run; return all outcomes."""
        self.check_order_runs(orders)
        self.check_platform_calls()
        self.check_slots()
        self.check_daemons()
        return self.outcomes

    def check_platform_calls(self) -> None:
        """Check the rate of calls to the configuration service."""
        peak = self.fleet.platform.meter.peak
        self.record_outcome(
            '1.6',
            f'at most {MAX_CALLS_PER_SECOND} calls a second to the service',
            f'peak {peak}',
            peak <= MAX_CALLS_PER_SECOND,
        )

    def check_slots(self) -> None:
        """Check that no instance gets more requests than it has slots."""
        backends = [node.backend for node in self.fleet.nodes]
        overload_requests = sum(
            backend.overload_requests for backend in backends
        )
        self.record_outcome(
            '1.1',
            'no request reaches an instance without a free slot',
            f'{overload_requests} requests',
            not overload_requests,
        )

    def check_daemons(self) -> None:
        """Check that no daemon exited without being stopped."""
        exited_hosts = [node.place.host for node in self.fleet.exited_nodes()]
        self.record_outcome(
            '1.6',
            'no daemon exits without being stopped',
            ', '.join(exited_hosts) or 'none',
            not exited_hosts,
        )
