"""Owners and entries of an emulated deployment."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any, Final

import attrs

from tanagerbend_admission import ObjectiveQueue
from tanagerbend_emulator.arrivals import Arrivals
from tanagerbend_emulator.instance import HOST, EmulatedInstance
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
)
from tanagerbend_proxy.crash_exchange import CrashCaseExchange, make_suspicions
from tanagerbend_proxy.entry import Entry
from tanagerbend_proxy.knowledge import DeploymentState
from tanagerbend_proxy.link_use import LinkUse
from tanagerbend_proxy.messages import Answer, Outcome, Placed, Request
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.results import sending_limits
from tanagerbend_proxy.uplink import HEADER_BYTES, SendingLimits, Uplink
from tanagerbend_routing import (
    InstanceRegistry,
    ListedInstance,
    Placement,
    PrefixRoute,
    RoutingConfiguration,
    WeightedService,
)

# Nothing changes in an emulation.
APPLY_SECONDS: Final = 2.0
# After which a message to a host that is cut off is given up.
LOST_SECONDS: Final = 1.0
NAMES: Final = HeaderNames(
    **{name: name for name in attrs.fields_dict(HeaderNames)},
)
MakeQueue = Callable[[LoopTimer, int], ObjectiveQueue]


class SilentLog:
    """Decision log that writes nothing."""

    def write(self, _event: str, **_fields: Any) -> None:
        """Drop a line."""

    def line(self, _event: str, fields: dict[str, Any]) -> dict[str, Any]:
        """Return the fields."""
        return fields

    def request(self, _kind: str, _lines: list[dict[str, Any]]) -> None:
        """Drop the lines of a request."""


@attrs.define(eq=False)
class EmulatedOwner(Owner):
    """Owner whose instance is emulated."""

    instance: EmulatedInstance | None = None

    async def is_instance_down(self) -> bool:
        """Return whether the instance has ended."""
        return self.instance.is_down

    async def _send(
        self,
        request: Request,
        placed: Placed,
        time_left: float,
    ) -> Answer | Refusal:
        if time_left <= 0:
            return Refusal(ResultCode.DEADLINE_PASSED, 'no time is left')
        return await self.instance.run(request, time_left)


@attrs.define(eq=False)
class EmulatedEntry(Entry):
    """Entry that reaches other owners over emulated links."""

    fleet: 'EmulatedFleet | None' = None
    out: HostLink | None = None

    async def handle(self, request: Request) -> Answer | Refusal:
        """Answer a request of a caller or of the instance here."""
        kind = self.fleet.load.kind(request.path.strip('/'))
        self.fleet.arrivals.requested(kind.service, request.arrived)
        return await super().handle(request)

    async def _forward(
        self,
        request: Request,
        instance: ListedInstance,
        placed: Placed,
        _limit: float,
    ) -> Outcome:
        delay = self.fleet.delay(self.terms.failure_domain, instance)
        self.owner.uplink.spend(len(request.body))
        await asyncio.sleep(delay + self.out.write(HEADER_BYTES))
        owner = self.fleet.owners[instance.identity]
        now = self.recorder.timer.now()
        due = SendingLimits(
            placed.rank, now + placed.on_time, now + placed.time_left
        )
        outcome = await owner.run(request, placed)
        body = (
            outcome.result.body if isinstance(outcome.result, Answer) else b''
        )
        await self.fleet.links[instance.identity].send(body, due)
        await asyncio.sleep(delay)
        return outcome

    async def deliver(self, request: Request, answer: Answer) -> None:
        """Send an answer to its caller."""
        await self.out.send(
            answer.body, sending_limits(request, self.route_of(request))
        )


class EmulatedFleet:
    """All hosts of a load, each with the real decisions.

    Parameters
    ==========

    load : Load
    make_queue : callable
        Returns the queue of an owner.
    chance : random.Random
    """

    def __init__(
        self,
        load: Load,
        make_queue: MakeQueue,
        chance: random.Random,
    ) -> None:
        self.load = load
        self.make_queue = make_queue
        self.random = chance
        self.recorder = Recorder(LoopTimer())
        self.arrivals = Arrivals()
        self.configuration = configure(load)
        self.owners: dict[str, EmulatedOwner] = {}
        self.links: dict[str, HostLink] = {}
        self.news: dict[str, CrashCaseExchange] = {}
        # Hosts that no daemon reaches, and messages about crashes.
        self.cut_off: set[str] = set()
        self.messages = 0
        # Seconds at which requests of a kind ended an instance.
        self.ended: dict[str, list[float]] = {}
        self.entries: dict[str, list[EmulatedEntry]] = {
            domain: [] for domain in load.domains
        }
        listed = {
            instance.identity: (instance, service)
            for service in load.services
            for instance in list_instances(load, service)
        }
        self.listed = {name: pair[0] for name, pair in listed.items()}
        for instance, service in listed.values():
            self._add(instance, service)

    def _add(self, listed: ListedInstance, service: ServiceLoad) -> None:
        speed = self.random.lognormvariate(0, service.speed_spread)
        instance = EmulatedInstance(
            listed, service, self.load, self.random, speed
        )
        knowledge = DeploymentState(self.recorder, SilentLog())
        knowledge.adopt(self.configuration)
        knowledge.registry.replace(self.listed)
        queue = self.make_queue(self.recorder.timer, service.slots)
        out = self._make_link(listed, service)
        owner = EmulatedOwner(
            listed.address,
            None,
            queue,
            NAMES,
            self.recorder,
            knowledge.registry,
            out.uplink,
            self.load.budget,
            make_suspicions(self.recorder, NAMES, SilentLog()),
            instance=instance,
        )
        self._connect(owner, knowledge.registry)
        # The daemons have run for a while.
        owner.repeats.allowance.started_at = -math.inf
        entry = EmulatedEntry(
            make_terms(self.load, listed),
            knowledge,
            Placement(listed.failure_domain, self.random, self.recorder),
            owner,
            None,
            NAMES,
            self.recorder,
            SilentLog(),
            self.random,
            LinkUse(self.recorder),
            fleet=self,
            out=out,
        )
        instance.entry = entry
        self.owners[listed.identity] = owner
        self.entries[listed.failure_domain].append(entry)

    def _connect(
        self,
        owner: EmulatedOwner,
        registry: InstanceRegistry,
    ) -> None:
        """Let a daemon tell the others of crashes."""

        async def ask(host: str, text: str) -> str | Refusal:  # noqa: WPS430
            self.messages += 1
            if self.cut_off & {host, own_host}:
                await asyncio.sleep(LOST_SECONDS)
                return Refusal(ResultCode.PEER_UNREACHABLE, 'cut off')
            await asyncio.sleep(2 * self.load.between_domains)
            return self.news[host].answer(text)

        own_host = owner.address.rpartition(':')[0]
        self.news[own_host] = CrashCaseExchange(
            owner.suspicions,
            registry,
            own_host,
            ask,
            # What instances and callers draw does not depend on news.
            random.Random(own_host),
        )

    def ended_by(self, kind: str) -> None:
        """Note that a request of a kind has ended its instance."""
        now = asyncio.get_running_loop().time()
        self.ended.setdefault(kind, []).append(now)

    def crash(self, crashed: Crashed) -> None:
        """End instances for reasons of their own."""
        for owner in self.owners.values():
            if owner.instance.is_among(crashed):
                owner.instance.crash()

    def restart(self, restart: Restart) -> None:
        """Let daemons forget what they have counted."""
        for owner in self.owners.values():
            if owner.instance.is_among(restart):
                owner.reset_repeats()

    def _make_link(
        self,
        listed: ListedInstance,
        service: ServiceLoad,
    ) -> HostLink:
        rate = service.link_of(int(listed.identity.rpartition('-')[2]))
        timer = self.recorder.timer
        if self.load.wake_delay:
            timer = LateTimer(self.random, self.load.wake_delay)
        out = HostLink(Uplink(timer, rate), rate)
        self.links[listed.identity] = out
        return out

    def delay(self, domain: str, instance: ListedInstance) -> float:
        """Return the one-way delay to an instance in seconds."""
        is_near = instance.failure_domain == domain
        return 0.0 if is_near else self.load.between_domains


def list_instances(load: Load, service: ServiceLoad) -> list[ListedInstance]:
    """Return the instances of a service, in the failure domains in turn."""
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


def make_terms(load: Load, listed: ListedInstance) -> DaemonSettings:
    """Return the terms of the daemon beside an instance."""
    return DaemonSettings(
        listed.identity,
        listed.failure_domain,
        listed.service,
        listed.address,
        '',
        ListenAddresses('', ':1', '', ''),
        StopSettings(1.0),
        load.budget,
        APPLY_SECONDS,
    )


def configure(load: Load) -> RoutingConfiguration:
    """Return the configuration that routes the kinds of a load."""
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
