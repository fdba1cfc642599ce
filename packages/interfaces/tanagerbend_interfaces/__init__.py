"""Narrow interfaces to the platform, backend servers, peers, randomness."""

import lazy_loader

# A module is loaded when one of its names is first used.
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
