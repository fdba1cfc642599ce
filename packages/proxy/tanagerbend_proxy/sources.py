"""Choice of where a daemon hears of changes: the service or a peer.

The load it answers: many hosts in one failure domain, each of which would
read every version of a large configuration over its own thin link, and
pay for its calls.  One daemon of the domain reads; the others ask it.
"""

from collections.abc import Iterable
from typing import Final

from tanagerbend_metrics import Recorder
from tanagerbend_routing import ListedInstance

# Hosts of a failure domain from which on peers are asked; below, direct
# reading costs little and does not depend on another process.
RELAY_FROM: Final = 6
# A peer that failed is asked again after this time, in seconds.
FAILING_SECONDS: Final = 5.0
# With this many failing peers in front of it a daemon reads by itself.
MOST_FAILING: Final = 2
# A host takes over reading if it is faster by this factor.
FASTER: Final = 1.5


class Sources:
    """Peers of one daemon in its failure domain.

    Parameters
    ==========

    own_address : str
        ``address:port`` of the instance on this host.
    recorder : Recorder
    """

    def __init__(self, own_address: str, recorder: Recorder) -> None:
        self.own_address = own_address
        self.timer = recorder.timer
        self.failed_at: dict[str, float] = {}
        self.preferred = ''
        self.fastest = ('', 0.0)

    def choose(
        self,
        near: Iterable[ListedInstance],
    ) -> ListedInstance | None:
        """Return the instance whose daemon is asked, None to read.

        ``near`` holds the instances of the own failure domain.  All
        daemons use the same order: the preferred one, then the oldest.
        """
        order = sorted(near, key=self._order)
        if len(order) < RELAY_FROM:
            return None
        failing = 0
        for each in order:
            if each.address == self.own_address or failing >= MOST_FAILING:
                return None
            if not self._is_failing(each.identity):
                return each
            failing += 1
        return None

    def failed(self, identity: str) -> None:
        """Ask a peer no more for a while."""
        self.failed_at[identity] = self.timer.now()

    def asked(self, identity: str, speed: float) -> None:
        """Take the reading speed of a peer that asks, bytes a second."""
        if speed > FASTER * self.fastest[1] or identity == self.fastest[0]:
            self.fastest = (identity, speed)

    def _order(self, instance: ListedInstance) -> tuple[bool, int, str]:
        is_preferred = instance.identity == self.preferred
        return not is_preferred, instance.born, instance.identity

    def _is_failing(self, identity: str) -> bool:
        failed_at = self.failed_at.get(identity, float('-inf'))
        return self.timer.now() - failed_at < FAILING_SECONDS
