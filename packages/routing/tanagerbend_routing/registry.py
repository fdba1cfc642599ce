"""Instances that the platform lists, including those hidden by an outage.

Instances leave, crash and lose their entries while requests continue.  While
the platform service is stable, an instance is removed as soon as its entry
disappears.  Around an outage of the service, an entry may have expired only
because its instance could not renew it, so the instance stays usable for a
grace period.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_routing.outage import Outage

# Time for which queued requests may still start at an instance after the news
# that it leaves.  Platforms grant two seconds or more from the acknowledged
# entry, and the news takes up to 1.2 s: changes are batched, a source may not
# respond, and another one is asked.
DEPARTURE_GRACE_SECONDS: Final = 0.5
# Time for which departed instances are remembered, which is longer than any
# request waits.
DEPARTURE_MEMORY_SECONDS: Final = 30.0


@attrs.frozen
class ListedInstance:
    """Entry of one instance in the listing of the platform.

    Parameters
    ==========

    identity : str
        Identity of the instance, which most restarts change.
    address : str
        ``address:port`` where the instance listens for its own host.
    service, failure_domain : str
    slots : int
    is_leaving : bool
    cold_until : float
        Monotonic seconds until which the instance is slow after its start.
    born : int
        Unix time of its start in milliseconds; 0 if unknown.
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
        """Address of the host without the port."""
        return self.address.rpartition(':')[0]


Instances = tuple[ListedInstance, ...]


def ignore_change(_event: str, _instance: ListedInstance) -> None:
    """Ignore a change."""


@attrs.define
class RegistryEntry:
    """Listed instance, and since when its entry is missing.

    ``missing_since`` is in monotonic seconds; None if the entry is listed.
    """

    instance: ListedInstance
    missing_since: float | None = None


class InstanceRegistry:
    """Instances known to this daemon.

    Parameters
    ==========

    recorder : Recorder
    notify : callable
        Called with the name of the event and the instance for each change.
    """

    def __init__(
        self,
        recorder: Recorder,
        notify: Callable[[str, ListedInstance], None] = ignore_change,
    ) -> None:
        self.recorder = recorder
        self.notify = notify
        self.timer = recorder.timer
        self.entries: dict[str, RegistryEntry] = {}
        # Missing entries that are kept until their outage is over and its
        # grace period has passed.
        self.missing: dict[str, RegistryEntry] = {}
        # Caches that are built from the entries on first use; None after a
        # change.
        self.usable_by_service: dict[str, Instances] | None = None
        self.newest_by_address: dict[str, ListedInstance] | None = None
        self.outage = Outage(recorder.timer)
        self.departed_at: dict[str, float] = {}

    @property
    def is_settled(self) -> bool:
        """Whether a missing entry means that its instance is gone."""
        return self.outage.is_settled

    def put(self, instance: ListedInstance) -> None:
        """Add or update an entry that was written."""
        if self._store(instance):
            self._clear_caches()

    def _store(
        self,
        instance: ListedInstance,
        *,
        is_notified: bool = True,
    ) -> bool:
        """Store an entry; return whether it differs from the known one."""
        known = self.entries.get(instance.identity)
        self.entries[instance.identity] = RegistryEntry(instance)
        self.missing.pop(instance.identity, None)
        if known is not None and known.instance == instance:
            return False
        self._update_departure(instance)
        is_leaving = instance.is_leaving
        is_change = known is None or known.instance.is_leaving != is_leaving
        if is_notified and is_change:
            self.notify(
                'instance_leaving' if is_leaving else 'instance_listed',
                instance,
            )
        return True

    def remove(self, identity: str) -> None:
        """Remove an entry, or keep it for the grace period after an outage."""
        entry = self.entries.get(identity)
        if entry is None:
            return
        if self.is_settled or entry.instance.is_leaving:
            self._drop(identity)
        else:
            if entry.missing_since is None:
                entry.missing_since = self.timer.now()
            self.missing[identity] = entry
            self.recorder.count('entries_kept_after_outage')
            self.notify('instance_kept', entry.instance)
        self._clear_caches()

    def replace(self, listed: Mapping[str, ListedInstance]) -> None:
        """Replace all entries by a listing.

        Added and changed entries of the first listing are not notified.
        """
        is_first = not self.entries
        for identity in self.entries.keys() - listed.keys():
            self.remove(identity)
        for instance in listed.values():
            self._store(instance, is_notified=not is_first)
        self._clear_caches()

    def expire(self) -> None:
        """Remove missing entries after their grace period."""
        expired = tuple(self.missing) if self.is_settled else ()
        for identity in expired:
            self._drop(identity)
            self.recorder.count('entries_dropped_after_outage')
        if expired:
            self._clear_caches()
        if self.departed_at:
            now = self.timer.now()
            self.departed_at = {
                identity: since
                for identity, since in self.departed_at.items()
                if now - since < DEPARTURE_MEMORY_SECONDS
            }

    def retain_departure(self, instance: ListedInstance) -> ListedInstance:
        """Return a listed instance as leaving if it has left before.

        A start after that, which has another time of birth, has not left.
        """
        known = self.entries.get(instance.identity)
        if known is None:
            has_left = instance.identity in self.departed_at
        else:
            is_same_start = known.instance.born == instance.born
            has_left = known.instance.is_leaving and is_same_start
        return attrs.evolve(instance, is_leaving=True) if has_left else instance

    def takes_work(self, identity: str) -> bool:
        """Return whether a queued request may still start at an instance.

        An unknown instance may be new, so it takes work.
        """
        since = self.departed_at.get(identity, float('inf'))
        return self.timer.now() - since < DEPARTURE_GRACE_SECONDS

    def usable(self, service: str) -> tuple[ListedInstance, ...]:
        """Return the instances of a service that accept new work."""
        if self.usable_by_service is None:
            self.usable_by_service = by_service(self.entries.values())
        return self.usable_by_service.get(service, ())

    def working(self) -> list[ListedInstance]:
        """Return the instances that are not leaving."""
        return [
            entry.instance
            for entry in self.entries.values()
            if not entry.instance.is_leaving
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
        if self.newest_by_address is None:
            self.newest_by_address = by_address(self.entries.values())
        return self.newest_by_address.get(address)

    def _update_departure(self, instance: ListedInstance) -> None:
        if instance.is_leaving:
            self.departed_at.setdefault(instance.identity, self.timer.now())
        else:
            self.departed_at.pop(instance.identity, None)

    def _drop(self, identity: str) -> None:
        entry = self.entries.pop(identity)
        self.missing.pop(identity, None)
        self.notify('instance_removed', entry.instance)
        since = entry.missing_since
        self.departed_at.setdefault(
            identity, self.timer.now() if since is None else since
        )

    def _clear_caches(self) -> None:
        self.usable_by_service = None
        self.newest_by_address = None


def by_service(
    registry_entries: Iterable[RegistryEntry],
) -> dict[str, Instances]:
    """Return the instances that are not leaving, grouped by service."""
    services: dict[str, list[ListedInstance]] = {}
    for entry in registry_entries:
        if not entry.instance.is_leaving:
            members = services.setdefault(entry.instance.service, [])
            members.append(entry.instance)
    return {service: tuple(found) for service, found in services.items()}


def by_address(
    registry_entries: Iterable[RegistryEntry],
) -> dict[str, ListedInstance]:
    """Return the newest instance at each address."""
    instances = [entry.instance for entry in registry_entries]
    # Among instances of equal age, the first entry takes precedence.
    instances.reverse()
    instances.sort(key=_born)
    return {each.address: each for each in instances}


def _born(instance: ListedInstance) -> int:
    return instance.born
