"""Applies changes of the service to the state of a daemon."""

from tanagerbend_proxy.changes import Batch, Item, Removed, Unreadable
from tanagerbend_proxy.knowledge import DeploymentState
from tanagerbend_proxy.relaying import ChangeLog
from tanagerbend_routing import ListedInstance, RoutingConfiguration


class Applier:
    """Applies each change once, in the order of the service's revisions.

    Parameters
    ==========

    knowledge : DeploymentState

    Attributes
    ==========

    revision : int or None
        Up to which all changes have been applied; None before a listing.
    log : ChangeLog
        Recent changes, for polls of peers.
    """

    def __init__(self, knowledge: DeploymentState) -> None:
        self.knowledge = knowledge
        self.revision: int | None = None
        self.log = ChangeLog()

    def apply_listing(self, batch: Batch) -> None:
        """Apply a full listing; entries missing in it are removed."""
        if batch.revision < (self.revision or 0):
            # Later changes have been applied already.
            return
        listed = {}
        for item in batch.items:
            match item.value:
                case ListedInstance():
                    listed[item.identity] = item.value
                case RoutingConfiguration():
                    self._adopt(item.value)
                case Unreadable(reason=reason):
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
        complete = Batch((*removed, *batch.items), batch.revision)
        # The first listing does not cover changes before its revision.
        previous = self.log.batches[-1].revision if self.log.batches else None
        self.log.add(batch.revision if previous is None else previous, complete)
        self.revision = batch.revision

    def apply(self, batch: Batch) -> None:
        """Apply the changes up to a revision."""
        before = self.revision or 0
        if batch.revision <= before:
            # A concurrent exchange has delivered these changes already.
            return
        for item in batch.items:
            self._apply_item(item)
        self.revision = batch.revision
        if batch.items:
            self.log.add(before, batch)

    def _apply_item(self, item: Item) -> None:
        registry = self.knowledge.registry
        match item.value:
            case ListedInstance():
                registry.put(item.value)
            case RoutingConfiguration():
                self._adopt(item.value)
            case Removed():
                registry.remove(item.identity)
            case Unreadable(reason=reason):
                self.knowledge.unreadable(item.identity, reason)
                registry.remove(item.identity)

    def _adopt(self, configuration: RoutingConfiguration) -> None:
        self.knowledge.adopt(configuration)
        if self.knowledge.configuration is not None:
            self.log.add_version(self.knowledge.configuration)
