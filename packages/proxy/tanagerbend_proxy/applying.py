"""Applies changes of the service to the state of a daemon."""

from tanagerbend_proxy.changes import Batch, Item, Removed, Unreadable
from tanagerbend_proxy.knowledge import DeploymentState
from tanagerbend_proxy.relaying import ChangeLog
from tanagerbend_routing import (
    EvacuationOrder,
    ListedInstance,
    RoutingConfiguration,
)


class Applier:
    """Applies each change once, in the order of the service's revisions.

    Parameters
    ==========

    knowledge : DeploymentState

    Attributes
    ==========

    revision : int or None
        Up to which all changes have been applied; None before a listing.
    entries_revision : int
        Up to which the changes of instances have been applied; they may be
        ahead of the configuration.
    log : ChangeLog
        Recent changes of instances, for polls of peers.
    """

    def __init__(self, knowledge: DeploymentState) -> None:
        self.knowledge = knowledge
        self.revision: int | None = None
        self.entries_revision = 0
        self.log = ChangeLog()

    def reset(self) -> None:
        """Require a listing, since changes may be missing."""
        self.revision = None
        self.entries_revision = 0

    def apply_listing(self, batch: Batch) -> None:
        """Apply a full listing; entries missing in it are removed."""
        if batch.revision < (self.revision or 0):
            # Later changes have been applied already.
            return
        self._adopt_configurations(batch)
        self.knowledge.set_evacuated(_evacuated(batch, frozenset()))
        # The entries may have been read up to a later revision meanwhile.
        if batch.revision >= self.entries_revision:
            self._replace_entries(batch)
        self.revision = batch.revision

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
            revision=batch.revision,
        )
        removed = tuple(Item(identity, Removed()) for identity in unlisted)
        complete = Batch((*removed, *_newest_entries(batch)), batch.revision)
        # The first listing does not cover changes before its revision.
        previous = self.log.batches[-1].revision if self.log.batches else None
        self.log.add(batch.revision if previous is None else previous, complete)
        self.entries_revision = batch.revision

    def apply(self, batch: Batch) -> None:
        """Apply the changes up to a revision.

        Concurrent exchanges may deliver the same changes, and entries may be
        delivered before the configuration of the same revision.
        """
        if batch.after is not None and not self._follows(batch.after):
            return
        self._adopt_configurations(batch)
        if batch.revision > self.entries_revision:
            entries = _newest_entries(batch)
            for item in entries:
                self._apply_entry(item)
            if entries:
                self.log.add(
                    self.entries_revision, Batch(entries, batch.revision)
                )
            self.entries_revision = batch.revision
        complete = batch.revision
        if batch.complete is not None:
            complete = min(batch.complete, complete)
        if complete > (self.revision or 0):
            self._apply_evacuations(batch)
            self.revision = complete

    def _follows(self, after: int) -> bool:
        """Return whether all changes up to a revision have been applied."""
        return self.revision is not None and after <= self.entries_revision

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
