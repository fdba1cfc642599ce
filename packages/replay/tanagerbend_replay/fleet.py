"""The nodes of a replay and the control messages between them."""

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import Final

import attrs

from tanagerbend_interfaces import Host, HostListing, MemberState
from tanagerbend_model import Accepted, accept
from tanagerbend_replay.events import (
    FaultEvent,
    FaultKind,
    HostsEvent,
    Instance,
    Publication,
    Trace,
)
from tanagerbend_replay.node import (
    PublishedValue,
    ReplayNode,
    address_of,
    live_member,
)
from tanagerbend_replay.tally import Tally
from tanagerbend_timer import ManualTimer

# The control protocol is not replayed.  Random delays between these bounds
# make events reach the daemons in different orders.
DELIVERY_DELAY_SECONDS: Final = (0.01, 0.5)
DETECTION_DELAY_SECONDS: Final = (1.0, 3.0)


class ReplayFleet:
    """Nodes by host, and the delivery of events to them.

    Parameters
    ==========

    trace : Trace
    seed : int
    timer : ManualTimer
    """

    def __init__(self, trace: Trace, seed: int, timer: ManualTimer) -> None:
        self.trace = trace
        self.seed = seed
        self.timer = timer
        self.random = random.Random(seed)  # noqa: S311
        self.tally = Tally()
        self.tasks: set[asyncio.Task] = set()
        self.instances = {
            instance.host: instance for instance in trace.instances
        }
        self.listing = HostListing(0, tuple(map(_host_record, trace.instances)))
        self.value: PublishedValue | None = None
        # Position and digest of the newest valid publication.
        self.newest_valid: tuple[tuple, bytes] = ((), b'')
        self.is_service_lost = False
        self.nodes = {
            instance.host: self._make_node(instance, 1)
            for instance in trace.instances
        }
        records = [node.roster.own for node in self.nodes.values()]
        for node in self.nodes.values():
            node.roster.merge(records)

    def _make_node(self, instance: Instance, incarnation: int) -> ReplayNode:
        node = ReplayNode(
            instance,
            incarnation,
            self.trace.slots,
            self.timer,
            f'{self.seed}/{instance.host}/{incarnation}',
            self.tally,
        )
        node.roster.observe_host_list(self.listing)
        return node

    def choose_entry(self, via: str) -> ReplayNode | None:
        """Return the named daemon, or a random one if it takes no calls."""
        named = self.nodes.get(via)
        if named is not None and named.accepts_calls:
            return named
        up = [node for node in self.nodes.values() if node.accepts_calls]
        return self.random.choice(up) if up else None

    def run_later(
        self,
        bounds: tuple[float, float],
        node: ReplayNode,
        action: Callable[[], object],
    ) -> None:
        """Run an action at a node after a random delay."""
        self.spawn(self._run_after(self.random.uniform(*bounds), node, action))

    async def _run_after(
        self,
        seconds: float,
        node: ReplayNode,
        action: Callable[[], object],
    ) -> None:
        await self.timer.sleep(seconds)
        await node.run_when_resumed(action)

    def spawn(self, coroutine: object) -> None:
        """Run a coroutine until the end of the replay."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()

    def publish(self, event: Publication) -> None:
        """Publish a sheet and deliver it to each daemon after a delay."""
        content = event.sheet.encode()
        self.value = PublishedValue(event.revision, content)
        acceptance = accept(content)
        match acceptance:
            case Accepted(sheet=sheet, digest=digest):
                position = (sheet.edition, event.revision)
                if position > (self.newest_valid[0] or ((), 0)):
                    self.newest_valid = (position, digest)
        if not self.is_service_lost:
            self._deliver_to_all()

    def _deliver_to_all(self) -> None:
        for node in self.nodes.values():
            self._deliver(node, self.value)

    def _deliver(self, node: ReplayNode, value: PublishedValue | None) -> None:
        if value is not None:
            self.run_later(
                DELIVERY_DELAY_SECONDS,
                node,
                partial(node.offer, value.revision, value.content),
            )

    def change_host_list(self, event: HostsEvent) -> None:
        """Change the host list and deliver it to all daemons."""
        self.listing = HostListing(
            self.listing.revision + 1,
            tuple(
                attrs.evolve(
                    _host_record(self.instances[host]),
                    leaving=host in event.leaving,
                )
                for host in event.hosts
            ),
        )
        listing = self.listing
        for node in self.nodes.values():
            self.run_later(
                DELIVERY_DELAY_SECONDS,
                node,
                partial(node.roster.observe_host_list, listing),
            )

    def apply_fault(self, event: FaultEvent) -> None:
        """Begin or end a fault."""
        match event.fault:
            case FaultKind.SERVICE_LOST:
                self.is_service_lost = True
            case FaultKind.SERVICE_BACK:
                self.is_service_lost = False
                self._deliver_to_all()
            case FaultKind.DAEMON_KILLED:
                self._kill(self.nodes[event.host])
            case FaultKind.DAEMON_STOPPED:
                self._stop(self.nodes[event.host])
            case FaultKind.DAEMON_STARTED:
                self._restart(self.nodes[event.host])
            case FaultKind.DAEMON_PAUSED:
                self.nodes[event.host].running.clear()
            case FaultKind.DAEMON_RESUMED:
                self.nodes[event.host].running.set()

    def _others(self, node: ReplayNode) -> list[ReplayNode]:
        return [other for other in self.nodes.values() if other is not node]

    def _kill(self, node: ReplayNode) -> None:
        node.is_up = False
        node.running.set()
        for other in self._others(node):
            self.run_later(
                DETECTION_DELAY_SECONDS,
                other,
                partial(other.roster.suspect, node.host),
            )

    def _stop(self, node: ReplayNode) -> None:
        node.stopped_at = self.timer.now()
        self._announce(node, node.roster.set_own_state(MemberState.DRAINING))

    def _restart(self, old: ReplayNode) -> None:
        old.is_up = False
        node = self._make_node(old.instance, old.incarnation + 1)
        self.nodes[old.host] = node
        newest = self.newest_in_force()
        self._deliver(node, newest or self.value)
        own = live_member(node.instance, node.incarnation)
        self._announce(node, own)
        for other in self._others(node):
            node.roster.merge([other.roster.own])

    def _announce(self, node: ReplayNode, record: object) -> None:
        for other in self._others(node):
            self.run_later(
                DELIVERY_DELAY_SECONDS,
                other,
                partial(other.roster.merge, [record]),
            )

    def newest_in_force(self) -> PublishedValue | None:
        """Return the newest sheet in force at any daemon that is up."""
        current_values = [
            node.store.current
            for node in self.nodes.values()
            if node.is_up and node.store.current is not None
        ]
        if not current_values:
            return None
        latest = max(current_values, key=lambda one: one.version.position)
        return PublishedValue(latest.version.revision, latest.content)

    def digests_in_force(self) -> list[bytes]:
        """Return the digest in force at each daemon that is up."""
        currents = [
            node.store.current for node in self.nodes.values() if node.is_up
        ]
        return [
            current.version.digest if current else b'' for current in currents
        ]


def _host_record(instance: Instance) -> Host:
    return Host(
        host=instance.host,
        service=instance.service,
        failure_domain=instance.failure_domain,
        region='replay',
        call_address=address_of(instance.host),
        peer_address=address_of(instance.host),
    )
