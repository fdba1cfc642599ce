"""Instances that the platform lists, and what an outage hides of them.

The load it answers: instances that leave, crash and lapse while requests
go on.  An entry that disappears while the service is settled is gone at once.
One that disappears around an outage of the service may have lapsed only
because its instance could not renew it, so it stays usable for a while.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from tanagerbend_metrics import Recorder

# Lapsed entries of live instances are back about two seconds after the
# service returns (statement of the platform).  Counted from the moment at
# which this daemon hears it again, which is up to 0.9 s later.
LAPSE_SECONDS: Final = 1.95
# New work reaches an instance for this long after the news that it leaves.
# Platforms grant two seconds or more from the acknowledged entry, and the
# news takes up to 1.2 s (gathering, a silent source, another that is asked).
LEAVING_SECONDS: Final = 0.5
# How long it is remembered that an instance left, in seconds; longer than
# any request waits.
DEPARTED_SECONDS: Final = 30.0


@attrs.frozen
class ListedInstance:
    """Entry of one instance.

    Parameters
    ==========

    identity : str
        New at most starts of the instance.
    address : str
        ``address:port`` where the instance listens for its own host.
    service, failure_domain : str
    slots : int
    is_leaving : bool
    cold_until : float
        Monotonic seconds; the instance is slow until then.
    born : int
        Unix milliseconds of its start; 0 if unknown.
    """

    identity: str
    address: str
    service: str
    failure_domain: str
    slots: int
    is_leaving: bool = False
    cold_until: float = 0.0
    born: int = 0

    @property
    def host_address(self) -> str:
        """Address of the host, without the port."""
        return self.address.rpartition(':')[0]


Instances = tuple[ListedInstance, ...]


def say_nothing(_event: str, _instance: ListedInstance) -> None:
    """Take a change without telling anyone."""


@attrs.define
class Held:
    """An entry, and until when it may be used although it is missing."""

    instance: ListedInstance
    usable_until: float = float('inf')


class InstanceRegistry:
    """What this daemon knows of the instances.

    Parameters
    ==========

    recorder : Recorder
    tell : callable
        Is told of each change: name of the event, instance.
    """

    def __init__(
        self,
        recorder: Recorder,
        tell: Callable[[str, ListedInstance], None] = say_nothing,
    ) -> None:
        self.recorder = recorder
        self.tell = tell
        self.timer = recorder.timer
        self.entries: dict[str, Held] = {}
        # Entries that are missing and not dropped yet.
        self.kept: dict[str, Held] = {}
        # Made of the entries when first asked for; None after a change.
        self.services: dict[str, Instances] | None = None
        self.newest: dict[str, ListedInstance] | None = None
        self.settled_from = 0.0
        self.departed: dict[str, float] = {}

    def service_lost(self) -> None:
        """Note that the service does not answer this daemon."""
        self.settled_from = float('inf')

    def service_regained(self) -> None:
        """Note that the service answers again."""
        if self.settled_from == float('inf'):
            self.settled_from = self.timer.now() + LAPSE_SECONDS

    def settle(self, seconds: float) -> None:
        """Take from a peer when missing entries say something.

        A daemon that did not hear the service for reasons of its own, such
        as a full link, has no reason to keep them.
        """
        self.settled_from = self.timer.now() + seconds

    @property
    def settled_after(self) -> float:
        """Seconds until a missing entry says that its instance is gone.

        At most ``LAPSE_SECONDS``, also while the service does not answer.
        """
        left = self.settled_from - self.timer.now()
        return min(max(left, 0.0), LAPSE_SECONDS)

    @property
    def is_settled(self) -> bool:
        """Whether a missing entry says that its instance is gone."""
        return self.timer.now() >= self.settled_from

    def put(self, instance: ListedInstance) -> None:
        """Take an entry that was written."""
        if self._take(instance):
            self._note_change()

    def _take(
        self,
        instance: ListedInstance,
        *,
        is_told: bool = True,
    ) -> bool:
        """Keep an entry; return whether it is news."""
        known = self.entries.get(instance.identity)
        self.entries[instance.identity] = Held(instance)
        self.kept.pop(instance.identity, None)
        if known is not None and known.instance == instance:
            return False
        self._note_leaving(instance)
        is_leaving = instance.is_leaving
        is_change = known is None or known.instance.is_leaving != is_leaving
        if is_told and is_change:
            self.tell(
                'instance_leaving' if is_leaving else 'instance_listed',
                instance,
            )
        return True

    def remove(self, identity: str) -> None:
        """Take the news that an entry was removed."""
        held = self.entries.get(identity)
        if held is None:
            return
        if self.is_settled or held.instance.is_leaving:
            self._drop(identity)
        else:
            held.usable_until = min(held.usable_until, self.settled_at)
            self.kept[identity] = held
            self.recorder.count('entries_kept_after_outage')
            self.tell('instance_kept', held.instance)
        self._note_change()

    @property
    def settled_at(self) -> float:
        """Monotonic seconds until which missing entries are kept."""
        return max(self.settled_from, self.timer.now())

    def replace(self, listed: Mapping[str, ListedInstance]) -> None:
        """Take a whole listing; changes are told after the first one."""
        is_first = not self.entries
        for identity in self.entries.keys() - listed.keys():
            self.remove(identity)
        for instance in listed.values():
            self._take(instance, is_told=not is_first)
        self._note_change()

    def expire(self) -> None:
        """Drop entries that did not come back in time."""
        now = self.timer.now()
        over = [
            identity
            for identity, held in self.kept.items()
            if held.usable_until <= now and self.is_settled
        ]
        for identity in over:
            self._drop(identity)
            self.recorder.count('entries_dropped_after_outage')
        if over:
            self._note_change()
        if self.departed:
            self.departed = {
                identity: since
                for identity, since in self.departed.items()
                if now - since < DEPARTED_SECONDS
            }

    def takes_work(self, identity: str) -> bool:
        """Return whether a request that waited may still be started.

        An instance that is not known may be new, so it takes work.
        """
        since = self.departed.get(identity, float('inf'))
        return self.timer.now() - since < LEAVING_SECONDS

    def usable(self, service: str) -> tuple[ListedInstance, ...]:
        """Return the instances of a service that take new work."""
        if self.services is None:
            self.services = by_service(self.entries.values())
        return self.services.get(service, ())

    def working(self) -> list[ListedInstance]:
        """Return the instances that are not leaving."""
        return [
            held.instance
            for held in self.entries.values()
            if not held.instance.is_leaving
        ]

    def near(self, failure_domain: str) -> list[ListedInstance]:
        """Return the instances of a failure domain that are not leaving."""
        return [
            instance
            for instance in self.working()
            if instance.failure_domain == failure_domain
        ]

    def at_address(self, address: str) -> ListedInstance | None:
        """Return the newest instance at ``address:port``."""
        if self.newest is None:
            self.newest = by_address(self.entries.values())
        return self.newest.get(address)

    def _note_leaving(self, instance: ListedInstance) -> None:
        if instance.is_leaving:
            self.departed.setdefault(instance.identity, self.timer.now())
        else:
            self.departed.pop(instance.identity, None)

    def _drop(self, identity: str) -> None:
        held = self.entries.pop(identity)
        self.kept.pop(identity, None)
        self.tell('instance_removed', held.instance)
        self.departed.setdefault(identity, self.timer.now())

    def _note_change(self) -> None:
        self.services = None
        self.newest = None


def by_service(held: Iterable[Held]) -> dict[str, Instances]:
    """Return the instances that are not leaving by their service."""
    services: dict[str, list[ListedInstance]] = {}
    for each in held:
        if not each.instance.is_leaving:
            named = services.setdefault(each.instance.service, [])
            named.append(each.instance)
    return {service: tuple(found) for service, found in services.items()}


def by_address(held: Iterable[Held]) -> dict[str, ListedInstance]:
    """Return the newest instance at each address."""
    instances = [each.instance for each in held]
    # Of equally old ones the first entry counts.
    instances.reverse()
    instances.sort(key=_born)
    return {each.address: each for each in instances}


def _born(instance: ListedInstance) -> int:
    return instance.born
