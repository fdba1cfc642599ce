"""What a replay counts."""

from collections import Counter

import attrs

from tanagerbend_model import Ran


@attrs.define
class WorkTally:
    """Calls of one kind of work, all of them or those of one interval.

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
        """Count the end of a call."""
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
        Runs of each order at the backend servers.
    order_ends : dict of str to Ran
        What the caller of each order was told last.
    refusals : Counter of str
        Calls that were not answered, by the name of the result code.
    breaches : Counter of str
        Breaches of invariants, by the identifier of the design page.
    rejected, conflicts : int
        Publications that some daemon declined or reported.
    """

    work: dict[str, WorkTally] = attrs.field(factory=dict)
    order_runs: Counter[str] = attrs.field(factory=Counter)
    order_ends: dict[str, Ran] = attrs.field(factory=dict)
    refusals: Counter[str] = attrs.field(factory=Counter)
    breaches: Counter[str] = attrs.field(factory=Counter)
    rejected: int = 0
    conflicts: int = 0

    def of(self, name: str) -> WorkTally:
        """Return the counts of one kind of work, ``service/work``."""
        return self.work.setdefault(name, WorkTally())

    def finish(self, expected_digest: bytes, held: list[bytes]) -> None:
        """Count the breaches that show only at the end.

        Parameters
        ==========

        expected_digest : bytes
            Of the newest valid publication.
        held : list of bytes
            Digest in force at each daemon.
        """
        for order, runs in self.order_runs.items():
            self.breaches['I6'] += runs > 1
            said_not_run = self.order_ends.get(order) is Ran.NO
            self.breaches['I5'] += said_not_run and runs > 0
        for order, ran in self.order_ends.items():
            lost = ran is Ran.YES and not self.order_runs[order]
            self.breaches['I6'] += lost
        self.breaches['I9'] += sum(one != expected_digest for one in held)
