"""Interfaces to the platform, backend servers, peers and random numbers."""

import lazy_loader

# Submodules are imported lazily, on the first use of one of their names.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        'backend': ('BackendRequest', 'BackendResponse', 'BackendServer'),
        'peers': (
            'Ack',
            'Announce',
            'Content',
            'Fetch',
            'Member',
            'MemberState',
            'Message',
            'PeerHandler',
            'PeerTransport',
            'Ping',
            'Pong',
            'Suspects',
            'Sync',
            'Update',
        ),
        'platform': (
            'ConfigurationService',
            'Host',
            'HostList',
            'HostListing',
            'Published',
            'Unchanged',
        ),
        'randomness': ('Randomness',),
    },
)
