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
        Given by the service; higher is newer unless it was restored.
    content : bytes
        At most 1 MiB.
    """

    key: str
    revision: int
    content: bytes


@attrs.frozen
class Unchanged:
    """A watch ended without a new revision, or the key is absent."""

    key: str


class ConfigurationService(Protocol):
    """The platform's read-only store; each call counts against its rate."""

    async def read(self, key: str) -> Published | Unchanged | Refusal:
        """Return the value now held."""

    async def watch(
        self,
        key: str,
        after: int,
        wait: float,
    ) -> Published | Unchanged | Refusal:
        """Wait up to ``wait`` seconds for a revision other than ``after``."""


@attrs.frozen
class Host:
    """One backend server host of the host list.

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
    """Content of the host list; it lags behind the truth."""

    revision: int
    hosts: tuple[Host, ...]


class HostList(Protocol):
    """The platform's list of live and leaving hosts."""

    async def read(self) -> HostListing | Refusal:
        """Return the list now held."""

    async def watch(
        self,
        after: int,
        wait: float,
    ) -> HostListing | Unchanged | Refusal:
        """Wait up to ``wait`` seconds for a revision other than ``after``."""
