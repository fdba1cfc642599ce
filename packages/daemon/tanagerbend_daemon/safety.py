"""Wiring of orders and quarantine between the owner and its instance."""

import aiohttp
import attrs

from tanagerbend_daemon.containment import GuardedBackend
from tanagerbend_daemon.drain import Drain
from tanagerbend_daemon.entry import CallHandler
from tanagerbend_daemon.leaving import LeavingHints
from tanagerbend_daemon.order_hop import HttpOrderHop
from tanagerbend_daemon.order_owner import OrderGate, OrderOwner
from tanagerbend_daemon.order_path import OrderPath
from tanagerbend_daemon.order_watch import OrderWatch
from tanagerbend_daemon.outbound import HttpServer
from tanagerbend_daemon.stalls import Stalls
from tanagerbend_daemon.suspect_notices import SuspectNotices
from tanagerbend_interfaces import PeerTransport
from tanagerbend_membership import Detector, Roster
from tanagerbend_orders import Ledger, LedgerLimits, OrderKeyIssuer
from tanagerbend_quarantine import Quarantine
from tanagerbend_settings import Settings


@attrs.frozen
class Safety:
    """What stands between admission and the backend server.

    Parameters
    ==========

    gate : OrderGate
        Directly before the backend server.
    notices : SuspectNotices
    backend : GuardedBackend
        Contains the gate.
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


def make_safety(
    settings: Settings,
    session: aiohttp.ClientSession,
    roster: Roster,
    transport: PeerTransport,
) -> Safety:
    """Wire the steps between admission and the backend server."""
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
        OrderWatch(server, issuer, recorder),
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
        server.drop_kept,
    )
    hints = LeavingHints(roster, transport)
    return Safety(gate, notices, guarded, hints)


def make_orders(
    calls: CallHandler, safety: Safety, roster: Roster
) -> OrderPath:
    """Wire the path of orders around the call handler."""
    gate = safety.gate
    calls.owner.forward = calls.forward
    owner = OrderOwner(
        roster.own,
        gate.ledger,
        calls.handle,
        roster.recorder,
    )
    roster.listeners.append(owner.follow_own)
    return OrderPath(
        calls,
        owner,
        gate.issuer,
        HttpOrderHop(calls),
        roster,
        roster.recorder,
        Stalls(roster.timer),
    )


def make_drain(
    settings: Settings,
    orders: OrderPath,
    detector: Detector,
) -> Drain:
    """Wire planned stops around the path of calls and orders."""
    return Drain(
        orders,
        detector.roster,
        detector.notifier.announce_state,
        orders.owner.end_unsent,
        detector.notifier.senders.record_call,
        settings.instance.drain_seconds,
    )
