"""Suspects and convictions as they are exchanged in control messages."""

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
from tanagerbend_quarantine.gate import Isolation


@attrs.frozen
class Notice:
    """Changes to report to the other daemons of the service.

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
    """Records which requests may crash a backend server.

    Explanation
    ===========

    All requests in flight at a crash are suspects, since any of them may
    have caused it.  A suspect runs alone; another crash convicts it, and
    a success clears it.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> quarantine = Quarantine(Recorder(ManualTimer()))
    >>> quarantine.record_crash([b'first', b'second']).suspected
    (b'first', b'second')
    >>> quarantine.record_crash([b'first'], is_alone=True).convicted
    (b'first',)
    >>> quarantine.verdict(b'first'), quarantine.verdict(b'second')
    (<Verdict.CONVICTED: 'convicted'>, <Verdict.SUSPECT: 'suspect'>)

    Parameters
    ==========

    recorder : Recorder
    seconds : float
        Time until a suspicion or a conviction expires.
    limit : int
        Maximum number of suspects, and of convictions; beyond it the oldest
        is dropped.
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
        self.crash_numbers = itertools.count()

    @property
    def is_empty(self) -> bool:
        """Whether every request is clear."""
        return self.cases.is_empty

    @property
    def suspects(self) -> tuple[bytes, ...]:
        """Fingerprints of suspects, oldest first."""
        return tuple(self.cases.suspects)

    def verdict(self, fingerprint: bytes) -> Verdict:
        """Return the verdict on a request."""
        return self.cases.verdict(fingerprint)

    def isolation(self, fingerprint: bytes) -> Isolation:
        """Return which requests may run at the same time as a request."""
        return self.cases.isolation(fingerprint)

    def record_crash(
        self,
        in_flight: Iterable[bytes],
        *,
        is_alone: bool = False,
    ) -> Notice:
        """Record a crash; return the resulting changes.

        ``is_alone`` means that a suspect was the only running request.
        """
        old_verdicts = {
            fingerprint: self.verdict(fingerprint) for fingerprint in in_flight
        }
        self.cases.record_crash(
            old_verdicts, self._new_crash(is_alone=is_alone)
        )
        changed = [
            (fingerprint, self.verdict(fingerprint))
            for fingerprint, verdict in old_verdicts.items()
            if self.verdict(fingerprint) is not verdict
        ]
        return Notice(
            _with_verdict(changed, Verdict.SUSPECT),
            _with_verdict(changed, Verdict.CONVICTED),
        )

    def record_success(self, fingerprint: bytes) -> Notice:
        """Clear a suspect that was completed; return the changes."""
        if self.cases.record_success(fingerprint):
            return Notice(cleared=(fingerprint,))
        return Notice()

    def record_survival(self, fingerprint: bytes) -> Notice:
        """Record that the server outlived an abandoned request.

        Returns the changes.
        """
        was_suspect = self.verdict(fingerprint) is Verdict.SUSPECT
        self.cases.record_survival(fingerprint)
        if was_suspect and self.verdict(fingerprint) is Verdict.CLEAR:
            return Notice(cleared=(fingerprint,))
        return Notice()

    def merge(self, notice: Notice) -> None:
        """Apply the changes that another daemon reports.

        Explanation
        ===========

        A cleared fingerprint does not withdraw a conviction, because the
        success may belong to an earlier run.
        """
        for cleared in notice.cleared:
            if self.verdict(cleared) is Verdict.SUSPECT:
                self.cases.clear(cleared)
        for fingerprint in notice.suspected:
            if self.verdict(fingerprint) is Verdict.CLEAR:
                self.cases.record_crash(
                    (fingerprint,), self._new_crash(is_alone=False)
                )
        for convict in notice.convicted:
            self.cases.record_crash((convict,), self._new_crash(is_alone=True))

    def _new_crash(self, *, is_alone: bool) -> Crash:
        """Return a unique crash, since control messages identify none."""
        number = str(next(self.crash_numbers))
        return Crash(number, self.timer.now(), is_alone)

    def snapshot(self) -> Notice:
        """Return all suspects and convictions, for a new daemon."""
        self.cases.expire()
        return Notice(self.suspects, tuple(self.cases.convicted))


def _with_verdict(
    found: Iterable[tuple[bytes, Verdict]],
    wanted: Verdict,
) -> tuple[bytes, ...]:
    return tuple(
        fingerprint for fingerprint, verdict in found if verdict is wanted
    )
