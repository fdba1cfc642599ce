"""Control messages between daemons and the interface of their transport."""

import enum
from typing import Protocol

import attrs

from tanagerbend_model import Refusal, Version


class MemberState(enum.IntEnum):
    """State of a daemon and of the instance on its host."""

    STARTING = 1
    LIVE = 2
    DRAINING = 3
    # Claimed by other members; the daemon refutes both while it runs.
    SUSPECTED = 4
    GONE = 5


@attrs.frozen
class Member:
    """Membership record of a daemon.

    Explanation
    ===========

    Only the daemon itself increments the sequence of its record.  Another
    member that finds the daemon unreachable sets the state to ``SUSPECTED``
    and keeps the sequence.  The daemon refutes this with a higher sequence.

    Parameters
    ==========

    host, service, failure_domain, region : str
    incarnation : int
        Start time of the process in nanoseconds since the epoch.
    sequence : int
        Incremented by the daemon with each change of its record.
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
        """Sort key; the record with the greater key replaces the other."""
        claimed = self.state if self.is_suspected_or_gone else 0
        return self.incarnation, self.sequence, claimed

    @property
    def is_suspected_or_gone(self) -> bool:
        """Whether another member claims that it is suspected or gone."""
        return self.state >= MemberState.SUSPECTED


@attrs.frozen
class Ping:
    """Check whether ``target`` answers; empty for the receiver itself."""

    target: str = ''


@attrs.frozen
class Pong:
    """Answer to ``Ping``, with host and incarnation of the target."""

    host: str
    incarnation: int


@attrs.frozen
class Sync:
    """Exchange of configuration versions and member records.

    Parameters
    ==========

    version : Version or None
        Configuration version that the sender has adopted.
    buckets : tuple of int
        In a request, the hash of the member records of each bucket.  In an
        answer, the differing buckets whose records are all included.
    members : tuple of Member
        Records that the receiver may not have.
    """

    version: Version | None
    buckets: tuple[int, ...] = ()
    members: tuple[Member, ...] = ()


@attrs.frozen
class Announce:
    """Announcement of the configuration version that the sender adopted."""

    version: Version


@attrs.frozen
class Fetch:
    """Request for the content of a configuration version.

    Parameters
    ==========

    wanted : Version
    held : bytes
        Digest of the value that the sender holds, or b''.
    """

    wanted: Version
    held: bytes = b''


@attrs.frozen
class Content:
    """Answer to ``Fetch`` with the content of a version.

    Parameters
    ==========

    version : Version or None
        None if the sender does not hold the wanted version.
    base : bytes
        Digest of the value that is the compression dictionary, or b'' if
        the payload is compressed without one.
    payload : bytes
        Value as a zstd frame.
    """

    version: Version | None
    base: bytes = b''
    payload: bytes = b''


@attrs.frozen
class Update:
    """Member records that changed at the sender."""

    members: tuple[Member, ...]


@attrs.frozen
class Suspects:
    """Fingerprints of requests in flight when a backend server crashed.

    Parameters
    ==========

    service : str
    suspected, convicted, cleared : tuple of bytes
        Fingerprints of requests.
    """

    service: str
    suspected: tuple[bytes, ...] = ()
    convicted: tuple[bytes, ...] = ()
    cleared: tuple[bytes, ...] = ()


@attrs.frozen
class Ack:
    """Acknowledgement; ``wanted`` asks for the value that was announced."""

    wanted: bool = False


Message = (
    Ping | Pong | Sync | Announce | Fetch | Content | Update | Suspects | Ack
)


class PeerTransport(Protocol):
    """Sends control messages to other daemons."""

    async def request(
        self,
        peer: str,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        """Send a message to ``address:port`` and return the answer.

        ``timeout`` is in seconds and covers connecting as well.
        """


class PeerHandler(Protocol):
    """Answers control messages of other daemons."""

    async def answer(self, sender: str, message: Message) -> Message | Refusal:
        """Return the answer; ``sender`` identifies the peer's host."""
