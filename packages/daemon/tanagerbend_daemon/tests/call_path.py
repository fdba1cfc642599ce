"""Test support: daemons in one process, over loopback or with fakes."""

import asyncio
import random

import attrs

from tanagerbend_admission import RankAdmission
from tanagerbend_daemon.call import Call
from tanagerbend_daemon.call_server import CallServer
from tanagerbend_daemon.entry import CallHandler
from tanagerbend_daemon.outbound import HttpServer, make_session
from tanagerbend_daemon.owner import Owner
from tanagerbend_interfaces import BackendResponse, Member, MemberState
from tanagerbend_membership import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_model import Accepted, Version, accept, headers
from tanagerbend_routing import Balancer, RouteTable
from tanagerbend_standins.raw_server import ClosingHandler
from tanagerbend_timer import SystemTimer

KEY = b'shared key of the tests'
SHEET = b"""service,work,rank,path,deadline_ms,order
artwork,plates,3,/plates,2000,
artwork,print,1,/print,2000,yes
artwork,rest,7,/,20000,
"""


def member(host, address='127.0.0.1:1', incarnation=1):
    """Return a live member of the service ``artwork``."""
    return Member(
        host=host,
        service='artwork',
        failure_domain='kingston',
        region='tas-south',
        incarnation=incarnation,
        sequence=1,
        state=MemberState.LIVE,
        call_address=address,
        peer_address=address,
    )


def route_table(*members):
    """Return the routes of ``SHEET`` to the members."""
    accepted = accept(SHEET)
    assert isinstance(accepted, Accepted), accepted
    return RouteTable.build(
        Version((), 1, b''),
        accepted.sheet,
        lambda service: members,
    )


async def chunks_of(*parts):
    """Yield the parts of a body."""
    for part in parts:
        yield part


@attrs.define
class FakeServer:
    """Backend server or daemon with scripted answers.

    `answers` are used in order, the last one repeatedly.  A callable is
    called with the request.
    """

    answers: list
    requests: list = attrs.field(factory=list)

    async def exchange(self, request, deadline):
        """Record the request and return the next answer."""
        self.requests.append(request)
        answers = self.answers
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        return answer(request) if callable(answer) else answer


def ok(*parts, status=200, pairs=()):
    """Return a function that makes an answer with the parts as its body."""
    return lambda request: BackendResponse(status, pairs, chunks_of(*parts))


def make_call(path='/plates', body=b'', **changes):
    """Return a call as received from a caller, with changed fields."""
    call = Call(
        service='artwork',
        method='GET',
        path=path,
        header_pairs=(),
        body=body,
        tenant='studio',
        rank=0,
        deadline=float('inf'),
        hops=0,
        request_id='id-1',
    )
    return attrs.evolve(call, **changes)


def make_handler(backend, host='host-1', timer=None, client_for=None, slots=6):
    """Return the call handler of the daemon of a backend server."""
    recorder = Recorder(timer or SystemTimer())
    owner = Owner(
        backend,
        RankAdmission(recorder, slots),
        Roster(member(host), recorder),
        recorder,
    )
    balancer = Balancer('kingston', random.Random(2), recorder)
    return CallHandler(host, KEY, owner, balancer, client_for, recorder)


class Loopback:
    """Daemons and raw servers on loopback."""

    def __init__(self):
        self.sessions = []
        self.servers = []
        self.handlers = []

    def session(self, connections=0):
        """Return a session that `close` closes."""
        self.sessions.append(make_session(connections))
        return self.sessions[-1]

    def http(self, address, session=None):
        """Return a client for an address."""
        session = session or self.session()
        return HttpServer(session, address, SystemTimer())

    async def daemon(self, host, backend_address, **options):
        """Start a daemon; return its handler and `address:port`."""
        peers = self.session()
        handler = make_handler(
            self.http(backend_address),
            host,
            client_for=lambda address: self.http(address, peers),
            **options,
        )
        server = CallServer(handler)
        self.servers.append(server)
        return handler, await server.start('127.0.0.1', 0)

    async def raw(self, serve):
        """Start a raw server; `serve(reader, writer)` per connection."""
        server = await asyncio.start_server(
            ClosingHandler(serve), '127.0.0.1', 0
        )
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def close(self):
        """Close all servers and sessions."""
        for server in self.servers:
            closed = server.close()
            if closed is not None:
                await closed
        for session in self.sessions:
            await session.close()


async def read_head(reader):
    """Read the request line and headers; return them as text."""
    return (await reader.readuntil(b'\r\n\r\n')).decode()


def plain(body=b'ok', head=''):
    """Return the bytes of an HTTP answer with a `Content-Length`."""
    text = f'HTTP/1.1 200 OK\r\n{head}Content-Length: {len(body)}\r\n\r\n'
    return text.encode() + body


def answering(answer, heads=None):
    """Return a `serve` function that sends `answer` to every request."""

    async def serve(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if heads is not None:
                    heads.append(head)
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    return serve


def ask(caller, url, path='/plates', method='GET', **options):
    """Send a call to a daemon."""
    sent_headers = {headers.SERVICE: 'artwork', **options.pop('headers', {})}
    return caller.request(method, url + path, headers=sent_headers, **options)
