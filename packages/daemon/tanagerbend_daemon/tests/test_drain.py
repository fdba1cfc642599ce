"""Reasons to drain, hints that a host is leaving, notices of suspects."""

import asyncio
import random

import pytest

from tanagerbend_daemon.drain import Drain
from tanagerbend_daemon.leaving import LeavingHints, LeavingWatch
from tanagerbend_daemon.order_answers import single_chunk
from tanagerbend_daemon.suspect_notices import SuspectNotices
from tanagerbend_daemon.tests.memory_fleet import MemoryFleet
from tanagerbend_interfaces import (
    Ack,
    BackendResponse,
    Host,
    HostListing,
    MemberState,
    Suspects,
)
from tanagerbend_model import Ran, ResultCode
from tanagerbend_quarantine import Notice, Quarantine, Verdict
from tanagerbend_timer import ManualTimer


class Peers:
    """Peer transport that records messages and answers after a delay."""

    def __init__(self, timer, seconds=0.0):
        self.timer = timer
        self.seconds = seconds
        self.sent = []

    async def request(self, peer, message, timeout):
        """Record a message and acknowledge it after the delay."""
        self.sent.append((peer, message))
        await asyncio.sleep(self.seconds)
        return Ack()


class Probe:
    """Backend server that answers readiness probes with `status`."""

    status = 200

    async def exchange(self, request, deadline):
        """Answer a probe."""
        return BackendResponse(self.status, (), single_chunk(b''))


@pytest.fixture
def fleet():
    return MemoryFleet(ManualTimer(), random.Random(1))


def make_drain(node, seconds=10.0):
    async def announce(state):
        node.roster.set_own_state(state)

    return Drain(
        node.path,
        node.roster,
        announce,
        node.path.owner.cancel_unsent,
        lambda sender: None,
        seconds,
    )


def make_listing(fleet, leaving):
    return HostListing(
        1,
        tuple(
            Host(
                member.host,
                'print',
                'domain',
                'region',
                member.call_address,
                member.peer_address,
                member.host == leaving,
            )
            for member in fleet.members.values()
        ),
    )


async def test_reader_tells_a_host_that_it_is_leaving(fleet):
    """Guards against a host that drains only once it polls the host list."""
    reader, host = fleet.nodes['host-0'], fleet.nodes['host-1']
    peers = Peers(fleet.timer)
    reader.roster.observe_host_list(make_listing(fleet, 'host-1'))
    reader_hints = LeavingHints(reader.roster, peers)
    await reader_hints.send_hints()
    await reader_hints.send_hints()
    ((_, update),) = peers.sent
    hints = LeavingHints(host.roster, peers)
    drain = make_drain(host)
    probe = Probe()
    watch = LeavingWatch(
        drain,
        host.roster,
        probe,
        hints,
        lambda: False,
        '/ready',
    )
    await watch.check()
    assert host.roster.own.state is MemberState.LIVE
    hints.receive(update.members)
    probe.status = 503
    await watch.check()
    assert drain.reasons == {'host list', 'readiness'}
    assert host.roster.own.state is MemberState.DRAINING
    await fleet.timer.advance(60.0)
    await watch.check()
    assert host.roster.own.state is MemberState.DRAINING
    probe.status = 200
    await watch.check()
    assert host.roster.own.state is MemberState.LIVE


async def test_echo_of_an_own_announcement_is_no_hint(fleet):
    """Guards against a drain that the operator's undrain does not end."""
    node = fleet.nodes['host-0']
    hints = LeavingHints(node.roster, Peers(fleet.timer))
    drain = make_drain(node)
    await drain.drain('operator')
    hints.receive((node.roster.own,))
    assert not hints.is_leaving


async def test_operator_does_not_end_the_drain_of_a_leaving_host(fleet):
    """Guards against new work for a leaving host after an undrain."""
    drain = make_drain(fleet.nodes['host-0'])
    await drain.drain('host list')
    await drain.drain('operator')
    await drain.undrain('operator')
    assert fleet.nodes['host-0'].roster.own.state is MemberState.DRAINING


async def test_stop_voids_orders_that_wait(fleet):
    """Guards against a wrong or missing "not run" at the end of a drain."""
    node = fleet.nodes['host-0']
    node.backend.seconds = 3.5
    drain = make_drain(node, seconds=2.0)
    node.path.calls.owner.admission.max_waiting = 10
    issued = [
        node.path.issuer.issue('print', 'host-0', 1).token for _ in range(4)
    ]
    calls = [asyncio.ensure_future(fleet.call('host-0', key)) for key in issued]
    await fleet.timer.advance(0.1)
    stopping = asyncio.ensure_future(
        drain.stop(lambda: all(call.done() for call in calls)),
    )
    await fleet.run(stopping, *calls)
    refusals = [call.result() for call in calls[2:]]
    assert [refusal.ran for refusal in refusals] == [Ran.NO, Ran.NO]
    assert [fleet.runs[key] for key in issued] == [1, 1, 0, 0]
    assert (
        node.ledger.status(
            node.path.issuer.read(issued[3]),
        ).code
        is ResultCode.ORDER_KEY_VOID
    )


async def test_answer_waits_for_notices_of_suspects_within_a_limit(fleet):
    """Guards against a retry before the notice, and against long waits."""
    node = fleet.nodes['host-0']
    quick, silent = Peers(fleet.timer), Peers(fleet.timer, seconds=3600.0)
    for peers in (quick, silent):
        notices = SuspectNotices(
            Quarantine(node.recorder),
            node.roster,
            peers,
        )
        notices.send(Notice(suspected=(b'a',)))
        await notices.wait_delivered()
        assert len(peers.sent) == 2
    for task in notices.tasks:
        task.cancel()


async def test_restarted_daemon_learns_of_convictions(fleet):
    """Guards against a third crash at a daemon that has lost its state."""
    node = fleet.nodes['host-0']
    peers = Peers(fleet.timer)
    notices = SuspectNotices(Quarantine(node.recorder), node.roster, peers)
    notices.quarantine.merge(Notice(convicted=(b'a',)))
    fleet.start('host-1', 2)
    fleet.gossip()
    await notices.wait_delivered()
    message = Suspects('print', convicted=(b'a',))
    assert (fleet.members['host-1'].peer_address, message) in peers.sent
    started = SuspectNotices(
        Quarantine(node.recorder),
        fleet.nodes['host-1'].roster,
        peers,
    )
    started.receive(message)
    assert started.quarantine.verdict(b'a') is Verdict.CONVICTED
