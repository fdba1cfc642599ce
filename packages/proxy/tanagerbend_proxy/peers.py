"""Polls daemons of other hosts for changes."""

import math
import random
from typing import Final

import aiohttp

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal
from tanagerbend_proxy.changes import PollReply, PollRequest
from tanagerbend_proxy.daemon_settings import DaemonSettings
from tanagerbend_proxy.relaying import poll_peer
from tanagerbend_proxy.sources import MIN_RELAY_HOSTS, Source, Sources
from tanagerbend_routing import (
    InstanceRegistry,
    ListedInstance,
    RoutingConfiguration,
)

# An answer that takes longer is too old to be of use; other peers are polled
# long before.
POLL_TIMEOUT_SECONDS: Final = 2.0
# Time limit of connecting; further connection attempts start in parallel
# before it.
CONNECT_TIMEOUT_SECONDS: Final = 1.2


class Peers:
    """Daemons of other hosts as sources of changes.

    Parameters
    ==========

    settings : DaemonSettings
    sources : Sources
    session : aiohttp.ClientSession
    """

    def __init__(
        self,
        settings: DaemonSettings,
        sources: Sources,
        session: aiohttp.ClientSession,
    ) -> None:
        self.settings = settings
        self.sources = sources
        self.session = session
        self.source = ''
        self.uses_relay = False

    @property
    def link_speed(self) -> float:
        """Rate of this host's link in bytes per second, 0 if unknown."""
        rate = self.settings.link_bytes_per_second
        return rate if math.isfinite(rate) else 0.0

    def choose(self, registry: InstanceRegistry) -> Source | None:
        """Return the peer to poll, or None to read the service."""
        local = registry.near(self.settings.failure_domain)
        self.uses_relay = len(local) >= MIN_RELAY_HOSTS
        return self.sources.choose(local)

    def fallback_peers(
        self,
        registry: InstanceRegistry,
        rng: random.Random,
    ) -> list[ListedInstance]:
        """Return daemons to poll if the regular source fails."""
        return self.sources.fallback_peers(
            registry.working(),
            self.settings.failure_domain,
            rng,
        )

    def own_identity(self, registry: InstanceRegistry) -> str:
        """Return the identity of the instance on this host, else empty."""
        own = registry.at_address(self.settings.instance_address)
        return '' if own is None else own.identity

    async def ask(
        self,
        peer: ListedInstance,
        request: PollRequest,
        current: RoutingConfiguration | None,
    ) -> PollReply | Refusal:
        """Ask the daemon on the host of an instance for changes."""
        return await poll_peer(
            self.session,
            f'{peer.host_address}:{self.settings.peer_port}',
            request,
            current,
            POLL_TIMEOUT_SECONDS,
            CONNECT_TIMEOUT_SECONDS,
        )


def make_peers(
    settings: DaemonSettings,
    recorder: Recorder,
    session: aiohttp.ClientSession,
) -> Peers:
    """Return the peers of a daemon."""
    return Peers(
        settings, Sources(settings.instance_address, recorder), session
    )
