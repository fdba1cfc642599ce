"""Suspects and convictions of one daemon."""

import enum
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

import attrs

from tanagerbend_metrics import Event, Recorder

QUARANTINE_SECONDS: Final = 600.0
MAX_FINGERPRINTS: Final = 10_000


class Verdict(enum.Enum):
    """What is known of a fingerprint."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    CONVICTED = 'convicted'


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
        self.seconds = seconds
        self.limit = limit
        # Fingerprints with the monotonic time of their end, oldest first.
        self.suspects: OrderedDict[bytes, float] = OrderedDict()
        self.convicts: OrderedDict[bytes, float] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether every request is clear."""
        return not (self.suspects or self.convicts)

    def check(self, fingerprint: bytes) -> Verdict:
        """Return what is known of a request."""
        self._expire()
        if fingerprint in self.convicts:
            return Verdict.CONVICTED
        if fingerprint in self.suspects:
            return Verdict.SUSPECT
        return Verdict.CLEAR

    def crashed(
        self,
        in_flight: Iterable[bytes],
        *,
        is_alone: bool = False,
    ) -> Notice:
        """Note a crash; return what is new.

        ``is_alone`` says that a suspect ran and nothing else.
        """
        self._expire()
        new = [
            fingerprint
            for fingerprint in dict.fromkeys(in_flight)
            if fingerprint not in self.convicts
        ]
        if is_alone:
            notice = Notice(convicted=tuple(new))
        else:
            notice = Notice(
                suspected=tuple(
                    fingerprint
                    for fingerprint in new
                    if fingerprint not in self.suspects
                ),
            )
        self.merge(notice)
        return notice

    def succeeded(self, fingerprint: bytes) -> Notice:
        """Clear a suspect that ran to its end; return what is new."""
        if fingerprint not in self.suspects:
            return Notice()
        notice = Notice(cleared=(fingerprint,))
        self.merge(notice)
        return notice

    def merge(self, notice: Notice) -> None:
        """Take over what this or another daemon has found.

        Explanation
        ===========

        A conviction is not withdrawn by a clearing, which may concern an
        earlier run.
        """
        for fingerprint in notice.cleared:
            self.suspects.pop(fingerprint, None)
        for suspect in notice.suspected:
            if suspect not in self.convicts:
                self._add(self.suspects, suspect)
        for convict in notice.convicted:
            self.suspects.pop(convict, None)
            self._add(self.convicts, convict)
            self.recorder.note(Event.REQUEST_CONVICTED, convict.hex())

    def snapshot(self) -> Notice:
        """Return everything, for a daemon that has just started."""
        self._expire()
        return Notice(tuple(self.suspects), tuple(self.convicts))

    def _add(self, table: OrderedDict[bytes, float], entry: bytes) -> None:
        table.pop(entry, None)
        table[entry] = self.timer.now() + self.seconds
        while len(table) > self.limit:
            table.popitem(last=False)
            self.recorder.count('quarantine_overflow')

    def _expire(self) -> None:
        now = self.timer.now()
        for table in (self.suspects, self.convicts):
            while table and next(iter(table.values())) <= now:
                table.popitem(last=False)
