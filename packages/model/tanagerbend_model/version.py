"""Configuration versions and their order."""

import hashlib
from typing import Final

import attrs

SHORT_DIGEST_DIGITS: Final = 12


def digest_of(content: bytes) -> bytes:
    """Return the SHA-256 digest, 32 bytes, that identifies a value."""
    return hashlib.sha256(content).digest()


def short_digest(digest: bytes) -> str:
    """Return an abbreviated digest for logs and reports."""
    return digest.hex()[:SHORT_DIGEST_DIGITS]


@attrs.frozen(order=False)
class Version:
    """Position of a published value in the order of versions.

    Explanation
    ===========

    Versions are ordered by edition, then by the revision of the
    configuration service.  The edition comes first because a service
    that was restored to an older revision would otherwise block every
    later sheet until its revision has caught up.

    Examples
    ========

    >>> old = Version((2026, 12, 3, 0), 90, digest_of(b'a'))
    >>> new = Version((2026, 12, 4, 0), 7, digest_of(b'b'))
    >>> new.is_newer_than(old)
    True
    >>> new.conflicts_with(Version((2026, 12, 4, 0), 7, digest_of(b'c')))
    True

    Parameters
    ==========

    edition : tuple of int
        Year, month, day and serial number; empty if the sheet has none.
    revision : int
        Revision given by the configuration service.
    digest : bytes
        SHA-256 of the value.
    """

    edition: tuple[int, ...]
    revision: int
    digest: bytes

    @property
    def position(self) -> tuple[tuple[int, ...], int]:
        """Sort key of the version."""
        return self.edition, self.revision

    def is_newer_than(self, other: 'Version') -> bool:
        """Return whether this version replaces the other one."""
        return self.position > other.position

    def conflicts_with(self, other: 'Version') -> bool:
        """Return whether both have the same position but different content."""
        return self.position == other.position and self.digest != other.digest

    def __str__(self) -> str:
        edition = '.'.join(str(part) for part in self.edition) or '-'
        return f'{edition}/{self.revision}/{short_digest(self.digest)}'
