"""Instances that are known not to run at the address of their entry."""

from collections.abc import Callable
from typing import Final

import attrs

from tanagerbend_timer import Timer

# Time after which an absent instance is tried again.  An instance may write its
# entry while its predecessor still holds the address.  Entries of ended
# instances lapse within seconds, and each trial costs one repeat.
ABSENCE_SECONDS: Final = 5.0


@attrs.frozen
class Absence:
    """Address at which an instance isn't, and until when this is assumed."""

    address: str
    ends: float


@attrs.define
class Absences:
    """Instances at whose address another one answered.

    Parameters
    ==========

    timer : Timer
    on_change : callable
        Called when an instance becomes absent, or may be there again.
    known : dict of str to Absence
        By the identities of the instances.
    """

    timer: Timer
    on_change: Callable[[], None]
    known: dict[str, Absence] = attrs.field(factory=dict)

    def record(self, identity: str, address: str) -> None:
        """Record that an instance isn't at its address."""
        if identity not in self.known:
            ends = self.timer.now() + ABSENCE_SECONDS
            self.known[identity] = Absence(address, ends)
            self.on_change()

    def forget(self, address: str) -> None:
        """Try the instances at an address again, as an entry there changed."""
        self._keep(lambda absence: absence.address != address)

    def expire(self) -> None:
        """Try the instances again that have been absent for long enough."""
        now = self.timer.now()
        self._keep(lambda absence: absence.ends > now)

    def _keep(self, is_kept: Callable[[Absence], bool]) -> None:
        kept = {
            identity: absence
            for identity, absence in self.known.items()
            if is_kept(absence)
        }
        if len(kept) < len(self.known):
            self.known = kept
            self.on_change()
