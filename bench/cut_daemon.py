"""Runs a daemon with injected faults in its network to other daemons.

The real daemon's peer client and its client of other daemons' call
addresses are wrapped.  The faults come from a control file: hosts of
different groups do not reach each other, and a share of the requests is
delayed, sent twice, or loses its answer.
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

CONTROL_FILE_VARIABLE = 'BENCH_CUT_FILE'


class FaultyNetwork:
    """Faults between this daemon and the others, from the control file."""

    def __init__(self, own_address):
        self.control_file = pathlib.Path(os.environ[CONTROL_FILE_VARIABLE])
        self.own_address = own_address
        self.random = random.Random(f'{own_address}/{os.getpid()}')
        self.last_modified_ns = 0
        self.faults = {}

    def read_faults(self):
        """Return the faults; read the control file again if it has changed."""
        modified_ns = self.control_file.stat().st_mtime_ns
        if modified_ns != self.last_modified_ns:
            self.last_modified_ns = modified_ns
            self.faults = json.loads(self.control_file.read_text())
        return self.faults

    def is_partitioned_from(self, address):
        """Tell whether a partition separates this daemon from an address."""
        groups = self.read_faults()['groups']
        return groups.get(self.own_address) != groups.get(address)

    def draw_fault(self, name):
        """Draw from its probability whether a fault happens now."""
        return self.random.random() < self.read_faults()[name]


@attrs.define
class FaultyDaemonClient:
    """Client of another daemon's call address, with injected faults."""

    client: object
    address: str
    network: FaultyNetwork

    async def exchange(self, request, deadline):
        """Send a request, unless partitioned; delay, double or lose it."""
        if self.network.is_partitioned_from(self.address):
            # A partition drops packets, so the sender gets no error and waits.
            await asyncio.sleep(min(1.0, max(0.0, deadline - self._now())))
            reason = 'partitioned'
            return Refusal(ResultCode.INSTANCE_UNREACHABLE, reason)
        if self.network.draw_fault('delayed'):
            await asyncio.sleep(self.network.random.uniform(0.0, 0.5))
        if self.network.draw_fault('doubled') and isinstance(
            request.body, bytes
        ):
            duplicate = asyncio.create_task(
                self._send_duplicate(request, deadline)
            )
            DUPLICATE_TASKS.add(duplicate)
            duplicate.add_done_callback(DUPLICATE_TASKS.discard)
        response = await self.client.exchange(request, deadline)
        is_lost = self.network.draw_fault('lost')
        if is_lost or self.network.is_partitioned_from(self.address):
            match response:
                case Refusal():
                    return response
            await response.chunks.aclose()
            return Refusal(ResultCode.CONNECTION_LOST, 'lost', Ran.UNKNOWN)
        return response

    async def _send_duplicate(self, request, deadline):
        await asyncio.sleep(self.network.random.uniform(0.0, 1.0))
        response = await self.client.exchange(request, deadline)
        match response:
            case Refusal():
                return
        await response.chunks.aclose()

    def _now(self):
        return asyncio.get_running_loop().time()


DUPLICATE_TASKS = set()


def assemble_faulty(settings):
    """Assemble the daemon with faults in its clients of other daemons."""
    daemon = assemble(settings)
    network = FaultyNetwork(settings.addresses.calls)
    make_client = daemon.calls.client_for
    daemon.calls.client_for = lambda address: FaultyDaemonClient(
        make_client(address),
        address,
        network,
    )
    send = daemon.peer_client.request

    async def request(peer, message, timeout):
        member = next(
            (
                member
                for member in daemon.roster.members.values()
                if member.peer_address == peer
            ),
            None,
        )
        if member is not None and network.is_partitioned_from(
            member.call_address
        ):
            await asyncio.sleep(timeout)
            return Refusal(ResultCode.PEER_TIMEOUT, 'partitioned')
        return await send(peer, message, timeout)

    daemon.peer_client.request = request
    return daemon


if __name__ == '__main__':
    command.assemble = assemble_faulty
    sys.exit(command.run(pathlib.Path(sys.argv[1])))
