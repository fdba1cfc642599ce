"""Instances that the platform lists, including those hidden by an outage.

Instances leave, crash and lose their entries while requests continue.  While
the platform service is stable, an instance is removed as soon as its entry
disappears.  Around an outage of the service, an entry may have expired only
because its instance could not renew it, so the instance stays usable for a
grace period.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_routing.absences import Absences
from tanagerbend_routing.entry_order import EntryOrder
from tanagerbend_routing.listed_instance import ListedInstance
from tanagerbend_routing.occupancy import NOTHING_DISPLACED, Occupancy
from tanagerbend_routing.evacuation import Evacuations
from tanagerbend_routing.outage import Outage
from tanagerbend_routing.usable import UsableInstances

# Time for which queued requests may still start at an instance after the news
# that it leaves.  Platforms grant two seconds or more from the acknowledged
# entry, and the news takes up to 1.2 s: changes are batched, a source may not
# respond, and another one is asked.
DEPARTURE_GRACE_SECONDS: Final = 0.5
# Time for which departed instances are remembered, which is longer than any
# request waits.
DEPARTURE_MEMORY_SECONDS: Final = 30.0


Instances = tuple[ListedInstance, ...]


def ignore_change(
    _event: str, _instance: ListedInstance, **_fields: Any
) -> None:
    """Ignore a change."""


@attrs.define
class RegistryEntry:
    """Listed instance, and since when its entry is missing.

    ``missing_since`` is in monotonic seconds; None if the entry is listed.
    ``arrival`` orders the entries by when they were written last, as far as
    this daemon saw it; those of one listing are equal.
    """

    instance: ListedInstance
    missing_since: float | None = None
    arrival: int = 0


class InstanceRegistry:
    """Instances known to this daemon.

    Parameters
    ==========

    recorder : Recorder
    notify : callable
        Called with the name of the event, the instance and other fields of
        the log line for each change.
    """

    def __init__(
        self,
        recorder: Recorder,
        notify: Callable[..., None] = ignore_change,
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
        self.cached_occupancy: Occupancy | None = None
        # Instances that were displaced when the cache was built last.
        self.displaced = NOTHING_DISPLACED
        self.arrivals = 0
        self.absences = Absences(recorder.timer, self._clear_caches)
        self.outage = Outage(recorder.timer)
        self.evacuations = Evacuations(recorder.timer)
        self.usable_instances = UsableInstances(
            self.evacuations, lambda: by_service(self._not_displaced())
        )
        self.departed_at: dict[str, float] = {}
        # Also of instances whose entry was removed, while their departure is
        # remembered.
        self.order = EntryOrder(recorder.timer)

    @property
    def is_settled(self) -> bool:
        """Whether a missing entry means that its instance is gone."""
        return self.outage.is_settled

    def put(self, instance: ListedInstance) -> None:
        """Add or update an entry that arrived; ignore an outdated one."""
        if is_newest(self, instance):
            self.arrivals += 1
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
        is_rewritten = known is None or is_changed(known.instance, instance)
        self.entries[instance.identity] = RegistryEntry(
            instance,
            arrival=self.arrivals if is_rewritten else known.arrival,
        )
        self.missing.pop(instance.identity, None)
        if is_rewritten:
            self.absences.forget(instance.address)
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
        self.order.remove(identity)
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
        """Replace all entries by a listing; ignore its outdated ones.

        Added and changed entries of the first listing are not notified.
        """
        is_first = not self.entries
        self.arrivals += 1
        known = self.entries.keys() | self.order.outdated.keys()
        for identity in known - listed.keys():
            self.remove(identity)
        for instance in listed.values():
            if is_newest(self, instance):
                self._store(instance, is_notified=not is_first)
        self._clear_caches()

    def expire(self) -> None:
        """Remove missing entries after their grace period.

        Believes entries that seemed outdated and stand for long enough.
        """
        expired = tuple(self.missing) if self.is_settled else ()
        for identity in expired:
            self._drop(identity)
            self.recorder.count('entries_dropped_after_outage')
        if expired:
            self._clear_caches()
        self.absences.expire()
        for entry in self.order.standing() if self.is_settled else ():
            self.order.believe(entry)
            self.recorder.count('outdated_entries_believed')
            self.put(entry)
        forget_departures(self)

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
        if self.is_displaced(identity):
            return False
        since = self.departed_at.get(identity, float('inf'))
        return self.timer.now() - since < DEPARTURE_GRACE_SECONDS

    def is_displaced(self, identity: str) -> bool:
        """Return whether an instance is known not to be at its address."""
        return (
            identity in self.occupancy.displaced
            or identity in self.absences.known
        )

    @property
    def occupancy(self) -> Occupancy:
        """Which of the entries at one address are in use."""
        found = self.cached_occupancy
        if found is None:
            found = Occupancy.of(self.entries.values(), self.absences.known)
            self.cached_occupancy = found
            notify_displaced(self, found.displaced)
        return found

    def usable(self, service: str) -> tuple[ListedInstance, ...]:
        """Return the instances of a service that accept new work."""
        return self.usable_instances.of(service)

    def refuses_evacuated(self, identity: str) -> bool:
        """Return whether an instance refuses work by an evacuation.

        An unknown instance may be new, so it takes work.
        """
        entry = self.entries.get(identity)
        return entry is not None and self.evacuations.refuses_work(
            entry.instance.failure_domain
        )

    def working(self) -> list[ListedInstance]:
        """Return the instances that are neither leaving nor displaced."""
        return [
            entry.instance
            for entry in self._not_displaced()
            if not entry.instance.is_leaving
        ]

    def near(self, failure_domain: str) -> list[ListedInstance]:
        """Return those of the working instances in a failure domain."""
        return [
            instance
            for instance in self.working()
            if instance.failure_domain == failure_domain
        ]

    def at_address(self, address: str) -> ListedInstance | None:
        """Return the latest instance at ``address:port``."""
        found = self.occupancy.holders.get(address)
        return None if found is None else found.instance

    def _not_displaced(self) -> list[RegistryEntry]:
        displaced = self.occupancy.displaced
        return [
            entry
            for identity, entry in self.entries.items()
            if identity not in displaced
        ]

    def _update_departure(self, instance: ListedInstance) -> None:
        if instance.is_leaving:
            self.departed_at.setdefault(instance.identity, self.timer.now())
        else:
            self.departed_at.pop(instance.identity, None)

    def _drop(self, identity: str) -> None:
        entry = self.entries.pop(identity)
        self.missing.pop(identity, None)
        self.absences.forget(entry.instance.address)
        self.notify('instance_removed', entry.instance)
        since = entry.missing_since
        self.departed_at.setdefault(
            identity, self.timer.now() if since is None else since
        )

    def _clear_caches(self) -> None:
        self.usable_instances.clear()
        self.cached_occupancy = None


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


def is_changed(known: ListedInstance, instance: ListedInstance) -> bool:
    """Return whether an entry says anything new.

    The time until which an instance is cold is computed at each reading.
    """
    return known != attrs.evolve(
        instance, cold_until=known.cold_until, sequence=known.sequence
    )


def forget_departures(registry: InstanceRegistry) -> None:
    """Forget instances that departed long ago."""
    oldest = registry.timer.now() - DEPARTURE_MEMORY_SECONDS
    forgotten = [
        identity
        for identity, since in registry.departed_at.items()
        if since <= oldest
    ]
    for identity in forgotten:
        registry.departed_at.pop(identity)
        if identity not in registry.entries:
            registry.order.forget(identity)


def is_newest(registry: InstanceRegistry, instance: ListedInstance) -> bool:
    """Return whether an entry is the newest; count and notify if it isn't."""
    if registry.order.accept(instance):
        return True
    registry.recorder.count('entries_outdated')
    kept = registry.missing.pop(instance.identity, None)
    if kept is not None:
        # The platform lists it again, however old the entry is.
        kept.missing_since = None
    known = registry.order.newest[instance.identity]
    is_same_start = known.born == instance.born
    # After a return from a copy, most of its entries are outdated but say the
    # same.
    if not is_same_start or known.is_leaving != instance.is_leaving:
        registry.notify(
            'entry_outdated',
            instance,
            is_leaving=instance.is_leaving,
            born=instance.born,
            sequence=instance.sequence,
            known_born=known.born,
            known_sequence=known.sequence,
        )
    return False


def notify_displaced(
    registry: InstanceRegistry, displaced: Mapping[str, str]
) -> None:
    """Notify what has changed since displaced entries were found last."""
    before = registry.displaced
    registry.displaced = displaced
    for identity in displaced.keys() - before.keys():
        instance = registry.entries[identity].instance
        holder = displaced[identity]
        registry.notify('instance_displaced', instance, holder=holder)
    for returned in before.keys() - displaced.keys():
        entry = registry.entries.get(returned)
        if entry is not None:
            registry.notify('instance_undisplaced', entry.instance)
