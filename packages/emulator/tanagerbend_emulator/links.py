"""Outgoing links of emulated hosts, scheduled by the real uplink code."""

import asyncio
import math
from typing import Final

import attrs

from tanagerbend_proxy.uplink import (
    HEADER_BYTES,
    SendingLimits,
    Transfer,
    Uplink,
    split_body,
)

# Bytes on the link per byte of a body: a packet carries 1,460 bytes of
# payload and 40 bytes of headers.
PACKET_FACTOR: Final = 1.0274


@attrs.define(eq=False)
class HostLink:
    """Outgoing link of a host, which sends bytes in the order written.

    The incoming direction is not limited, because a host receives few
    large answers at a time.

    Parameters
    ==========

    uplink : Uplink
        Schedules the parts of large answers.
    rate : float
        Capacity in bytes per second.
    free_at : float
        Loop time in seconds at which all written bytes have been sent.
    bytes_sent : float
        Bytes written so far, without packet overhead.
    """

    uplink: Uplink
    rate: float
    free_at: float = 0.0
    bytes_sent: float = 0.0

    async def send(
        self,
        body: bytes,
        limits: SendingLimits,
    ) -> None:
        """Send an answer; return once its last byte has been sent."""
        if self.rate == math.inf:
            return
        if self.uplink.send_now(len(body)):
            await asyncio.sleep(self.write(len(body) + HEADER_BYTES))
            return
        transfer = Transfer(self.uplink, limits.rank, len(body), limits)
        seconds_until_sent = 0.0
        for part in split_body(body):
            await transfer.turn(len(part))
            seconds_until_sent = self.write(len(part))
        await asyncio.sleep(seconds_until_sent)

    def write(self, size: float) -> float:
        """Write bytes; return the seconds until they have been sent."""
        now = asyncio.get_running_loop().time()
        self.bytes_sent += size
        seconds = size * PACKET_FACTOR / self.rate
        self.free_at = max(self.free_at, now) + seconds
        return self.free_at - now

    async def close(self) -> None:
        """Stop scheduling answers on the link."""
        await self.uplink.close()
