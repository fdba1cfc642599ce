"""Choice of where a daemon hears of changes: the service or a peer.

The load it answers: many hosts in one failure domain, each of which would
read every version of a large configuration over its own thin link, and
pay for its calls.  One daemon of the domain reads; the others ask it.
"""

import random
from collections.abc import Collection, Iterable
from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_routing import ListedInstance

# How long a peer holds a request until there is a change.
POLL_WAIT_SECONDS: Final = 0.5
# Hosts of a failure domain from which on peers are asked; below, direct
# reading costs little and does not depend on another process.
RELAY_FROM: Final = 8
# A peer that failed is asked again after this time, in seconds.
FAILING_SECONDS: Final = 5.0
# With this many failing peers in front of it a daemon reads by itself.
MOST_FAILING: Final = 2
# How often it is asked who reads, in seconds; the reader seldom changes.
CHECK_SECONDS: Final = 5.0
# How long a daemon reads after it was asked as the reader; a few polls.
READER_SECONDS: Final = 2.0
# A host takes over reading if it is faster by this factor.
FASTER: Final = 1.5


@attrs.frozen
class Source:
    """A peer that is asked.

    Parameters
    ==========

    instance : ListedInstance
        The one beside the peer.
    wait : float
        Seconds for which the peer waits for a change.
    is_check : bool
        Whether the peer also has to say who reads.
    is_reader : bool
        Whether the peer has been named as the one that reads.
    """

    instance: ListedInstance
    wait: float = POLL_WAIT_SECONDS
    is_check: bool = False
    is_reader: bool = False


class Sources:
    """Peers of one daemon in its failure domain.

    The daemon beside the oldest instance names the reader: itself, or the
    fastest of those that asked it.  The others check with it now and then.

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
        self.named = ''
        self.named_at = float('-inf')
        self.fastest = ('', 0.0)
        self.reads_until = float('-inf')

    def choose(self, near: Iterable[ListedInstance]) -> Source | None:
        """Return who is asked, None to read the service.

        ``near`` holds the instances of the own failure domain.
        """
        order = sorted(near, key=_age)
        if len(order) < RELAY_FROM or self.timer.now() < self.reads_until:
            return None
        failing = 0
        for each in order:
            if each.address == self.own_address:
                return self._named_by_this(order)
            if failing >= MOST_FAILING:
                return None
            if not self._is_failing(each.identity):
                return self._named_by(each, order)
            failing += 1
        return None

    def _named_by_this(self, order: list[ListedInstance]) -> Source | None:
        """Return the fastest that asked, None if this daemon reads."""
        return self._found(self.fastest[0], order)

    def _named_by(
        self,
        oldest: ListedInstance,
        order: list[ListedInstance],
    ) -> Source | None:
        if self.timer.now() - self.named_at >= CHECK_SECONDS:
            self.named_at = self.timer.now()
            return Source(oldest, wait=0.0, is_check=True)
        named = self._found(self.named, order)
        if named is None and not self._is_own(self.named, order):
            return Source(oldest)
        return named

    def _found(
        self,
        identity: str,
        order: list[ListedInstance],
    ) -> Source | None:
        """Return a peer by its identity if it can be asked."""
        for each in order:
            is_other = each.address != self.own_address
            if each.identity == identity and is_other:
                return self._reader(each)
        return None

    def _reader(self, instance: ListedInstance) -> Source | None:
        if self._is_failing(instance.identity):
            return None
        return Source(instance, is_reader=True)

    def _is_own(self, identity: str, order: list[ListedInstance]) -> bool:
        return any(
            each.identity == identity and each.address == self.own_address
            for each in order
        )

    def failed(self, identity: str) -> None:
        """Ask a peer no more for a while, and name another reader."""
        self.failed_at[identity] = self.timer.now()
        if identity == self.fastest[0]:
            self.fastest = ('', 0.0)

    def retain(self, identities: Collection[str]) -> None:
        """Forget instances that are not listed any more."""
        if self.fastest[0] not in identities:
            self.fastest = ('', 0.0)
        for gone in self.failed_at.keys() - identities:
            self.failed_at.pop(gone)

    def asked_as_reader(self) -> None:
        """Read the service for a while, whoever else seems to read.

        Daemons that differ about the oldest would ask each other in a
        circle otherwise, and none of them would hear of a change.
        """
        self.reads_until = self.timer.now() + READER_SECONDS

    def asked(self, identity: str, speed: float) -> None:
        """Take the reading speed of a daemon, bytes a second."""
        if speed > FASTER * self.fastest[1]:
            self.fastest = (identity, speed)

    def others(
        self,
        known: Iterable[ListedInstance],
        failure_domain: str,
        chance: random.Random,
    ) -> list[ListedInstance]:
        """Return peers to ask beside the usual one.

        One is of the own failure domain and one of another, since what
        keeps one from changes often meets its neighbours too.
        """
        free = [
            each
            for each in known
            if each.address != self.own_address
            and not self._is_failing(each.identity)
        ]
        near = [each for each in free if each.failure_domain == failure_domain]
        far = [each for each in free if each.failure_domain != failure_domain]
        return [chance.choice(side) for side in (near, far) if side]

    def _is_failing(self, identity: str) -> bool:
        failed_at = self.failed_at.get(identity, float('-inf'))
        return self.timer.now() - failed_at < FAILING_SECONDS


def _age(instance: ListedInstance) -> tuple[int, str]:
    return instance.born, instance.identity
