"""Links of emulated hosts, in front of which the real turns are taken."""

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

# Bytes on a link for each byte of a body: packets of 1,460 bytes have
# headers of 40 more.
PACKET_FACTOR: Final = 1.0274


@attrs.define(eq=False)
class HostLink:
    """Way out of a host: what is written leaves in its order.

    Only the way out is bounded; a host gets few large answers at a time.

    Parameters
    ==========

    uplink : Uplink
        Decides when a part of a large answer is written.
    rate : float
        Bytes a second.
    free_at : float
        Monotonic seconds at which all has left that was written.
    carried : float
        Bytes that have been written.
    """

    uplink: Uplink
    rate: float
    free_at: float = 0.0
    carried: float = 0.0

    async def send(
        self,
        body: bytes,
        due: SendingLimits,
    ) -> None:
        """Return when an answer has left the host."""
        if self.rate == math.inf:
            return
        if self.uplink.send_now(len(body)):
            await asyncio.sleep(self.write(len(body) + HEADER_BYTES))
            return
        transfer = Transfer(self.uplink, due.rank, len(body), due)
        left_after = 0.0
        for part in split_body(body):
            await transfer.turn(len(part))
            left_after = self.write(len(part))
        await asyncio.sleep(left_after)

    def write(self, size: float) -> float:
        """Take bytes; return the seconds until they have left."""
        now = asyncio.get_running_loop().time()
        self.carried += size
        seconds = size * PACKET_FACTOR / self.rate
        self.free_at = max(self.free_at, now) + seconds
        return self.free_at - now

    async def close(self) -> None:
        """End the turns."""
        await self.uplink.close()
