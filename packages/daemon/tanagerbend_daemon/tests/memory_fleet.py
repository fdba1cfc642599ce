"""The order handling of a fleet in one process, on a manual timer."""

import asyncio
import collections

import attrs

from tanagerbend_admission import FifoAdmission
from tanagerbend_daemon.call import Call, read_limits
from tanagerbend_daemon.containment import GuardedBackend, QuarantineOwner
from tanagerbend_daemon.entry import CallHandler
from tanagerbend_daemon.order_answers import (
    order_headers,
    read_complete_answer,
    single_chunk,
)
from tanagerbend_daemon.order_hop import HttpOrderHop
from tanagerbend_daemon.order_owner import OrderGate, OrderOwner
from tanagerbend_daemon.order_path import OrderPath
from tanagerbend_daemon.suspect_notices import SuspectNotices
from tanagerbend_interfaces import (
    Ack,
    BackendResponse,
    Member,
    MemberState,
)
from tanagerbend_membership import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_model import (
    Ran,
    Refusal,
    ResultCode,
    Version,
    accept,
    headers,
)
from tanagerbend_orders import Ledger, OrderKeyIssuer
from tanagerbend_quarantine import ProcessState, Quarantine
from tanagerbend_routing import Balancer, RouteTable

SHEET = b'service,work,rank,method,path,order\nprint,run,1,POST,/print,yes\n'
LOST = Refusal(ResultCode.CONNECTION_LOST, 'lost', Ran.UNKNOWN)


def address_of(host):
    """Return the address of ``host-N``."""
    return f'127.0.0.1:{9000 + int(host[5:])}'


def host_at(address):
    """Return the host at an address."""
    return f'host-{int(address[10:]) - 9000}'


@attrs.define
class FakeBackend:
    """Backend server that counts what it runs."""

    fleet: 'MemoryFleet'
    seconds: float = 0.1
    answers: bool = True

    async def exchange(self, request, deadline):
        """Run a request; ``deadline`` must not have passed."""
        key = dict(request.headers).get(headers.ORDER_KEY, request.path)
        self.fleet.runs[key] += 1
        self.fleet.starts.append((key, self.fleet.timer.now()))
        await self.fleet.timer.sleep(self.seconds)
        if not self.answers:
            return LOST
        return BackendResponse(200, (), single_chunk(b'ran ' + request.body))

    def close_idle_connections(self):
        """Do nothing: it keeps no connections."""


@attrs.define
class FakeDaemon:
    """Client of a daemon over a network with injected faults."""

    fleet: 'MemoryFleet'
    sender: str
    host: str

    async def exchange(self, request, deadline):
        """Deliver a request never, once or twice; answers may be lost."""
        if self.fleet.is_cut(self.sender, self.host):
            await self.fleet.timer.sleep(deadline - self.fleet.timer.now())
            return LOST
        fault = self.fleet.draw_fault()
        if fault == 'late copy':
            self.fleet.deliver_later(self._deliver(request))
        delay = 0.4 if fault == 'delayed' else 0.001
        await self.fleet.timer.sleep(delay)
        response = await self._deliver(request)
        if fault == 'lost' or self.fleet.is_cut(self.sender, self.host):
            return LOST
        if fault == 'crossed':
            crossed = (headers.REQUEST_ID, 'another')
            return attrs.evolve(response, headers=(crossed,))
        return response

    async def _deliver(self, request):
        received = dict(request.headers)
        node = self.fleet.nodes[self.host]
        limits = read_limits(received, self.fleet.timer.now())
        call = Call(
            received[headers.SERVICE],
            request.method,
            request.path,
            tuple(
                pair for pair in request.headers if pair[0] == headers.ORDER_KEY
            ),
            request.body,
            limits.tenant,
            limits.rank,
            limits.deadline,
            limits.hops,
            received[headers.REQUEST_ID],
            received.get(headers.ORDER_KEY, ''),
            received[headers.INSTANCE],
        )
        return await _as_response(call, await node.path.handle(call))


async def _as_response(call, outcome):
    pairs = {headers.REQUEST_ID: call.request_id}
    match outcome:
        case Refusal(code=code, ran=ran):
            pairs |= {headers.RESULT: str(int(code)), headers.RAN: ran.value}
            pairs |= order_headers(outcome)
            return BackendResponse(
                503, tuple(pairs.items()), single_chunk(b'{}')
            )
    held = await read_complete_answer(outcome)
    pairs |= {headers.RESULT: '0', headers.RAN: 'yes'}
    return BackendResponse(
        held.status, tuple(pairs.items()), single_chunk(held.body)
    )


class NoPeers:
    """Peer transport without peers."""

    async def request(self, peer, message, timeout):
        """Acknowledge every message."""
        return Ack()


