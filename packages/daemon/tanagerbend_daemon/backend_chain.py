"""Construction of the order ledger, quarantine and drain of a daemon."""

import aiohttp
import attrs

from tanagerbend_daemon.containment import GuardedBackend
from tanagerbend_daemon.drain import Drain
from tanagerbend_daemon.entry import CallHandler
from tanagerbend_daemon.leaving import LeavingHints
from tanagerbend_daemon.order_hop import HttpOrderHop
from tanagerbend_daemon.order_owner import OrderGate, OrderOwner
from tanagerbend_daemon.order_path import OrderPath
from tanagerbend_daemon.outbound import HttpServer
from tanagerbend_daemon.process_connection import ProcessConnection
from tanagerbend_daemon.repeated_orders import RepeatedOrderCounter
from tanagerbend_daemon.stalls import StallDetector
from tanagerbend_daemon.suspect_notices import SuspectNotices
from tanagerbend_interfaces import PeerTransport
from tanagerbend_membership import Detector, Roster
from tanagerbend_orders import Ledger, LedgerLimits, OrderKeyIssuer
from tanagerbend_quarantine import Quarantine
from tanagerbend_settings import Settings


@attrs.frozen
class BackendChain:
    """Components that a call passes between admission and backend server.

    Parameters
    ==========

    gate : OrderGate
        Wraps the client of the backend server.
    notices : SuspectNotices
    backend : GuardedBackend
        Wraps the gate.
    hints : LeavingHints
    """

    gate: OrderGate
    notices: SuspectNotices
    backend: GuardedBackend
    hints: LeavingHints

    @property
    def quarantine(self) -> Quarantine:
        """Suspects and convictions of this daemon."""
        return self.notices.quarantine


def build_backend_chain(
    settings: Settings,
    session: aiohttp.ClientSession,
    roster: Roster,
    transport: PeerTransport,
) -> BackendChain:
    """Build the components between admission and the backend server."""
    recorder = roster.recorder
    server = HttpServer(session, settings.addresses.backend, recorder.timer)
    limits = settings.orders
    issuer = OrderKeyIssuer(
        settings.peers.shared_key.encode(),
        recorder.timer,
        limits.key_seconds,
    )
    ledger_limits = LedgerLimits(
        limits.records,
        limits.voids,
        limits.answer_bytes,
        limits.body_bytes,
    )
    gate = OrderGate(
        RepeatedOrderCounter(server, issuer, recorder),
        Ledger(recorder, ledger_limits),
        issuer,
    )
    quarantine = Quarantine(recorder)
    notices = SuspectNotices(quarantine, roster, transport)
    guarded = GuardedBackend(
        gate,
        settings.host.service,
        quarantine,
        notices,
        server.close_idle_connections,
        ProcessConnection(settings.addresses.backend, recorder),
    )
    hints = LeavingHints(roster, transport)
    return BackendChain(gate, notices, guarded, hints)


def make_orders(
    calls: CallHandler, backend_chain: BackendChain, roster: Roster
) -> OrderPath:
    """Build the path of orders, which forwards to the call handler."""
    gate = backend_chain.gate
    calls.owner.forward = calls.forward
    owner = OrderOwner(
        roster.own,
        gate.ledger,
        calls.handle,
        roster.recorder,
    )
    roster.listeners.append(owner.update_own)
    return OrderPath(
        calls,
        owner,
        gate.issuer,
        HttpOrderHop(calls),
        roster,
        roster.recorder,
        StallDetector(roster.timer),
    )


def make_drain(
    settings: Settings,
    orders: OrderPath,
    detector: Detector,
) -> Drain:
    """Build the drain, which forwards calls to the path of orders."""
    return Drain(
        orders,
        detector.roster,
        detector.notifier.announce_state,
        orders.owner.cancel_unsent,
        detector.notifier.senders.record_call,
        settings.instance.drain_seconds,
    )
