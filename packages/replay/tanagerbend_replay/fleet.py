"""All nodes of a replay, with the control path between them."""

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
from tanagerbend_replay.node import ReplayNode, Value, address_of, member_of
from tanagerbend_replay.tally import Tally
from tanagerbend_timer import ManualTimer

# The control path is not replayed; these bounds of its delays, in seconds,
# only give events an order that differs between daemons.
SPREAD: Final = (0.01, 0.5)
DETECTION: Final = (1.0, 3.0)


class ReplayFleet:
    """Nodes by host, and what reaches them when.

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
        self.instances = {one.host: one for one in trace.instances}
        self.listing = HostListing(0, tuple(map(_listed, trace.instances)))
        self.value: Value | None = None
        # Newest valid publication, by the order of versions.
        self.best: tuple[tuple, bytes] = ((), b'')
        self.is_service_lost = False
        self.nodes = {
            one.host: self._make_node(one, 1) for one in trace.instances
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

    def entry(self, via: str) -> ReplayNode | None:
        """Return the entry daemon, or another one if it is not up."""
        named = self.nodes.get(via)
        if named is not None and named.takes_calls:
            return named
        up = [node for node in self.nodes.values() if node.takes_calls]
        return self.random.choice(up) if up else None

    def later(
        self,
        bounds: tuple[float, float],
        node: ReplayNode,
        action: Callable[[], object],
    ) -> None:
        """Do something at a node after a random delay."""
        self.spawn(self._later(self.random.uniform(*bounds), node, action))

    async def _later(
        self,
        seconds: float,
        node: ReplayNode,
        action: Callable[[], object],
    ) -> None:
        await self.timer.sleep(seconds)
        await node.when_running(action)

    def spawn(self, work: object) -> None:
        """Run a coroutine until the end of the replay."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()

    def publish(self, event: Publication) -> None:
        """Publish a value; it reaches the daemons one by one."""
        content = event.sheet.encode()
        self.value = Value(event.revision, content)
        verdict = accept(content)
        match verdict:
            case Accepted(sheet=sheet, digest=digest):
                position = (sheet.edition, event.revision)
                if position > (self.best[0] or ((), 0)):
                    self.best = (position, digest)
        if not self.is_service_lost:
            self._spread()

    def _spread(self) -> None:
        for node in self.nodes.values():
            self._bring(node, self.value)

    def _bring(self, node: ReplayNode, value: Value | None) -> None:
        if value is not None:
            self.later(
                SPREAD,
                node,
                partial(node.offer, value.revision, value.content),
            )

    def list_hosts(self, event: HostsEvent) -> None:
        """Show a host list to all daemons."""
        self.listing = HostListing(
            self.listing.revision + 1,
            tuple(
                attrs.evolve(
                    _listed(self.instances[host]),
                    leaving=host in event.leaving,
                )
                for host in event.hosts
            ),
        )
        listing = self.listing
        for node in self.nodes.values():
            self.later(
                SPREAD,
                node,
                partial(node.roster.observe_host_list, listing),
            )

    def fail(self, event: FaultEvent) -> None:
        """Let a fault begin or end."""
        match event.fault:
            case FaultKind.SERVICE_LOST:
                self.is_service_lost = True
            case FaultKind.SERVICE_BACK:
                self.is_service_lost = False
                self._spread()
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
            self.later(
                DETECTION,
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
        newest = self.newest()
        self._bring(node, newest or self.value)
        own = member_of(node.instance, node.incarnation)
        self._announce(node, own)
        for other in self._others(node):
            node.roster.merge([other.roster.own])

    def _announce(self, node: ReplayNode, record: object) -> None:
        for other in self._others(node):
            self.later(
                SPREAD,
                other,
                partial(other.roster.merge, [record]),
            )

    def newest(self) -> Value | None:
        """Return the newest value in force at any daemon that is up."""
        held = [
            node.store.current
            for node in self.nodes.values()
            if node.is_up and node.store.current is not None
        ]
        if not held:
            return None
        best = max(held, key=lambda one: one.version.position)
        return Value(best.version.revision, best.content)

    def in_force(self) -> list[bytes]:
        """Return the digest in force at each daemon that is up."""
        currents = [
            node.store.current for node in self.nodes.values() if node.is_up
        ]
        return [one.version.digest if one else b'' for one in currents]


def _listed(instance: Instance) -> Host:
    return Host(
        host=instance.host,
        service=instance.service,
        failure_domain=instance.failure_domain,
        region='replay',
        call_address=address_of(instance.host),
        peer_address=address_of(instance.host),
    )
