"""Chooses where a daemon gets changes from: the service or a peer.

With many hosts in a failure domain, reading every version of a large
configuration on each host would saturate slow links, and every call to the
service is billed.  One daemon of the domain, the reader, reads the service;
the others poll it.
"""

import random
from collections.abc import Collection, Iterable
from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_routing import ListedInstance

# Time for which a peer holds a poll (long polling) until there is a change.
POLL_WAIT_SECONDS: Final = 0.5
# Number of hosts in a failure domain from which on peers are polled; in a
# smaller domain direct reads cost little and depend on no other process.
MIN_RELAY_HOSTS: Final = 8
# Time for which a peer is not polled after a failure.
FAILED_PEER_SECONDS: Final = 5.0
# A daemon reads the service itself if this many older peers have failed.
MAX_FAILED_PEERS: Final = 2
# Interval between queries for the current reader, which seldom changes.
READER_CHECK_SECONDS: Final = 5.0
# Time for which a daemon reads after a poll that addressed it as the reader;
# covers a few polls.
READER_ROLE_SECONDS: Final = 2.0
# A host replaces the reader only if it reads faster by this factor.
TAKEOVER_FACTOR: Final = 1.5


@attrs.frozen
class Source:
    """A peer to poll, and how to poll it.

    Parameters
    ==========

    instance : ListedInstance
        The instance on the host of the peer.
    wait : float
        Seconds for which the peer waits for a change.
    is_check : bool
        Whether the reply is used to update the identity of the reader.
    is_reader : bool
        Whether the peer has been named as the reader.
    """

    instance: ListedInstance
    wait: float = POLL_WAIT_SECONDS
    is_check: bool = False
    is_reader: bool = False


class Sources:
    """Selects the peer that a daemon polls in its failure domain.

    The daemon on the host of the oldest instance names the reader: itself,
    or the fastest of those that polled it.  The others ask it for the reader
    at intervals.

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
        self.named_reader = ''
        self.checked_at = float('-inf')
        self.fastest_reader = ('', 0.0)
        self.reads_until = float('-inf')

    def choose(self, local: Iterable[ListedInstance]) -> Source | None:
        """Return the peer to poll, or None to read the service.

        ``local`` holds the instances of this daemon's failure domain.
        """
        by_age = sorted(local, key=_seniority)
        if len(by_age) < MIN_RELAY_HOSTS or self.timer.now() < self.reads_until:
            return None
        failed_count = 0
        for each in by_age:
            if each.address == self.own_address:
                return self._choose_own_reader(by_age)
            if failed_count >= MAX_FAILED_PEERS:
                return None
            if not self._failed_recently(each.identity):
                return self._choose_named_reader(each, by_age)
            failed_count += 1
        return None

    def _choose_own_reader(self, by_age: list[ListedInstance]) -> Source | None:
        """Return the fastest known reader, None if this daemon reads."""
        return self._find_peer(self.fastest_reader[0], by_age)

    def _choose_named_reader(
        self,
        oldest: ListedInstance,
        by_age: list[ListedInstance],
    ) -> Source | None:
        if self.timer.now() - self.checked_at >= READER_CHECK_SECONDS:
            self.checked_at = self.timer.now()
            return Source(oldest, wait=0.0, is_check=True)
        reader = self._find_peer(self.named_reader, by_age)
        if reader is None and not self._is_own(self.named_reader, by_age):
            return Source(oldest)
        return reader

    def _find_peer(
        self,
        identity: str,
        by_age: list[ListedInstance],
    ) -> Source | None:
        """Return a peer by its identity if it can be polled."""
        for each in by_age:
            is_other = each.address != self.own_address
            if each.identity == identity and is_other:
                return self._reader_source(each)
        return None

    def _reader_source(self, instance: ListedInstance) -> Source | None:
        if self._failed_recently(instance.identity):
            return None
        return Source(instance, is_reader=True)

    def _is_own(self, identity: str, by_age: list[ListedInstance]) -> bool:
        return any(
            each.identity == identity and each.address == self.own_address
            for each in by_age
        )

    def record_failure(self, identity: str) -> None:
        """Stop polling a peer for a while; it is not named as the reader."""
        self.failed_at[identity] = self.timer.now()
        if identity == self.fastest_reader[0]:
            self.fastest_reader = ('', 0.0)

    def retain(self, identities: Collection[str]) -> None:
        """Drop the state of instances that are not listed any more."""
        if self.fastest_reader[0] not in identities:
            self.fastest_reader = ('', 0.0)
        for identity in self.failed_at.keys() - identities:
            self.failed_at.pop(identity)

    def hold_reader_role(self) -> None:
        """Read the service for a while, regardless of the named reader.

        Otherwise daemons that disagree about the oldest instance could poll
        each other in a cycle, and none of them would read the service.
        """
        self.reads_until = self.timer.now() + READER_ROLE_SECONDS

    def record_speed(self, identity: str, speed: float) -> None:
        """Record the read speed of a daemon, in bytes per second.

        A daemon whose instance is not listed has no identity and can't be
        polled.
        """
        if not identity:
            return
        reader, fastest = self.fastest_reader
        if identity == reader or speed > TAKEOVER_FACTOR * fastest:
            self.fastest_reader = (identity, speed)

    def fallback_peers(
        self,
        known: Iterable[ListedInstance],
        failure_domain: str,
        rng: random.Random,
    ) -> list[ListedInstance]:
        """Return peers to poll in addition to the regular one.

        At most one is of this failure domain and one of another, since a
        fault that delays changes often affects a whole failure domain.
        """
        candidates = [
            each
            for each in known
            if each.address != self.own_address
            and not self._failed_recently(each.identity)
        ]
        local = [
            each for each in candidates if each.failure_domain == failure_domain
        ]
        remote = [
            each for each in candidates if each.failure_domain != failure_domain
        ]
        return [rng.choice(group) for group in (local, remote) if group]

    def _failed_recently(self, identity: str) -> bool:
        failed_at = self.failed_at.get(identity, float('-inf'))
        return self.timer.now() - failed_at < FAILED_PEER_SECONDS


def _seniority(instance: ListedInstance) -> tuple[int, str]:
    return instance.born, instance.identity
