"""Control messages between daemons over authenticated TCP."""

from tanagerbend_wire.client import PeerClient
from tanagerbend_wire.codec import decode, encode
from tanagerbend_wire.handshake import Identity
from tanagerbend_wire.server import PeerServer

__all__ = ('Identity', 'PeerClient', 'PeerServer', 'decode', 'encode')
