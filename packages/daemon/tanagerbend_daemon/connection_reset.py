"""Reset of a connection, which the peer can tell from an orderly close."""

import asyncio
import socket
import struct
from typing import Final

# SO_LINGER on with 0 s: closing discards unsent bytes and sends a reset.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


def reset_connection(transport: asyncio.Transport | None) -> None:
    """Reset a connection.

    For a caller that was sent no length, as in HTTP/1.0, an orderly close
    marks the end of the answer, so a truncated answer would look complete.
    """
    if transport is None:
        return
    connection = transport.get_extra_info('socket')
    if connection is not None:
        connection.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            RESET_ON_CLOSE,
        )
    transport.abort()
