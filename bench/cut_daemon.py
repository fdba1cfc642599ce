"""The daemon with a faulty network to other daemons.

The daemon is the real one.  Its two ways to other daemons, the peer
transport and the client of a daemon's call address, pass through a filter
that reads a control file: hosts of different groups do not reach each
other, and a share of the answers between daemons is lost, delayed, or
requested twice.
"""

import asyncio
import json
import os
import pathlib
import random
import sys

import attrs

from tanagerbend_daemon import command
from tanagerbend_daemon.assembly import assemble
from tanagerbend_model import Ran, Refusal, ResultCode

CONTROL = 'BENCH_CUT_FILE'


class Network:
    """Faults between this daemon and the others, from the control file."""

    def __init__(self, own_address):
        self.path = pathlib.Path(os.environ[CONTROL])
        self.own_address = own_address
        self.random = random.Random(f'{own_address}/{os.getpid()}')
        self.seen = 0
        self.faults = {}

    def read(self):
        """Return the faults, read again if the file has changed."""
        changed = self.path.stat().st_mtime_ns
        if changed != self.seen:
            self.seen = changed
            self.faults = json.loads(self.path.read_text())
        return self.faults

    def is_cut_from(self, address):
        """Tell whether a partition lies between."""
        groups = self.read()['groups']
        return groups.get(self.own_address) != groups.get(address)

    def happens(self, name):
        """Draw whether a fault happens now."""
        return self.random.random() < self.read()[name]


@attrs.define
class CutDaemon:
    """Client of another daemon, through the faulty network."""

    inner: object
    address: str
    network: Network

    async def exchange(self, request, deadline):
        """Send, unless cut off; lose, delay or double the request."""
        if self.network.is_cut_from(self.address):
            # A partition drops packets: the sender learns nothing.
            await asyncio.sleep(min(1.0, max(0.0, deadline - self._now())))
            reason = 'partitioned'
            return Refusal(ResultCode.INSTANCE_UNREACHABLE, reason)
        if self.network.happens('delayed'):
            await asyncio.sleep(self.network.random.uniform(0.0, 0.5))
        if self.network.happens('doubled') and isinstance(request.body, bytes):
            copy = asyncio.create_task(self._discard(request, deadline))
            BACKGROUND.add(copy)
            copy.add_done_callback(BACKGROUND.discard)
        response = await self.inner.exchange(request, deadline)
        is_lost = self.network.happens('lost')
        if is_lost or self.network.is_cut_from(self.address):
            match response:
                case Refusal():
                    return response
            await response.chunks.aclose()
            return Refusal(ResultCode.CONNECTION_LOST, 'lost', Ran.UNKNOWN)
        return response

    async def _discard(self, request, deadline):
        await asyncio.sleep(self.network.random.uniform(0.0, 1.0))
        response = await self.inner.exchange(request, deadline)
        match response:
            case Refusal():
                return
        await response.chunks.aclose()

    def _now(self):
        return asyncio.get_running_loop().time()


BACKGROUND = set()


def assemble_cut(settings):
    """Assemble the daemon with the faulty network in its ways out."""
    parts = assemble(settings)
    network = Network(settings.addresses.calls)
    make_client = parts.calls.client_for
    parts.calls.client_for = lambda address: CutDaemon(
        make_client(address),
        address,
        network,
    )
    send = parts.peer_client.request

    async def request(peer, message, timeout):
        member = next(
            (
                member
                for member in parts.roster.members.values()
                if member.peer_address == peer
            ),
            None,
        )
        if member is not None and network.is_cut_from(member.call_address):
            await asyncio.sleep(timeout)
            return Refusal(ResultCode.PEER_TIMEOUT, 'partitioned')
        return await send(peer, message, timeout)

    parts.peer_client.request = request
    return parts


if __name__ == '__main__':
    command.assemble = assemble_cut
    sys.exit(command.run(pathlib.Path(sys.argv[1])))
