"""Cutting a connection so that the other side notices."""

import asyncio
import socket
import struct
from typing import Final

# Close at once and reset, without waiting for unsent bytes.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


def cut(transport: asyncio.Transport | None) -> None:
    """Reset a connection.

    An orderly end would look like the end of the answer to a caller that
    was given no length, as in HTTP/1.0.
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
