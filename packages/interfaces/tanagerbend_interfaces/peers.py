"""Control messages between daemons and the interface that carries them."""

import enum
from typing import Protocol

import attrs

from tanagerbend_model import Refusal, Version


class MemberState(enum.IntEnum):
    """State of a daemon and the instance beside it."""

    STARTING = 1
    LIVE = 2
    DRAINING = 3
    # Claimed by other members; the daemon itself refutes both.
    SUSPECTED = 4
    GONE = 5


@attrs.frozen
class Member:
    """What a daemon says of itself; only it raises its sequence.

    Explanation
    ===========

    Another member that finds the daemon unreachable changes the state to
    ``SUSPECTED`` under the same sequence.  The daemon refutes this with a
    higher sequence.

    Parameters
    ==========

    host, service, failure_domain, region : str
    incarnation : int
        Start time of the process in nanoseconds since the epoch.
    sequence : int
        Raised by the daemon at each change of its record.
    state : MemberState
    call_address, peer_address : str
        ``address:port``.
    """

    host: str
    service: str
    failure_domain: str
    region: str
    incarnation: int
    sequence: int
    state: MemberState
    call_address: str
    peer_address: str

    @property
    def freshness(self) -> tuple[int, int, int]:
        """Sort key: the record with the higher one replaces the other."""
        claimed = self.state if self.is_claimed else 0
        return self.incarnation, self.sequence, claimed

    @property
    def is_claimed(self) -> bool:
        """Whether the state is a claim of other members."""
        return self.state >= MemberState.SUSPECTED


@attrs.frozen
class Ping:
    """Ask whether ``target`` answers; empty for the receiver itself."""

    target: str = ''


@attrs.frozen
class Pong:
    """The target of a ping answered."""

    host: str
    incarnation: int


@attrs.frozen
class Sync:
    """Exchange of versions and member records.

    Parameters
    ==========

    version : Version or None
        Version in force at the sender.
    buckets : tuple of int
        In a request, the hash of the member records of each bucket.  In an
        answer, the differing buckets whose records are all included.
    members : tuple of Member
        Records that the receiver may lack.
    """

    version: Version | None
    buckets: tuple[int, ...] = ()
    members: tuple[Member, ...] = ()


@attrs.frozen
class Announce:
    """A version is in force at the sender."""

    version: Version


@attrs.frozen
class Fetch:
    """Ask for a version; ``held`` is the digest of the value held, or b''."""

    wanted: Version
    held: bytes = b''


@attrs.frozen
class Content:
    """Answer to ``Fetch``.

    Parameters
    ==========

    version : Version or None
        None if the sender holds no such version.
    base : bytes
        Digest of the dictionary value, or b'' for a whole value.
    payload : bytes
        zstd frame.
    """

    version: Version | None
    base: bytes = b''
    payload: bytes = b''


@attrs.frozen
class Update:
    """Changed member records."""

    members: tuple[Member, ...]


@attrs.frozen
class Suspects:
    """Fingerprints of requests in flight when a backend server crashed.

    Parameters
    ==========

    service : str
    suspected, convicted, cleared : tuple of bytes
        Fingerprints.
    """

    service: str
    suspected: tuple[bytes, ...] = ()
    convicted: tuple[bytes, ...] = ()
    cleared: tuple[bytes, ...] = ()


@attrs.frozen
class Ack:
    """Receipt; ``wanted`` asks the sender for the announced value."""

    wanted: bool = False


Message = (
    Ping | Pong | Sync | Announce | Fetch | Content | Update | Suspects | Ack
)


class PeerTransport(Protocol):
    """Carries control messages to other daemons."""

    async def request(
        self,
        peer: str,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        """Send to ``address:port`` and return the answer.

        ``timeout`` is in seconds and covers connecting as well.
        """


class PeerHandler(Protocol):
    """Answers control messages of other daemons."""

    async def answer(self, sender: str, message: Message) -> Message | Refusal:
        """Return the answer; ``sender`` is the host of the peer."""
