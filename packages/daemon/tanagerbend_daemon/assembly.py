"""Assembly of a daemon from its packages."""

import random
import time
from typing import Any

import aiohttp
import attrs

from tanagerbend_admission import FifoAdmission
from tanagerbend_daemon.containment import ContainedOwner
from tanagerbend_daemon.control import ControlHandler
from tanagerbend_daemon.drain import Drain
from tanagerbend_daemon.entry import CallHandler
from tanagerbend_daemon.leaving import LeavingWatch
from tanagerbend_daemon.order_path import OrderPath
from tanagerbend_daemon.outbound import HttpServer, make_session
from tanagerbend_daemon.platform_client import (
    HttpConfigurationService,
    HttpHostList,
)
from tanagerbend_daemon.safety import (
    Safety,
    make_drain,
    make_orders,
    make_safety,
)
from tanagerbend_distribution import (
    Bootstrap,
    CallBudget,
    PlatformReader,
    Propagation,
    VersionStore,
)
from tanagerbend_interfaces import Member, MemberState
from tanagerbend_membership import Detector, Roster
from tanagerbend_metrics import Recorder
from tanagerbend_routing import Balancer, RouteTable
from tanagerbend_settings import Settings
from tanagerbend_timer import SystemTimer
from tanagerbend_wire import Identity, PeerClient, PeerServer


@attrs.define
class Parts:
    """The parts of one daemon, wired together."""

    settings: Settings
    timer: SystemTimer
    recorder: Recorder
    roster: Roster
    store: VersionStore
    detector: Detector
    propagation: Propagation
    reader: PlatformReader
    bootstrap: Bootstrap
    peer_client: PeerClient
    peer_server: PeerServer
    calls: CallHandler
    orders: OrderPath
    drain: Drain
    leaving: LeavingWatch
    sessions: list[aiohttp.ClientSession]

    def rebuild_routes(self, _event: Any = None) -> None:
        """Replace the route table by one of the current facts."""
        current = self.store.current
        if current is not None:
            self.calls.table = RouteTable.build(
                current.version,
                current.sheet,
                self.roster.instances,
            )


def own_member(settings: Settings) -> Member:
    """Return the record of a daemon that has just started."""
    host = settings.host
    return Member(
        host=host.name,
        service=host.service,
        failure_domain=host.failure_domain,
        region=host.region,
        incarnation=time.time_ns(),
        sequence=1,
        state=MemberState.STARTING,
        call_address=settings.addresses.calls,
        peer_address=settings.addresses.peers,
    )


def assemble(settings: Settings) -> Parts:
    """Wire the parts of a daemon; needs a running event loop."""
    timer = SystemTimer()
    recorder = Recorder(timer)
    chance = random.Random()  # noqa: S311
    own = own_member(settings)
    roster = Roster(own, recorder)
    identity = Identity(
        settings.host.deployment,
        own.host,
        own.incarnation,
        settings.peers.shared_key.encode(),
    )
    client = PeerClient(identity, recorder)
    store = VersionStore(recorder)
    propagation = Propagation(store, roster, client, chance, recorder)
    detector = Detector(roster, client, chance, recorder)
    sessions = [make_session(0), make_session(settings.instance.connections)]
    reader = _reader(settings, sessions[0], store, roster, chance, recorder)
    safety = make_safety(settings, sessions[1], roster, client)
    calls = _calls(settings, sessions[0], safety, roster, chance)
    drain = make_drain(
        settings,
        make_orders(calls, safety, roster),
        detector,
    )
    parts = Parts(
        settings,
        timer,
        recorder,
        roster,
        store,
        detector,
        propagation,
        reader,
        Bootstrap(
            propagation,
            reader,
            settings.peers.seeds,
            settings.peers.bootstrap_wait_seconds,
            chance,
            recorder,
        ),
        client,
        PeerServer(
            identity,
            ControlHandler(
                roster,
                detector,
                propagation,
                safety.notices,
                recorder,
            ),
            recorder,
        ),
        calls,
        drain.path,
        drain,
        LeavingWatch(
            drain,
            roster,
            safety.gate.backend,
            settings.instance.ready_path,
        ),
        sessions,
    )
    store.listeners.append(parts.rebuild_routes)
    roster.listeners.append(parts.rebuild_routes)
    return parts


def _reader(
    settings: Settings,
    session: aiohttp.ClientSession,
    store: VersionStore,
    roster: Roster,
    chance: random.Random,
    recorder: Recorder,
) -> PlatformReader:
    platform = settings.platform
    service = HttpConfigurationService(session, platform.url)
    return PlatformReader(
        service,
        HttpHostList(service, platform.host_list_key),
        platform.sheet_key,
        platform.watch_seconds,
        CallBudget(
            recorder.timer,
            chance,
            platform.calls_per_second,
            platform.expected_fleet_size,
        ),
        store,
        roster,
        chance,
        recorder,
    )


def _calls(
    settings: Settings,
    peers: aiohttp.ClientSession,
    safety: Safety,
    roster: Roster,
    chance: random.Random,
) -> CallHandler:
    instance = settings.instance
    recorder = roster.recorder
    owner = ContainedOwner(
        safety.backend,
        FifoAdmission(recorder.timer, instance.slots, instance.queue),
        roster,
        recorder,
        quarantine=safety.quarantine,
    )
    return CallHandler(
        settings.host.name,
        settings.peers.shared_key.encode(),
        owner,
        Balancer(settings.host.failure_domain, chance),
        lambda address: HttpServer(peers, address, recorder.timer),
        recorder,
    )
