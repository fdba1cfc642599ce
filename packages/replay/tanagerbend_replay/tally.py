"""Counts of a replay."""

from collections import Counter

import attrs

from tanagerbend_model import Ran


@attrs.define
class WorkTally:
    """Counts of the calls of one kind of work.

    Parameters
    ==========

    calls, answered, in_target, refused, unknown : int
        ``refused`` counts the calls that were not run.
    """

    calls: int = 0
    answered: int = 0
    in_target: int = 0
    refused: int = 0
    unknown: int = 0

    def count(self, ran: Ran, is_in_target: bool) -> None:
        """Count the outcome of a call."""
        self.calls += 1
        self.answered += ran is Ran.YES
        self.in_target += ran is Ran.YES and is_in_target
        self.refused += ran is Ran.NO
        self.unknown += ran is Ran.UNKNOWN


@attrs.define
class Tally:
    """Counts of one replay.

    Parameters
    ==========

    work : dict of str to WorkTally
        By ``service/work``.
    order_runs : Counter of str
        How often backend servers ran each order.
    order_outcomes : dict of str to Ran
        Last outcome that the caller of each order received.
    refusals : Counter of str
        Calls that were not answered, by the name of the result code.
    violations : Counter of str
        Violations by the identifier of the invariant (design page).
    rejected, conflicts : int
        Offers of a publication that daemons rejected, or reported as a
        conflict.
    """

    work: dict[str, WorkTally] = attrs.field(factory=dict)
    order_runs: Counter[str] = attrs.field(factory=Counter)
    order_outcomes: dict[str, Ran] = attrs.field(factory=dict)
    refusals: Counter[str] = attrs.field(factory=Counter)
    violations: Counter[str] = attrs.field(factory=Counter)
    rejected: int = 0
    conflicts: int = 0

    def work_tally(self, name: str) -> WorkTally:
        """Return the counts of one kind of work, ``service/work``."""
        return self.work.setdefault(name, WorkTally())

    def check_final_state(
        self, expected_digest: bytes, digests: list[bytes]
    ) -> None:
        """Count the violations that only the final state shows.

        Parameters
        ==========

        expected_digest : bytes
            Of the newest valid publication.
        digests : list of bytes
            Digest in force at each daemon.
        """
        for order, runs in self.order_runs.items():
            self.violations['I6'] += runs > 1
            reported_not_run = self.order_outcomes.get(order) is Ran.NO
            self.violations['I5'] += reported_not_run and runs > 0
        for order, ran in self.order_outcomes.items():
            lost = ran is Ran.YES and not self.order_runs[order]
            self.violations['I6'] += lost
        self.violations['I9'] += sum(
            digest != expected_digest for digest in digests
        )
