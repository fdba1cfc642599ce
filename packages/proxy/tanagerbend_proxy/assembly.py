"""Builds the components of a daemon and connects them."""

import random
from typing import Final

import attrs

from tanagerbend_admission import ObjectiveQueue
from tanagerbend_metrics import Recorder
from tanagerbend_proxy.crash_exchange import (
    CrashCaseExchange,
    make_case_exchange,
    make_suspicions,
)
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.delivery import DeliveryLog
from tanagerbend_proxy.entry import Entry
from tanagerbend_proxy.exchange import make_session
from tanagerbend_proxy.following import Connect, Follower
from tanagerbend_proxy.endpoint import Endpoint
from tanagerbend_proxy.front import CallerHandler, PeerHandler
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.input_limits import ClientLimits, make_client_limits
from tanagerbend_proxy.knowledge import DeploymentState
from tanagerbend_proxy.lifetime import Lifetime
from tanagerbend_proxy.link_use import ANSWERS, PLACED, LinkUse
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.peers import make_peers
from tanagerbend_proxy.staleness import Staleness
from tanagerbend_proxy.daemon_settings import DaemonSettings
from tanagerbend_proxy.uplink import Uplink
from tanagerbend_routing import Placement
from tanagerbend_timer import SystemTimer

# Keep-alive of idle connections to the instance; below the ten seconds after
# which instances in current deployments close them.
INSTANCE_KEEP_ALIVE_SECONDS: Final = 4.0
PEER_KEEP_ALIVE_SECONDS: Final = 30.0
# Slots of the instance until its entry has been read.
INITIAL_SLOTS: Final = 4


@attrs.define
class Components:
    """Components of one daemon."""

    settings: DaemonSettings
    recorder: Recorder
    log: DecisionLog
    knowledge: DeploymentState
    follower: Follower
    owner: Owner
    entry: Entry
    callers: Endpoint
    peers: Endpoint
    link: LinkUse
    lifetime: Lifetime
    case_exchange: CrashCaseExchange
    client_limits: ClientLimits
    is_stopping: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether this daemon takes requests."""
        return not self.is_stopping and self.knowledge.configuration is not None

    def apply_settings(self, settings: DaemonSettings) -> None:
        """Apply reloaded limits; addresses stay until a restart."""
        is_changed = settings != self.settings
        self.settings = settings
        self.owner.repeats.allowance.settings = settings.budget
        self.owner.cold.tolerance = settings.cold
        self.follower.staleness.bound = settings.apply_seconds
        self.log.write('settings_reloaded', is_changed=is_changed)


def assemble(
    settings: DaemonSettings,
    names: HeaderNames,
    connect: Connect,
) -> Components:
    """Build the components of a daemon; needs a running event loop.

    ``connect`` returns the client of the configuration service.
    """
    recorder = Recorder(SystemTimer())
    rng = random.Random()  # noqa: S311
    log = DecisionLog(settings.host, recorder)
    knowledge = DeploymentState(recorder, log)
    link = LinkUse(recorder)
    uplink = Uplink(recorder.timer, settings.link_bytes_per_second)
    session = make_session(PEER_KEEP_ALIVE_SECONDS, 0)
    case_exchange = make_case_exchange(
        settings,
        make_suspicions(recorder, names, log),
        knowledge.registry,
        session,
        rng,
    )
    owner = Owner(
        settings.instance_address,
        make_session(INSTANCE_KEEP_ALIVE_SECONDS, 0),
        ObjectiveQueue(recorder.timer, INITIAL_SLOTS),
        names,
        recorder,
        knowledge.registry,
        uplink,
        settings.budget,
        case_exchange.suspicions,
    )
    owner.cold.tolerance = settings.cold
    entry = Entry(
        settings,
        knowledge,
        Placement(settings.failure_domain, rng, recorder),
        owner,
        session,
        names,
        recorder,
        log,
        rng,
        link,
    )
    follower = Follower(
        connect(recorder),
        knowledge,
        make_peers(settings, recorder, PEER_KEEP_ALIVE_SECONDS),
        recorder,
        rng,
        Staleness(knowledge, link, settings.apply_seconds),
    )
    lifetime = Lifetime(recorder.timer)
    limits = make_client_limits(settings, recorder)
    owner.has_room = limits.memory.has_room
    callers = Endpoint(
        CallerHandler(
            entry, names, recorder, settings.service, lifetime, limits.memory
        ).handle,
        recorder,
        uplink,
        lifetime,
        DeliveryLog(ANSWERS, recorder, log),
        limits.inputs,
        limits.answers,
    )
    peers = Endpoint(
        PeerHandler(
            owner, follower, names, case_exchange, limits.memory
        ).handle,
        recorder,
        uplink,
        lifetime,
        DeliveryLog(PLACED, recorder, log),
        limits.inputs,
        limits.answers,
    )
    link.count_unsent = lambda: (
        callers.unsent + peers.unsent + int(uplink.expected_bytes)
    )
    return Components(
        settings,
        recorder,
        log,
        knowledge,
        follower,
        owner,
        entry,
        callers,
        peers,
        link,
        lifetime,
        case_exchange,
        limits,
    )
