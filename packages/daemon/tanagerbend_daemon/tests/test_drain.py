"""Reasons to drain, hints of readers, and notices about suspects."""

import asyncio
import random

import pytest

from tanagerbend_daemon.drain import Drain
from tanagerbend_daemon.leaving import LeavingHints, LeavingWatch
from tanagerbend_daemon.order_answers import whole
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
    """Peer transport that records messages and answers after a time."""

    def __init__(self, timer, seconds=0.0):
        self.timer = timer
        self.seconds = seconds
        self.sent = []

    async def request(self, peer, message, timeout):
        """Record a message."""
        self.sent.append((peer, message))
        await asyncio.sleep(self.seconds)
        return Ack()


class Probe:
    """Readiness of a backend server."""

    status = 200

    async def exchange(self, request, deadline):
        """Answer a probe."""
        return BackendResponse(self.status, (), whole(b''))


@pytest.fixture
def fleet():
    return MemoryFleet(ManualTimer(), random.Random(1))


def drain_of(node, seconds=10.0):
    async def announce(state):
        node.roster.set_own_state(state)

    return Drain(
        node.path,
        node.roster,
        announce,
        node.path.owner.end_unsent,
        lambda sender: None,
        seconds,
    )


def listing_of(fleet, leaving):
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
    """Guards against a leaving host that reads the list minutes later."""
    reader, host = fleet.nodes['host-0'], fleet.nodes['host-1']
    peers = Peers(fleet.timer)
    reader.roster.observe_host_list(listing_of(fleet, 'host-1'))
    telling = LeavingHints(reader.roster, peers)
    await telling.tell()
    await telling.tell()
    ((_, update),) = peers.sent
    hints = LeavingHints(host.roster, peers)
    drain = drain_of(host)
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
    hints.take(update.members)
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
    """Guards against a drain that an operator cannot end."""
    node = fleet.nodes['host-0']
    hints = LeavingHints(node.roster, Peers(fleet.timer))
    drain = drain_of(node)
    await drain.drain('operator')
    hints.take((node.roster.own,))
    assert not hints.is_leaving


async def test_operator_does_not_end_the_drain_of_a_leaving_host(fleet):
    """Guards against new work for a leaving backend server."""
    drain = drain_of(fleet.nodes['host-0'])
    await drain.drain('host list')
    await drain.drain('operator')
    await drain.undrain('operator')
    assert fleet.nodes['host-0'].roster.own.state is MemberState.DRAINING


async def test_stop_voids_orders_that_wait(fleet):
    """Guards against a false "not run", or none, at the end of a drain."""
    node = fleet.nodes['host-0']
    node.backend.seconds = 3.5
    drain = drain_of(node, seconds=2.0)
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


async def test_suspects_are_told_before_the_answer_but_not_for_long(fleet):
    """Guards against a caller whose next daemon does not know, or who waits."""
    node = fleet.nodes['host-0']
    quick, silent = Peers(fleet.timer), Peers(fleet.timer, seconds=3600.0)
    for peers in (quick, silent):
        notices = SuspectNotices(
            Quarantine(node.recorder),
            node.roster,
            peers,
        )
        notices.send(Notice(suspected=(b'a',)))
        await notices.delivered()
        assert len(peers.sent) == 2
    for task in notices.tasks:
        task.cancel()


async def test_restarted_daemon_learns_of_convictions(fleet):
    """Guards against a third crash at a daemon with an empty memory."""
    node = fleet.nodes['host-0']
    peers = Peers(fleet.timer)
    notices = SuspectNotices(Quarantine(node.recorder), node.roster, peers)
    notices.quarantine.merge(Notice(convicted=(b'a',)))
    fleet.start('host-1', 2)
    fleet.gossip()
    await notices.delivered()
    message = Suspects('print', convicted=(b'a',))
    assert (fleet.members['host-1'].peer_address, message) in peers.sent
    started = SuspectNotices(
        Quarantine(node.recorder),
        fleet.nodes['host-1'].roster,
        peers,
    )
    started.take(message)
    assert started.quarantine.verdict(b'a') is Verdict.CONVICTED
