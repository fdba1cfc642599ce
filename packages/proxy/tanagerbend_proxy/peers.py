"""The daemons of the own failure domain as a source of changes."""

import random
from typing import Final

import aiohttp

from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal
from tanagerbend_proxy.changes import PollReply, PollRequest
from tanagerbend_proxy.relaying import poll_peer
from tanagerbend_proxy.sources import RELAY_FROM, Source, Sources
from tanagerbend_proxy.terms import Terms
from tanagerbend_routing import (
    InstanceRegistry,
    ListedInstance,
    RoutingConfiguration,
)

# After this time the answer of a peer is too old to be of use; others are
# asked long before.
PEER_SECONDS: Final = 2.0
# Connections are begun again beside the first meanwhile.
PEER_CONNECT_SECONDS: Final = 1.2


class Peers:
    """The daemons of the own failure domain as a source of changes.

    Parameters
    ==========

    terms : Terms
    sources : Sources
    session : aiohttp.ClientSession
    """

    def __init__(
        self,
        terms: Terms,
        sources: Sources,
        session: aiohttp.ClientSession,
    ) -> None:
        self.terms = terms
        self.sources = sources
        self.session = session
        self.source = ''
        self.is_asked = False

    def choose(self, registry: InstanceRegistry) -> Source | None:
        """Return who is asked, None to read the service."""
        near = registry.near(self.terms.failure_domain)
        self.is_asked = len(near) >= RELAY_FROM
        return self.sources.choose(near)

    def others(
        self,
        registry: InstanceRegistry,
        chance: random.Random,
    ) -> list[ListedInstance]:
        """Return daemons to ask where the usual source fails."""
        return self.sources.others(
            registry.working(),
            self.terms.failure_domain,
            chance,
        )

    def own_identity(self, registry: InstanceRegistry) -> str:
        """Return the identity of the instance on this host, or nothing."""
        own = registry.at_address(self.terms.instance_address)
        return '' if own is None else own.identity

    async def ask(
        self,
        peer: ListedInstance,
        request: PollRequest,
        known: RoutingConfiguration | None,
    ) -> PollReply | Refusal:
        """Ask the daemon beside an instance for changes."""
        return await poll_peer(
            self.session,
            f'{peer.host_address}:{self.terms.peer_port}',
            request,
            known,
            PEER_SECONDS,
            PEER_CONNECT_SECONDS,
        )


def make_peers(
    terms: Terms,
    recorder: Recorder,
    session: aiohttp.ClientSession,
) -> Peers:
    """Return the peers of a daemon."""
    return Peers(terms, Sources(terms.instance_address, recorder), session)
