"""Suspects and convictions as the control messages name them."""

import itertools
from collections.abc import Iterable

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_quarantine.case import Crash, Verdict
from tanagerbend_quarantine.cases import (
    MAX_FINGERPRINTS,
    QUARANTINE_SECONDS,
    Cases,
)
from tanagerbend_quarantine.gate import Company


@attrs.frozen
class Notice:
    """Changes that the other daemons of the service have to know.

    Parameters
    ==========

    suspected, convicted, cleared : tuple of bytes
        Fingerprints.
    """

    suspected: tuple[bytes, ...] = ()
    convicted: tuple[bytes, ...] = ()
    cleared: tuple[bytes, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether nothing has changed."""
        return not (self.suspected or self.convicted or self.cleared)


class Quarantine:
    """Remembers which requests may crash a backend server.

    Explanation
    ===========

    All requests in flight at a crash are suspects, since any of them may
    have caused it.  A suspect runs alone; a crash then convicts it, and
    success clears it.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> quarantine = Quarantine(Recorder(ManualTimer()))
    >>> quarantine.crashed([b'first', b'second']).suspected
    (b'first', b'second')
    >>> quarantine.crashed([b'first'], is_alone=True).convicted
    (b'first',)
    >>> quarantine.check(b'first'), quarantine.check(b'second')
    (<Verdict.CONVICTED: 'convicted'>, <Verdict.SUSPECT: 'suspect'>)

    Parameters
    ==========

    recorder : Recorder
    seconds : float
        Time until a suspicion or a conviction ends.
    limit : int
        Fingerprints of each kind; beyond it the oldest one is forgotten.
    """

    def __init__(
        self,
        recorder: Recorder,
        seconds: float = QUARANTINE_SECONDS,
        limit: int = MAX_FINGERPRINTS,
    ) -> None:
        self.recorder = recorder
        self.timer = recorder.timer
        self.cases = Cases(recorder, seconds, limit)
        self.numbers = itertools.count()

    @property
    def is_empty(self) -> bool:
        """Whether every request is clear."""
        return self.cases.is_empty

    @property
    def suspects(self) -> tuple[bytes, ...]:
        """Fingerprints of suspects, oldest first."""
        return tuple(self.cases.suspects)

    def check(self, fingerprint: bytes) -> Verdict:
        """Return what is known of a request."""
        return self.cases.verdict(fingerprint)

    def company(self, fingerprint: bytes) -> Company:
        """Return which requests may run beside a request."""
        return self.cases.company(fingerprint)

    def crashed(
        self,
        in_flight: Iterable[bytes],
        *,
        is_alone: bool = False,
    ) -> Notice:
        """Note a crash; return what is new.

        ``is_alone`` says that a suspect ran and nothing else.
        """
        before = {name: self.check(name) for name in in_flight}
        self.cases.crashed(before, self._crash(is_alone=is_alone))
        changed = [
            (name, self.check(name))
            for name, verdict in before.items()
            if self.check(name) is not verdict
        ]
        return Notice(
            _named(changed, Verdict.SUSPECT),
            _named(changed, Verdict.CONVICTED),
        )

    def succeeded(self, fingerprint: bytes) -> Notice:
        """Clear a suspect that ran to its end; return what is new."""
        if self.cases.succeeded(fingerprint):
            return Notice(cleared=(fingerprint,))
        return Notice()

    def merge(self, notice: Notice) -> None:
        """Take over what another daemon has found.

        Explanation
        ===========

        A conviction is not withdrawn by a clearing, which may concern an
        earlier run.
        """
        for cleared in notice.cleared:
            if self.check(cleared) is Verdict.SUSPECT:
                self.cases.lift(cleared)
        for name in notice.suspected:
            if self.check(name) is Verdict.CLEAR:
                self.cases.crashed((name,), self._crash(is_alone=False))
        for convict in notice.convicted:
            self.cases.crashed((convict,), self._crash(is_alone=True))

    def _crash(self, *, is_alone: bool) -> Crash:
        """Return a crash of its own, since control messages name none."""
        number = str(next(self.numbers))
        return Crash(number, self.timer.now(), is_alone)

    def snapshot(self) -> Notice:
        """Return everything, for a daemon that has just started."""
        self.cases.expire()
        return Notice(self.suspects, tuple(self.cases.convicts))


def _named(
    found: Iterable[tuple[bytes, Verdict]],
    wanted: Verdict,
) -> tuple[bytes, ...]:
    return tuple(name for name, verdict in found if verdict is wanted)
