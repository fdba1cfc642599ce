"""Detection of requests that crash the instances that run them.

A request that is repeated may crash each instance that begins to run it,
while harmless requests are in flight whenever instances end for any reason.
A request is convicted only by evidence about itself: how many instances
crashed while running it, and whether one ever completed it.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from tanagerbend_metrics import Event, Recorder
from tanagerbend_quarantine.case import (
    Case,
    Crash,
    Crashes,
    SharedCase,
    Verdict,
)
from tanagerbend_quarantine.gate import Isolation

QUARANTINE_SECONDS: Final = 600.0
MAX_FINGERPRINTS: Final = 10_000
# For this time after its start, in seconds, a daemon has seen too few
# successes to draw conclusions from their absence.  It is below the three
# seconds after which a host counts as in touch.
WARM_UP_SECONDS: Final = 2.0
# For this time after a request was completed, in seconds, it is assumed not
# to crash instances, and its crashes do not count.
RECENT_SUCCESS_SECONDS: Final = 10.0


@attrs.define
class StoredCase:
    """A case and the monotonic seconds at which it expires."""

    case: Case
    expires_at: float


def ignore_verdict_change(_fingerprint: bytes, _case: Case) -> None:
    """Default callback, which does nothing."""


class Cases:
    """Suspects and convictions of one daemon.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> cases = Cases(Recorder(ManualTimer()))
    >>> cases.record_crash([b'page', b'order'], Crash('i-1', 1.0))
    [b'page', b'order']
    >>> cases.record_success(b'page')
    True
    >>> cases.verdict(b'page'), cases.verdict(b'order')
    (<Verdict.CLEAR: 'clear'>, <Verdict.SUSPECT: 'suspect'>)

    Parameters
    ==========

    recorder : Recorder
    seconds : float
        Time after the last crash until a case expires.
    limit : int
        Maximum number of suspects, and of convictions; beyond it the oldest
        is dropped.
    solo_from : int
        Number of crashes from which a suspect runs alone; below, it only
        doesn't run beside another suspect.
    warm_up : float
        Seconds from now in which only a crash of an instance that ran
        nothing else convicts.

    Attributes
    ==========

    on_convicted, on_conviction_ended : callable
        Called with fingerprint and case when a request becomes convicted,
        and when it no longer is.
    """

    def __init__(
        self,
        recorder: Recorder,
        seconds: float = QUARANTINE_SECONDS,
        limit: int = MAX_FINGERPRINTS,
        solo_from: int = 1,
        warm_up: float = 0.0,
    ) -> None:
        self.recorder = recorder
        self.timer = recorder.timer
        self.seconds = seconds
        self.limit = limit
        self.solo_from = solo_from
        self.on_convicted: Callable[[bytes, Case], None] = ignore_verdict_change
        self.on_conviction_ended: Callable[[bytes, Case], None] = (
            ignore_verdict_change
        )
        # Oldest first; a case is in exactly one of these tables.
        self.suspects: OrderedDict[bytes, StoredCase] = OrderedDict()
        self.convicted: OrderedDict[bytes, StoredCase] = OrderedDict()
        self.cleared: OrderedDict[bytes, StoredCase] = OrderedDict()
        self.success_times: OrderedDict[bytes, float] = OrderedDict()
        self.warm_up_ends_at = self.timer.now() + warm_up

    @property
    def is_empty(self) -> bool:
        """Whether every request is clear."""
        return not (self.suspects or self.convicted)

    def case(self, fingerprint: bytes) -> Case:
        """Return the case of a request."""
        stored = self._stored(fingerprint)
        return Case() if stored is None else stored.case

    def verdict(self, fingerprint: bytes) -> Verdict:
        """Return whether a request may run."""
        if self.is_empty:
            return Verdict.CLEAR
        self.expire()
        case = self.case(fingerprint)
        is_warming_up = self.timer.now() < self.warm_up_ends_at
        if is_warming_up and case.counted and not case.has_solo_crash:
            return Verdict.SUSPECT
        return case.verdict

    def isolation(self, fingerprint: bytes) -> Isolation:
        """Return which requests may run beside a request."""
        if self.verdict(fingerprint) is not Verdict.SUSPECT:
            return Isolation.NONE
        if len(self.case(fingerprint).counted) >= self.solo_from:
            return Isolation.EXCLUSIVE
        return Isolation.FROM_SUSPECTS

    def record_crash(
        self,
        in_flight: Iterable[bytes],
        crash: Crash,
    ) -> list[bytes]:
        """Record a crash; return the fingerprints whose case changed.

        A request that was completed recently is not suspected unless it
        ran alone.
        """
        expires_at = self.timer.now() + self.seconds
        case = Case(frozenset((crash,)))
        return [
            fingerprint
            for fingerprint in dict.fromkeys(in_flight)
            if (crash.is_alone or not self._has_recent_success(fingerprint))
            and self._merge(fingerprint, case, expires_at)
        ]

    def record_success(self, fingerprint: bytes) -> bool:
        """Record that a request was completed; return whether its case changed.

        The completed run may have begun before the crashes, so a conviction
        by a crash of an instance that ran nothing else stays.
        """
        self.success_times.pop(fingerprint, None)
        self.success_times[fingerprint] = self.timer.now()
        if len(self.success_times) > self.limit:
            self.success_times.popitem(last=False)
        stored = self._stored(fingerprint)
        if stored is None or stored.case.has_solo_crash:
            return False
        return self._merge(
            fingerprint, stored.case.with_all_dismissed(), stored.expires_at
        )

    def record_survival(self, fingerprint: bytes) -> bool:
        """Record that an instance outlived a request that was abandoned.

        Returns whether the case changed.  The instance may have stopped the
        request early, so this outweighs a single crash, unlike a success,
        and does not end a conviction.
        """
        stored = self._stored(fingerprint)
        if stored is None or stored.case.verdict is Verdict.CONVICTED:
            return False
        return self._merge(
            fingerprint, stored.case.with_one_dismissed(), stored.expires_at
        )

    def clear(self, fingerprint: bytes) -> bool:
        """Clear a request by decision of an operator."""
        stored = self._stored(fingerprint)
        if stored is None:
            return False
        return self._merge(
            fingerprint, stored.case.with_all_dismissed(), stored.expires_at
        )

    def merge_received(self, received: Iterable[SharedCase]) -> list[bytes]:
        """Merge cases of another daemon; return the changed fingerprints."""
        self.expire()
        now = self.timer.now()
        return [
            each.fingerprint
            for each in received
            if self._merge_shared_case(
                each, now + min(each.seconds, self.seconds)
            )
        ]

    def _merge_shared_case(
        self, received: SharedCase, expires_at: float
    ) -> bool:
        case = received.case
        if not case.has_solo_crash and self._has_recent_success(
            received.fingerprint
        ):
            case = case.with_all_dismissed()
        return self._merge(received.fingerprint, case, expires_at)

    def cases_to_send(
        self, fingerprints: Iterable[bytes] | None = None
    ) -> list[SharedCase]:
        """Return cases to send to another daemon, all of them by default."""
        self.expire()
        now = self.timer.now()
        if fingerprints is None:
            fingerprints = (*self.convicted, *self.suspects, *self.cleared)
        found = ((name, self._stored(name)) for name in fingerprints)
        return [
            SharedCase(name, stored.case, stored.expires_at - now)
            for name, stored in found
            if stored is not None
        ]

    def digest(self) -> str:
        """Return a digest that is equal for daemons with equal cases."""
        self.expire()
        digest = hashlib.blake2b(digest_size=8)
        for table in (self.convicted, self.suspects, self.cleared):
            for fingerprint in sorted(table):
                case = table[fingerprint].case
                digest.update(fingerprint)
                digest.update(repr(_sorted_crashes(case.crashes)).encode())
                digest.update(repr(_sorted_crashes(case.dismissed)).encode())
        return digest.hexdigest()

    def expire(self) -> None:
        """Drop expired cases and successes."""
        now = self.timer.now()
        for table in (self.suspects, self.convicted, self.cleared):
            while table and next(iter(table.values())).expires_at <= now:
                table.popitem(last=False)
        oldest = now - RECENT_SUCCESS_SECONDS
        while (
            self.success_times
            and next(iter(self.success_times.values())) < oldest
        ):
            self.success_times.popitem(last=False)

    def _has_recent_success(self, fingerprint: bytes) -> bool:
        succeeded_at = self.success_times.get(fingerprint, float('-inf'))
        return self.timer.now() - succeeded_at < RECENT_SUCCESS_SECONDS

    def _stored(self, fingerprint: bytes) -> StoredCase | None:
        stored = (
            self.convicted.get(fingerprint)
            or self.suspects.get(fingerprint)
            or self.cleared.get(fingerprint)
        )
        # A case from another daemon may expire before older ones.
        return (
            stored if stored and stored.expires_at > self.timer.now() else None
        )

    def _merge(self, fingerprint: bytes, case: Case, expires_at: float) -> bool:
        """Merge evidence into the stored case; return whether it changed."""
        stored = self._stored(fingerprint) or StoredCase(Case(), expires_at)
        merged = stored.case.merged(case)
        if merged == stored.case:
            return False
        old_verdict = stored.case.verdict
        for table in (self.suspects, self.convicted, self.cleared):
            table.pop(fingerprint, None)
        table = self._table_for(merged.verdict)
        table[fingerprint] = StoredCase(
            merged, max(stored.expires_at, expires_at)
        )
        if len(table) > self.limit:
            table.popitem(last=False)
            self.recorder.count('quarantine_overflow')
        self._report_verdict_change(fingerprint, old_verdict, merged)
        return True

    def _report_verdict_change(
        self, fingerprint: bytes, old_verdict: Verdict, case: Case
    ) -> None:
        """Record and report a conviction or its end."""
        was_convicted = old_verdict is Verdict.CONVICTED
        is_convicted = case.verdict is Verdict.CONVICTED
        if is_convicted and not was_convicted:
            self.recorder.record_event(
                Event.REQUEST_CONVICTED, fingerprint.hex()
            )
            self.on_convicted(fingerprint, case)
        elif was_convicted and not is_convicted:
            self.on_conviction_ended(fingerprint, case)

    def _table_for(self, verdict: Verdict) -> OrderedDict[bytes, StoredCase]:
        match verdict:
            case Verdict.CONVICTED:
                return self.convicted
            case Verdict.SUSPECT:
                return self.suspects
        return self.cleared


def _sorted_crashes(crashes: Crashes) -> list[tuple[float, str, bool]]:
    return sorted(
        (crash.at, crash.instance, crash.is_alone) for crash in crashes
    )
