"""Interfaces to the configuration service and the host list."""

from typing import Protocol

import attrs

from tanagerbend_model import Refusal


@attrs.frozen
class Published:
    """A value of the configuration service.

    Parameters
    ==========

    key : str
    revision : int
        Assigned by the service; a higher revision is newer, unless the
        service was restored in between.
    content : bytes
        At most 1 MiB.
    """

    key: str
    revision: int
    content: bytes


@attrs.frozen
class Unchanged:
    """No new revision appeared during a watch, or the key does not exist."""

    key: str


class ConfigurationService(Protocol):
    """The platform's read-only store; each call counts for its rate limit."""

    async def read(self, key: str) -> Published | Unchanged | Refusal:
        """Return the current value."""

    async def watch(
        self,
        key: str,
        after: int,
        wait: float,
    ) -> Published | Unchanged | Refusal:
        """Wait up to ``wait`` seconds for a revision other than ``after``."""


@attrs.frozen
class Host:
    """Entry of the host list: a host that runs a backend server.

    Parameters
    ==========

    host : str
        Identifier of the host.
    service : str
    failure_domain : str
    region : str
    call_address, peer_address : str
        ``address:port`` of the daemon for calls and for control messages.
    leaving : bool
        Whether the platform lists the host as leaving.
    """

    host: str
    service: str
    failure_domain: str
    region: str
    call_address: str
    peer_address: str
    leaving: bool = False


@attrs.frozen
class HostListing:
    """Content of the host list, which lags behind the actual hosts."""

    revision: int
    hosts: tuple[Host, ...]


class HostList(Protocol):
    """The platform's list of live and leaving hosts."""

    async def read(self) -> HostListing | Refusal:
        """Return the current list."""

    async def watch(
        self,
        after: int,
        wait: float,
    ) -> HostListing | Unchanged | Refusal:
        """Wait up to ``wait`` seconds for a revision other than ``after``."""
