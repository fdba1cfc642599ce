"""Narrow interfaces to the platform, backend servers, peers, randomness."""

from tanagerbend_interfaces.backend import (
    BackendRequest,
    BackendResponse,
    BackendServer,
)
from tanagerbend_interfaces.peers import (
    Ack,
    Announce,
    Content,
    Fetch,
    Member,
    MemberState,
    Message,
    PeerHandler,
    PeerTransport,
    Ping,
    Pong,
    Suspects,
    Sync,
    Update,
)
from tanagerbend_interfaces.platform import (
    ConfigurationService,
    Host,
    HostList,
    HostListing,
    Published,
    Unchanged,
)
from tanagerbend_interfaces.randomness import Randomness

__all__ = (
    'Ack',
    'Announce',
    'BackendRequest',
    'BackendResponse',
    'BackendServer',
    'ConfigurationService',
    'Content',
    'Fetch',
    'Host',
    'HostList',
    'HostListing',
    'Member',
    'MemberState',
    'Message',
    'PeerHandler',
    'PeerTransport',
    'Ping',
    'Pong',
    'Published',
    'Randomness',
    'Suspects',
    'Sync',
    'Unchanged',
    'Update',
)
