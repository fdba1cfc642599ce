"""Applies changes of the service to the state of a daemon."""

import attrs

from tanagerbend_proxy.changes import Batch, Item, Removed, Unreadable
from tanagerbend_proxy.item_order import without_superseded
from tanagerbend_proxy.knowledge import DeploymentState
from tanagerbend_proxy.positions import START, StorePosition
from tanagerbend_proxy.relaying import ChangeLog
from tanagerbend_routing import (
    EvacuationOrder,
    ListedInstance,
    RoutingConfiguration,
)


class Applier:
    """Applies each change once, in the order of the service's positions.

    Parameters
    ==========

    knowledge : DeploymentState

    Attributes
    ==========

    position : StorePosition or None
        Up to which all changes have been applied; None before a listing.
    entries_position : StorePosition
        Up to which the changes of instances have been applied; they may be
        ahead of the configuration.
    era : int or None
        Latest era of the service; None before a listing.
    log : ChangeLog
        Recent changes of instances, for polls of peers.
    """

    def __init__(self, knowledge: DeploymentState) -> None:
        self.knowledge = knowledge
        self.position: StorePosition | None = None
        self.entries_position = START
        self.era: int | None = None
        self.log = ChangeLog()
        # Whether evacuations are in force that the last listing lacked.
        self.has_unlisted_orders = False

    def reset(self) -> None:
        """Require a listing, since changes may be missing."""
        self.position = None
        self.entries_position = START

    def is_outdated(self, position: StorePosition) -> bool:
        """Return whether a position is of an earlier era than known here."""
        return self.era is not None and position.era < self.era

    def apply_listing(self, batch: Batch) -> None:
        """Apply a full listing; entries missing in it are removed."""
        if batch.position < (self.position or START):
            # Later changes have been applied already.
            return
        is_copy = self._begin_era(batch.position)
        if is_copy:
            # Entries that the copy lacks are written again.
            self.knowledge.registry.outage.begin_grace_period()
            batch = self._without_returned(batch)
        elif batch.position.era:
            batch = self._without_returned(batch, only_known=True)
        self._adopt_configurations(batch)
        returned = (
            self.knowledge.registry.evacuations.ordered
            if is_copy
            else frozenset()
        )
        evacuated = _evacuated(batch, frozenset())
        self.has_unlisted_orders = not returned <= evacuated
        # The entries may have been read up to a later position meanwhile.
        if batch.position >= self.entries_position:
            self._replace_entries(batch)
        self.knowledge.set_evacuated(evacuated | returned)
        self.position = batch.position

    def _begin_era(self, position: StorePosition) -> bool:
        """Adopt the era of a position; return whether it is a later one."""
        known = self.era
        self.era = max(position.era, known or 0)
        if known is None or position.era <= known:
            return False
        self.knowledge.recorder.count('eras_begun')
        self.knowledge.log.write(
            'era_begun', era=position.era, revision=position.revision
        )
        return True

    def _without_returned(
        self, batch: Batch, *, only_known: bool = False
    ) -> Batch:
        """Return a batch in which instances that have left stay so.

        The copy may be older than their departures, also when it is listed
        again.  Then, an instance that is not known has been written since.
        """
        registry = self.knowledge.registry
        items = tuple(
            Item(item.identity, registry.retain_departure(item.value))
            if isinstance(item.value, ListedInstance)
            and (not only_known or item.identity in registry.entries)
            else item
            for item in batch.items
        )
        return attrs.evolve(batch, items=items)

    def _with_unlisted(self, batch: Batch) -> Batch:
        """Return a reply of a later era that removes what it does not list.

        It holds the whole listing with which its sender began the era, but
        the sender may not have known all entries that are known here.
        """
        named = {item.identity for item in batch.items}
        unlisted = self.knowledge.registry.entries.keys() - named
        removed = tuple(Item(identity, Removed()) for identity in unlisted)
        return attrs.evolve(batch, items=(*removed, *batch.items))

    def _replace_entries(self, batch: Batch) -> None:
        listed = {}
        for item in batch.items:
            match item.value:
                case ListedInstance():
                    listed[item.identity] = item.value
                case Unreadable(reason=reason) if item.identity:
                    self.knowledge.unreadable(item.identity, reason)
        registry = self.knowledge.registry
        unlisted = registry.entries.keys() - listed.keys()
        registry.replace(listed)
        self.knowledge.log.write(
            'service_listed',
            instances=len(listed),
            era=batch.position.era,
            revision=batch.position.revision,
        )
        removed = tuple(Item(identity, Removed()) for identity in unlisted)
        complete = Batch((*removed, *_newest_entries(batch)), batch.position)
        # The first listing does not cover changes before its position.
        previous = self.log.batches[-1].position if self.log.batches else None
        self.log.add(batch.position if previous is None else previous, complete)
        self.entries_position = batch.position

    def apply(self, batch: Batch) -> None:
        """Apply the changes up to a position.

        Concurrent exchanges may deliver the same changes, and entries may be
        delivered before the configuration of the same position.
        """
        if batch.after is not None and not self._follows(batch.after):
            return
        if self._begin_era(batch.position):
            batch = self._without_returned(self._with_unlisted(batch))
        self._adopt_configurations(batch)
        if batch.position > self.entries_position:
            entries = without_superseded(batch.items)
            for item in entries:
                self._apply_entry(item)
            if entries:
                self.log.add(
                    self.entries_position, Batch(entries, batch.position)
                )
            self.entries_position = batch.position
        complete = batch.position
        if batch.complete is not None:
            complete = min(batch.complete, complete)
        if complete > (self.position or START):
            self._apply_evacuations(batch)
        self.position = max(self.position or START, complete)

    def _follows(self, after: StorePosition) -> bool:
        """Return whether all changes up to a position have been applied."""
        return self.position is not None and after <= self.entries_position

    def _apply_entry(self, item: Item) -> None:
        registry = self.knowledge.registry
        match item.value:
            case ListedInstance():
                registry.put(item.value)
            case Removed():
                registry.remove(item.identity)
            case Unreadable(reason=reason):
                self.knowledge.unreadable(item.identity, reason)
                registry.remove(item.identity)

    def _apply_evacuations(self, batch: Batch) -> None:
        ordered = self.knowledge.registry.evacuations.ordered
        evacuated = _evacuated(batch, ordered)
        if evacuated != ordered:
            self.knowledge.set_evacuated(evacuated)

    def _adopt_configurations(self, batch: Batch) -> None:
        """Adopt the configurations of a batch, the newest of which stays."""
        for item in batch.items:
            match item.value:
                case RoutingConfiguration():
                    self._adopt(item.value)
                case Unreadable(reason=reason) if not item.identity:
                    self.knowledge.unreadable(item.identity, reason)

    def _adopt(self, configuration: RoutingConfiguration) -> None:
        if self.knowledge.adopt(configuration):
            self.log.add_version(self.knowledge.configuration)


def _newest_entries(batch: Batch) -> tuple[Item, ...]:
    """Return the newest item of each instance."""
    entries = {item.identity: item for item in batch.items if item.identity}
    return tuple(entries.values())


def _evacuated(batch: Batch, ordered: frozenset[str]) -> frozenset[str]:
    """Return the evacuated failure domains after the changes of a batch."""
    if batch.evacuated is not None:
        return batch.evacuated
    domains = set(ordered)
    for item in batch.items:
        match item.value:
            case EvacuationOrder(failure_domain=domain, is_in_force=True):
                domains.add(domain)
            case EvacuationOrder(failure_domain=domain):
                domains.discard(domain)
    return frozenset(domains)