class WatchedProcess:
    """Process of a backend server, without a socket."""

    def __init__(self, timer):
        self.timer = timer
        self.has_ended = asyncio.Event()

    def end(self):
        """End the process."""
        self.has_ended.set()

    async def wait(self, seconds):
        """Wait until the process ends or some seconds have passed."""
        waits = [
            asyncio.ensure_future(self.has_ended.wait()),
            asyncio.ensure_future(self.timer.sleep(seconds)),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for each in waits:
                each.cancel()
        if self.has_ended.is_set():
            return ProcessState.UNKNOWN
        return ProcessState.RUNNING

    async def is_down(self):
        """Return whether the process has ended."""
        return self.has_ended.is_set()

    def close(self):
        """Close no connection."""


class MemoryNode:
    """The parts of one daemon that handle orders."""

    def __init__(self, fleet, own, slots):
        self.recorder = Recorder(fleet.timer)
        self.roster = Roster(own, self.recorder)
        self.backend = FakeBackend(fleet)
        gate = OrderGate(
            self.backend,
            Ledger(self.recorder),
            OrderKeyIssuer(b'shared key of a fleet', fleet.timer),
        )
        quarantine = Quarantine(self.recorder)
        notices = SuspectNotices(quarantine, self.roster, NoPeers())
        owner = QuarantineOwner(
            GuardedBackend(
                gate,
                own.service,
                quarantine,
                notices,
                close_idle_connections=self.backend.close_idle_connections,
                process=WatchedProcess(fleet.timer),
            ),
            FifoAdmission(fleet.timer, slots),
            self.roster,
            self.recorder,
            quarantine=quarantine,
        )
        calls = CallHandler(
            own.host,
            b'shared key of a fleet',
            owner,
            Balancer(own.failure_domain, fleet.random, self.recorder),
            lambda address: FakeDaemon(fleet, own.host, host_at(address)),
            self.recorder,
        )
        self.ledger = gate.ledger
        self.path = OrderPath(
            calls,
            OrderOwner(own, gate.ledger, calls.handle, self.recorder),
            gate.issuer,
            HttpOrderHop(calls),
            self.roster,
            self.recorder,
        )

    def adopt_members(self, members):
        """Merge member records and rebuild the routes."""
        self.roster.merge(members)
        sheet = accept(SHEET).sheet
        version = Version((), 1, b'')
        self.path.calls.table = RouteTable.build(
            version,
            sheet,
            self.roster.instances,
        )


class MemoryFleet:
    """Nodes, the network between them, and how often each order ran."""

    def __init__(self, timer, random, hosts=3, slots=2):
        self.timer = timer
        self.random = random
        self.slots = slots
        self.runs = collections.Counter()
        self.starts = []
        self.nodes = {}
        self.members = {}
        self.sides = {}
        self.faults = []
        self.tasks = []
        for number in range(hosts):
            self.start(f'host-{number}', 1)
        self.gossip()

    def start(self, host, incarnation):
        """Start the daemon of a host; a running one is killed first."""
        old = self.nodes.pop(host, None)
        if old is not None:
            for task in list(old.path.owner.running.values()):
                task.cancel()
        own = Member(
            host,
            'print',
            'domain',
            'region',
            incarnation,
            1,
            MemberState.LIVE,
            address_of(host),
            address_of(host),
        )
        self.members[host] = own
        self.nodes[host] = MemoryNode(self, own, self.slots)

    def gossip(self):
        """Give every node the members on its side of a partition."""
        for host, node in self.nodes.items():
            node.adopt_members(
                member
                for member in self.members.values()
                if not self.is_cut(host, member.host)
            )

    def is_cut(self, sender, receiver):
        """Return whether a partition separates two hosts."""
        return self.sides.get(sender) != self.sides.get(receiver)

    def draw_fault(self):
        """Return the fault of one exchange, or an empty string."""
        return self.random.choice([*self.faults, ''])

    def deliver_later(self, delivery):
        """Deliver a copy of a request after a random delay."""

        async def wait():
            await self.timer.sleep(self.random.uniform(0.0, 8.0))
            await delivery

        self.tasks.append(asyncio.ensure_future(wait()))

    def call(self, host, key='', body=b'one', method='POST', path='/print'):
        """Return an awaitable of the outcome of one call."""
        call = Call(
            'print',
            method,
            path,
            ((headers.ORDER_KEY, key),) if key else (),
            body,
            'tenant',
            0,
            float('inf'),
            0,
            f'{self.random.random()}',
            key,
        )
        return self.nodes[host].path.handle(call)

    async def run(self, *work):
        """Advance the timer until all work is done; return the results."""
        gathered = asyncio.gather(*work)
        while not gathered.done():
            await self.timer.advance(0.05)
        return gathered.result()
