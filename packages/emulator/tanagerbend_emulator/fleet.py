"""Emulated deployment with the real owners and entries of the daemons."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any, Final

import attrs

from tanagerbend_admission import ObjectiveQueue
from tanagerbend_emulator.arrivals import Arrivals
from tanagerbend_emulator.instance import (
    HOST,
    EmulatedInstance,
    EmulatedProcess,
)
from tanagerbend_emulator.links import HostLink
from tanagerbend_emulator.loads import Crashed, Load, Restart, ServiceLoad
from tanagerbend_emulator.virtual import LateTimer, LoopTimer
from tanagerbend_metrics import Recorder
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy import (
    DaemonSettings,
    HeaderNames,
    ListenAddresses,
    StopSettings,
    StartQuestion,
)
from tanagerbend_proxy.crash_exchange import CrashCaseExchange, make_suspicions
from tanagerbend_proxy.entry import Entry
from tanagerbend_proxy.knowledge import DeploymentState
from tanagerbend_proxy.link_use import LinkUse
from tanagerbend_proxy.messages import Answer, Outcome, Placed, Request
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.results import sending_limits
from tanagerbend_proxy.uplink import HEADER_BYTES, SendingLimits, Uplink
from tanagerbend_quarantine import InstanceProcess
from tanagerbend_routing import (
    InstanceRegistry,
    ListedInstance,
    Placement,
    PrefixRoute,
    RoutingConfiguration,
    WeightedService,
)

# Has no effect, because the configuration never changes in an emulation.
CONFIGURATION_APPLY_SECONDS: Final = 2.0
# Timeout of a message from or to an unreachable host.
UNREACHABLE_TIMEOUT_SECONDS: Final = 1.0
HEADER_NAMES: Final = HeaderNames(
    **{name: name for name in attrs.fields_dict(HeaderNames)},
)
QueueFactory = Callable[[LoopTimer, int], ObjectiveQueue]


class NullLog:
    """Decision log that discards everything."""

    def write(self, _event: str, **_fields: Any) -> None:
        """Discard a line."""

    def line(self, _event: str, fields: dict[str, Any]) -> dict[str, Any]:
        """Return the fields unchanged."""
        return fields

    def request(self, _kind: str, _lines: list[dict[str, Any]]) -> None:
        """Discard the lines of a request."""


@attrs.define(eq=False)
class EmulatedOwner(Owner):
    """Owner whose instance is emulated."""

    instance: EmulatedInstance | None = None

    def make_process(self) -> InstanceProcess:
        """Return the process of the emulated instance."""
        return EmulatedProcess(self.instance)

    async def _send(
        self,
        request: Request,
        _question: StartQuestion,
        time_left: float,
    ) -> Answer | Refusal:
        if time_left <= 0:
            return Refusal(
                ResultCode.DEADLINE_PASSED, 'the deadline has passed'
            )
        return await self.instance.run(request, time_left)


@attrs.define(eq=False)
class EmulatedEntry(Entry):
    """Entry that forwards requests over emulated links."""

    fleet: 'EmulatedFleet | None' = None
    host_link: HostLink | None = None

    async def handle(self, request: Request) -> Answer | Refusal:
        """Answer a request of a caller or of the instance on this host."""
        kind = self.fleet.load.kind(request.path.strip('/'))
        self.fleet.arrivals.record_request(kind.service, request.arrived)
        return await super().handle(request)

    async def _forward(
        self,
        request: Request,
        instance: ListedInstance,
        placed: Placed,
        _limit: float,
    ) -> Outcome:
        delay = self.fleet.one_way_delay(self.settings.failure_domain, instance)
        self.owner.uplink.spend(len(request.body))
        await asyncio.sleep(delay + self.host_link.write(HEADER_BYTES))
        owner = self.fleet.owners[instance.identity]
        now = self.recorder.timer.now()
        limits = SendingLimits(
            placed.rank, now + placed.on_time, now + placed.time_left
        )
        outcome = await owner.run(request, placed)
        body = (
            outcome.result.body if isinstance(outcome.result, Answer) else b''
        )
        await self.fleet.links[instance.identity].send(body, limits)
        await asyncio.sleep(delay)
        return outcome

    async def deliver(self, request: Request, answer: Answer) -> None:
        """Send an answer to its caller."""
        await self.host_link.send(
            answer.body, sending_limits(request, self.route_of(request))
        )


class EmulatedFleet:
    """All hosts of a load, each with the decision code of a daemon.

    Parameters
    ==========

    load : Load
    make_queue : callable
        Returns the queue of an owner, given its timer and slots.
    rng : random.Random
    """

    def __init__(
        self,
        load: Load,
        make_queue: QueueFactory,
        rng: random.Random,
    ) -> None:
        self.load = load
        self.make_queue = make_queue
        self.random = rng
        self.recorder = Recorder(LoopTimer())
        self.arrivals = Arrivals()
        self.configuration = make_configuration(load)
        self.owners: dict[str, EmulatedOwner] = {}
        self.links: dict[str, HostLink] = {}
        self.crash_exchanges: dict[str, CrashCaseExchange] = {}
        # Hosts whose messages about crashes are lost.
        self.unreachable_hosts: set[str] = set()
        self.crash_messages = 0
        # Seconds at which requests crashed an instance, by kind.
        self.crash_times: dict[str, list[float]] = {}
        self.entries: dict[str, list[EmulatedEntry]] = {
            domain: [] for domain in load.domains
        }
        pairs = {
            instance.identity: (instance, service)
            for service in load.services
            for instance in list_instances(load, service)
        }
        self.instances = {name: pair[0] for name, pair in pairs.items()}
        for instance, service in pairs.values():
            self._add(instance, service)

    def _add(self, listed: ListedInstance, service: ServiceLoad) -> None:
        speed = self.random.lognormvariate(0, service.speed_spread)
        instance = EmulatedInstance(
            listed, service, self.load, self.random, speed
        )
        knowledge = DeploymentState(self.recorder, NullLog())
        knowledge.adopt(self.configuration)
        knowledge.registry.replace(self.instances)
        queue = self.make_queue(self.recorder.timer, service.slots)
        link = self._make_link(listed, service)
        owner = EmulatedOwner(
            listed.address,
            None,
            queue,
            HEADER_NAMES,
            self.recorder,
            knowledge.registry,
            link.uplink,
            self.load.budget,
            make_suspicions(self.recorder, HEADER_NAMES, NullLog()),
            instance=instance,
        )
        self._add_crash_exchange(owner, knowledge.registry)
        # The daemon has run long enough to have its full repeat allowance.
        owner.repeats.allowance.started_at = -math.inf
        entry = EmulatedEntry(
            make_daemon_settings(self.load, listed),
            knowledge,
            Placement(listed.failure_domain, self.random, self.recorder),
            owner,
            None,
            HEADER_NAMES,
            self.recorder,
            NullLog(),
            self.random,
            LinkUse(self.recorder),
            fleet=self,
            host_link=link,
        )
        instance.entry = entry
        self.owners[listed.identity] = owner
        self.entries[listed.failure_domain].append(entry)

    def _add_crash_exchange(
        self,
        owner: EmulatedOwner,
        registry: InstanceRegistry,
    ) -> None:
        """Create the exchange of crash cases of a daemon."""

        async def ask(host: str, text: str) -> str | Refusal:  # noqa: WPS430
            self.crash_messages += 1
            if self.unreachable_hosts & {host, own_host}:
                await asyncio.sleep(UNREACHABLE_TIMEOUT_SECONDS)
                return Refusal(
                    ResultCode.PEER_UNREACHABLE, 'the host is unreachable'
                )
            await asyncio.sleep(2 * self.load.between_domains)
            return self.crash_exchanges[host].answer(text)

        own_host = owner.address.rpartition(':')[0]
        self.crash_exchanges[own_host] = CrashCaseExchange(
            owner.suspicions,
            registry,
            own_host,
            ask,
            # A generator of its own, so that the draws of instances and
            # callers do not depend on crash messages.
            random.Random(own_host),
        )

    def record_crash(self, kind: str) -> None:
        """Record that a request of a kind crashed its instance."""
        now = asyncio.get_running_loop().time()
        self.crash_times.setdefault(kind, []).append(now)

    def crash(self, crashed: Crashed) -> None:
        """Crash instances as the load specifies."""
        for owner in self.owners.values():
            if owner.instance.is_affected_by(crashed):
                owner.instance.crash()

    def restart(self, restart: Restart) -> None:
        """Reset the repeat counts of daemons, as a restart does."""
        for owner in self.owners.values():
            if owner.instance.is_affected_by(restart):
                owner.reset_repeats()

    def _make_link(
        self,
        listed: ListedInstance,
        service: ServiceLoad,
    ) -> HostLink:
        rate = service.link_rate(int(listed.identity.rpartition('-')[2]))
        timer = self.recorder.timer
        if self.load.wake_delay:
            timer = LateTimer(self.random, self.load.wake_delay)
        link = HostLink(Uplink(timer, rate), rate)
        self.links[listed.identity] = link
        return link

    def one_way_delay(self, domain: str, instance: ListedInstance) -> float:
        """Return the one-way delay to an instance in seconds."""
        is_same_domain = instance.failure_domain == domain
        return 0.0 if is_same_domain else self.load.between_domains


def list_instances(load: Load, service: ServiceLoad) -> list[ListedInstance]:
    """Return the instances of a service, round-robin over failure domains."""
    return [
        ListedInstance(
            f'{service.name}-{number}',
            f'{service.name}-{number}:80',
            service.name,
            load.domains[number % len(load.domains)],
            service.slots,
        )
        for number in range(service.instances)
    ]


def make_daemon_settings(load: Load, listed: ListedInstance) -> DaemonSettings:
    """Return the settings of the daemon beside an instance."""
    return DaemonSettings(
        listed.identity,
        listed.failure_domain,
        listed.service,
        listed.address,
        '',
        ListenAddresses('', ':1', '', ''),
        StopSettings(1.0),
        load.budget,
        CONFIGURATION_APPLY_SECONDS,
    )


def make_configuration(load: Load) -> RoutingConfiguration:
    """Return a routing configuration with one route for each kind."""
    routes = tuple(
        PrefixRoute(
            kind.name,
            HOST,
            f'/{kind.name}/',
            (WeightedService(kind.service),),
            kind.repeat,
            kind.timeout,
            kind.objective,
            2,
            kind.rank,
        )
        for kind in load.kinds
    )
    return RoutingConfiguration.build(1, routes, None)
