"""The decision packages of one daemon, driven by a replay."""

import asyncio
import random
import zlib
from collections.abc import Callable
from typing import Final

import attrs

from tanagerbend_admission import RankAdmission
from tanagerbend_distribution import Conflict, RejectedOffer, VersionStore
from tanagerbend_interfaces import Member, MemberState
from tanagerbend_membership import Roster
from tanagerbend_metrics import Recorder
from tanagerbend_orders import Ledger
from tanagerbend_replay.events import Instance
from tanagerbend_replay.tally import Tally
from tanagerbend_routing import Balancer, RetryBudget, RouteTable
from tanagerbend_timer import ManualTimer

LOWEST_PORT: Final = 1024
PORT_COUNT: Final = 60_000


def address_of(host: str) -> str:
    """Return a placeholder address, at which nothing listens."""
    port = LOWEST_PORT + zlib.crc32(host.encode()) % PORT_COUNT
    return f'127.0.0.1:{port}'


def live_member(instance: Instance, incarnation: int) -> Member:
    """Return the first member record of a live daemon."""
    return Member(
        host=instance.host,
        service=instance.service,
        failure_domain=instance.failure_domain,
        region='replay',
        incarnation=incarnation,
        sequence=1,
        state=MemberState.LIVE,
        call_address=address_of(instance.host),
        peer_address=address_of(instance.host),
    )


class ReplayNode:
    """One incarnation of a daemon and its local instance.

    Parameters
    ==========

    instance : Instance
    incarnation : int
    slots : int
    timer : ManualTimer
    seed : str
        Seeds the choice of instances.
    tally : Tally
        Counts the violations of invariants.
    """

    def __init__(
        self,
        instance: Instance,
        incarnation: int,
        slots: int,
        timer: ManualTimer,
        seed: str,
        tally: Tally,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.timer = timer
        self.tally = tally
        self.recorder = Recorder(timer)
        self.roster = Roster(live_member(instance, incarnation), self.recorder)
        self.store = VersionStore(self.recorder)
        self.balancer = Balancer(
            instance.failure_domain,
            random.Random(seed),  # noqa: S311
            self.recorder,
        )
        self.budget = RetryBudget()
        self.admission = RankAdmission(self.recorder, slots)
        self.ledger = Ledger(self.recorder)
        self.table: RouteTable | None = None
        self.is_up = True
        self.stopped_at: float | None = None
        self.running = asyncio.Event()
        self.running.set()
        self.position: tuple = ()
        self.store.listeners.append(self.on_version_adopted)
        self.roster.listeners.append(self.rebuild_routes)

    @property
    def host(self) -> str:
        """Host of the daemon."""
        return self.instance.host

    @property
    def accepts_calls(self) -> bool:
        """Whether the daemon is up and not stopping."""
        return self.is_up and self.stopped_at is None

    def on_version_adopted(self, in_force: object) -> None:
        """Check that the version has increased, and rebuild the routes."""
        position = self.store.current.version.position
        if position <= self.position:
            self.tally.violations['I1'] += 1
        self.position = position
        self.rebuild_routes(in_force)

    def rebuild_routes(self, _event: object = None) -> None:
        """Build the route table of the version in force."""
        current = self.store.current
        if current is None:
            return
        self.table = RouteTable.build(
            current.version,
            current.sheet,
            self.roster.instances,
        )
        self.balancer.retain(self.table.services)
        self.admission.configure(
            current.sheet.floors_of(self.instance.service),
        )

    def offer(self, revision: int, content: bytes) -> None:
        """Offer a published value to the version store."""
        before = self.store.current
        match self.store.offer(revision, content):
            case RejectedOffer():
                self.tally.rejected += 1
                self._check_unchanged(before)
            case Conflict():
                self.tally.conflicts += 1
                self._check_unchanged(before)

    def _check_unchanged(self, before: object) -> None:
        if self.store.current is not before:
            self.tally.violations['I3'] += 1

    async def run_when_resumed(self, action: Callable[[], object]) -> None:
        """Wait while the daemon is paused, then run an action if it is up."""
        await self.running.wait()
        if self.is_up:
            action()


@attrs.frozen
class PublishedValue:
    """Content and revision of a published sheet."""

    revision: int
    content: bytes
