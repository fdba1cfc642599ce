"""Assembly of a daemon from its packages."""

import asyncio
import random
from typing import Any, Final

import aiohttp
import attrs

from tanagerbend_admission import RankAdmission
from tanagerbend_daemon.backend_chain import (
    BackendChain,
    build_backend_chain,
    make_drain,
    make_orders,
)
from tanagerbend_daemon.containment import GuardedBackend, QuarantineOwner
from tanagerbend_daemon.control import ControlHandler
from tanagerbend_daemon.drain import Drain
from tanagerbend_daemon.entry import CallHandler
from tanagerbend_daemon.identity import own_identity, own_member
from tanagerbend_daemon.leaving import LeavingWatch
from tanagerbend_daemon.order_path import OrderPath
from tanagerbend_daemon.outbound import clients_of, make_session
from tanagerbend_daemon.platform_client import (
    HttpConfigurationService,
    HttpHostList,
)
from tanagerbend_distribution import (
    Bootstrap,
    CallBudget,
    CatchUp,
    InForce,
    PauseGuard,
    PlatformReader,
    Propagation,
    ReadTimes,
    VersionStore,
)
from tanagerbend_membership import Detector, Roster
from tanagerbend_metrics import Recorder
from tanagerbend_routing import Balancer, RouteTable
from tanagerbend_settings import Settings
from tanagerbend_timer import SystemTimer
from tanagerbend_wire import PeerClient, PeerServer

# A restart of the fleet changes thousands of member records in a few
# seconds; one rebuild covers all changes of this time.
REBUILD_DELAY_SECONDS: Final = 0.1


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
    guard: PauseGuard
    catch_up: CatchUp
    backend: GuardedBackend
    is_rebuild_scheduled: bool = False

    def configure_floors(self, in_force: InForce) -> None:
        """Configure the admission with the floors of an adopted sheet."""
        service = self.settings.host.service
        floors = in_force.sheet.floors_of(service)
        self.calls.owner.admission.configure(floors)

    def schedule_route_rebuild(self, _event: Any = None) -> None:
        """Schedule one rebuild of the routes for changes close in time."""
        if not self.is_rebuild_scheduled:
            self.is_rebuild_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(REBUILD_DELAY_SECONDS, self.rebuild_routes)

    def rebuild_routes(self, _event: Any = None) -> None:
        """Build the route table from the current sheet and roster."""
        self.is_rebuild_scheduled = False
        current = self.store.current
        if current is not None:
            self.calls.adopt(
                RouteTable.build(
                    current.version,
                    current.sheet,
                    self.roster.instances,
                )
            )


def assemble(settings: Settings) -> Parts:
    """Wire the parts of a daemon; requires a running event loop."""
    timer = SystemTimer()
    recorder = Recorder(timer)
    rng = random.Random()  # noqa: S311
    roster = Roster(
        own_member(settings),
        recorder,
        settings.platform.readers_per_domain,
    )
    identity = own_identity(settings, roster)
    client = PeerClient(identity, recorder)
    store = VersionStore(recorder)
    propagation = Propagation(
        store,
        roster,
        client,
        rng,
        recorder,
        settings.peers.seeds,
    )
    guard = PauseGuard(propagation, recorder)
    detector = Detector(roster, client, rng, recorder)
    timer.on_pause(detector.on_pause)
    sessions = [make_session(0), make_session(settings.instance.connections)]
    reader = _make_reader(settings, sessions[0], propagation, guard)
    backend_chain = build_backend_chain(settings, sessions[1], roster, client)
    calls = _make_call_handler(
        settings, sessions[0], backend_chain, roster, rng
    )
    calls.wait_until_ready = guard.wait_until_verified
    calls.catch_up = CatchUp(propagation, recorder)
    drain = make_drain(
        settings,
        make_orders(calls, backend_chain, roster),
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
            rng,
            recorder,
        ),
        client,
        PeerServer(
            identity,
            ControlHandler(
                roster,
                detector,
                propagation,
                backend_chain.notices,
                backend_chain.hints,
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
            backend_chain.gate.backend,
            backend_chain.hints,
            lambda: reader.is_reader,
            settings.instance.ready_path,
        ),
        sessions,
        guard,
        calls.catch_up,
        backend_chain.backend,
    )
    store.listeners.append(parts.configure_floors)
    store.listeners.append(parts.rebuild_routes)
    roster.listeners.append(parts.schedule_route_rebuild)
    return parts


def _make_reader(
    settings: Settings,
    session: aiohttp.ClientSession,
    propagation: Propagation,
    guard: PauseGuard,
) -> PlatformReader:
    platform = settings.platform
    service = HttpConfigurationService(session, platform.url)
    recorder = propagation.recorder
    budget = CallBudget(
        recorder.timer,
        propagation.random,
        platform.calls_per_second,
        platform.expected_fleet_size,
    )
    return PlatformReader(
        service,
        HttpHostList(service, platform.host_list_key),
        platform.sheet_key,
        ReadTimes(platform.watch_seconds, platform.host_list_poll_seconds),
        budget,
        propagation.store,
        propagation.roster,
        propagation.random,
        recorder,
        guard.wait_until_verified,
    )


def _make_call_handler(
    settings: Settings,
    peer_session: aiohttp.ClientSession,
    backend_chain: BackendChain,
    roster: Roster,
    rng: random.Random,
) -> CallHandler:
    instance = settings.instance
    recorder = roster.recorder
    owner = QuarantineOwner(
        backend_chain.backend,
        RankAdmission(recorder, instance.slots, instance.queue),
        roster,
        recorder,
        quarantine=backend_chain.quarantine,
    )
    return CallHandler(
        settings.host.name,
        settings.peers.shared_key.encode(),
        owner,
        Balancer(settings.host.failure_domain, rng, recorder),
        clients_of(peer_session, recorder.timer),
        recorder,
    )
