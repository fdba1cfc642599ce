"""What is known of requests that may end the instances that run them.

The load it answers: one request that comes again and again and ends each
instance that begins to run it, among sound requests that are in flight when
instances end for whatever reason.  A request is guilty by what can be seen
of it alone: how many instances ended while they ran it, and whether one
ever ran it to the end.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from tanagerbend_metrics import Event, Recorder
from tanagerbend_quarantine.case import Case, Crash, Crashes, Told, Verdict
from tanagerbend_quarantine.gate import Company

QUARANTINE_SECONDS: Final = 600.0
MAX_FINGERPRINTS: Final = 10_000
# For this time after its start a daemon has seen too few successes for their
# lack to say anything, in seconds; below the three seconds after which a host
# counts as in touch.
WARM_UP_SECONDS: Final = 2.0
# A request that ran to its end this long ago, in seconds, does not end
# instances; its next crashes count only after that.
SUCCESS_SECONDS: Final = 10.0


@attrs.define
class Held:
    """A case, and the monotonic seconds at which it is forgotten."""

    case: Case
    ends: float


def say_nothing(_fingerprint: bytes, _case: Case) -> None:
    """Take a conviction without telling anyone."""


class Cases:
    """Suspects and convictions of one daemon.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> cases = Cases(Recorder(ManualTimer()))
    >>> cases.crashed([b'page', b'order'], Crash('i-1', 1.0))
    [b'page', b'order']
    >>> cases.succeeded(b'page')
    True
    >>> cases.verdict(b'page'), cases.verdict(b'order')
    (<Verdict.CLEAR: 'clear'>, <Verdict.SUSPECT: 'suspect'>)

    Parameters
    ==========

    recorder : Recorder
    seconds : float
        Time after the last crash until a case is forgotten.
    limit : int
        Suspects, and convictions; beyond it the oldest is forgotten.
    solo_from : int
        Crashes from which a suspect runs alone; below, it only doesn't
        run beside another suspect.

    warm_up : float
        Seconds from now in which only a proved case convicts.

    Attributes
    ==========

    on_convicted, on_acquitted : callable
        Are told when a request is refused, or not any more: fingerprint,
        case.
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
        self.on_convicted: Callable[[bytes, Case], None] = say_nothing
        self.on_acquitted: Callable[[bytes, Case], None] = say_nothing
        # Oldest first; a case is in one of them.
        self.suspects: OrderedDict[bytes, Held] = OrderedDict()
        self.convicts: OrderedDict[bytes, Held] = OrderedDict()
        self.cleared: OrderedDict[bytes, Held] = OrderedDict()
        self.successes: OrderedDict[bytes, float] = OrderedDict()
        self.warm_from = self.timer.now() + warm_up

    @property
    def is_empty(self) -> bool:
        """Whether every request is clear."""
        return not (self.suspects or self.convicts)

    def case(self, fingerprint: bytes) -> Case:
        """Return what is known of a request."""
        held = self._held(fingerprint)
        return Case() if held is None else held.case

    def verdict(self, fingerprint: bytes) -> Verdict:
        """Return whether a request may run."""
        if self.is_empty:
            return Verdict.CLEAR
        self.expire()
        case = self.case(fingerprint)
        is_cold = self.timer.now() < self.warm_from
        if is_cold and case.counted and not case.is_proved:
            return Verdict.SUSPECT
        return case.verdict

    def company(self, fingerprint: bytes) -> Company:
        """Return which requests may run beside a request."""
        if self.verdict(fingerprint) is not Verdict.SUSPECT:
            return Company.ANY
        if len(self.case(fingerprint).counted) >= self.solo_from:
            return Company.NOBODY
        return Company.NO_SUSPECTS

    def crashed(
        self,
        in_flight: Iterable[bytes],
        crash: Crash,
    ) -> list[bytes]:
        """Note a crash; return the fingerprints of which more is known.

        A request that ran to its end lately has not caused it, unless it
        was alone.
        """
        ends = self.timer.now() + self.seconds
        case = Case(frozenset((crash,)))
        return [
            fingerprint
            for fingerprint in dict.fromkeys(in_flight)
            if (crash.is_alone or not self._has_succeeded(fingerprint))
            and self._join(fingerprint, case, ends)
        ]

    def succeeded(self, fingerprint: bytes) -> bool:
        """Note that a request ran to its end; True if that is news.

        A success may be one of a run that began before the crashes, so a
        conviction that is proved stays.
        """
        self.successes.pop(fingerprint, None)
        self.successes[fingerprint] = self.timer.now()
        if len(self.successes) > self.limit:
            self.successes.popitem(last=False)
        held = self._held(fingerprint)
        if held is None or held.case.is_proved:
            return False
        return self._join(fingerprint, held.case.cleared(), held.ends)

    def lift(self, fingerprint: bytes) -> bool:
        """Take a request as clear again, as an operator has decided."""
        held = self._held(fingerprint)
        if held is None:
            return False
        return self._join(fingerprint, held.case.cleared(), held.ends)

    def join(self, told: Iterable[Told]) -> list[bytes]:
        """Take what another daemon knows; return what was news here."""
        self.expire()
        now = self.timer.now()
        return [
            each.fingerprint
            for each in told
            if self._take(each, now + min(each.seconds, self.seconds))
        ]

    def _take(self, told: Told, ends: float) -> bool:
        case = told.case
        if not case.is_proved and self._has_succeeded(told.fingerprint):
            case = case.cleared()
        return self._join(told.fingerprint, case, ends)

    def told(self, fingerprints: Iterable[bytes] | None = None) -> list[Told]:
        """Return what another daemon has to know, all of it by default."""
        self.expire()
        now = self.timer.now()
        if fingerprints is None:
            fingerprints = (*self.convicts, *self.suspects, *self.cleared)
        found = ((name, self._held(name)) for name in fingerprints)
        return [
            Told(name, held.case, held.ends - now)
            for name, held in found
            if held is not None
        ]

    def digest(self) -> str:
        """Return a text that two daemons share if they know the same."""
        self.expire()
        digest = hashlib.blake2b(digest_size=8)
        for table in (self.convicts, self.suspects, self.cleared):
            for fingerprint in sorted(table):
                case = table[fingerprint].case
                digest.update(fingerprint)
                digest.update(repr(_ordered(case.crashes)).encode())
                digest.update(repr(_ordered(case.struck)).encode())
        return digest.hexdigest()

    def expire(self) -> None:
        """Forget cases and successes whose time is over."""
        now = self.timer.now()
        for table in (self.suspects, self.convicts, self.cleared):
            while table and next(iter(table.values())).ends <= now:
                table.popitem(last=False)
        oldest = now - SUCCESS_SECONDS
        while self.successes and next(iter(self.successes.values())) < oldest:
            self.successes.popitem(last=False)

    def _has_succeeded(self, fingerprint: bytes) -> bool:
        since = self.successes.get(fingerprint, float('-inf'))
        return self.timer.now() - since < SUCCESS_SECONDS

    def _held(self, fingerprint: bytes) -> Held | None:
        held = (
            self.convicts.get(fingerprint)
            or self.suspects.get(fingerprint)
            or self.cleared.get(fingerprint)
        )
        # One that came from another daemon may end before older ones.
        return held if held and held.ends > self.timer.now() else None

    def _join(self, fingerprint: bytes, case: Case, ends: float) -> bool:
        """Add to a case; return whether it is more than was known."""
        held = self._held(fingerprint) or Held(Case(), ends)
        joined = held.case.joined(case)
        if joined == held.case:
            return False
        before = held.case.verdict
        for table in (self.suspects, self.convicts, self.cleared):
            table.pop(fingerprint, None)
        table = self._table(joined.verdict)
        table[fingerprint] = Held(joined, max(held.ends, ends))
        if len(table) > self.limit:
            table.popitem(last=False)
            self.recorder.count('quarantine_overflow')
        self._judged(fingerprint, before, joined)
        return True

    def _judged(self, fingerprint: bytes, before: Verdict, case: Case) -> None:
        """Tell whoever has to know that a verdict has changed."""
        was_convicted = before is Verdict.CONVICTED
        is_convicted = case.verdict is Verdict.CONVICTED
        if is_convicted and not was_convicted:
            self.recorder.note(Event.REQUEST_CONVICTED, fingerprint.hex())
            self.on_convicted(fingerprint, case)
        elif was_convicted and not is_convicted:
            self.on_acquitted(fingerprint, case)

    def _table(self, verdict: Verdict) -> OrderedDict[bytes, Held]:
        match verdict:
            case Verdict.CONVICTED:
                return self.convicts
            case Verdict.SUSPECT:
                return self.suspects
        return self.cleared


def _ordered(crashes: Crashes) -> list[tuple[float, str, bool]]:
    return sorted(
        (crash.at, crash.instance, crash.is_alone) for crash in crashes
    )
