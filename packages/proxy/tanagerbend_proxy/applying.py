"""Changes on their way into what a daemon knows."""

from tanagerbend_proxy.changes import Batch, Item, Removed, Unreadable
from tanagerbend_proxy.knowledge import Knowledge
from tanagerbend_proxy.relaying import ChangeLog
from tanagerbend_routing import ListedInstance, RoutingConfiguration


class Applier:
    """Takes changes once, in the order of the service's revisions.

    Parameters
    ==========

    knowledge : Knowledge

    Attributes
    ==========

    revision : int or None
        Up to which all changes have been taken; None before a listing.
    log : ChangeLog
        For peers.
    """

    def __init__(self, knowledge: Knowledge) -> None:
        self.knowledge = knowledge
        self.revision: int | None = None
        self.log = ChangeLog()

    def take_listing(self, batch: Batch) -> None:
        """Take all items; those that are missing are gone."""
        if batch.revision < (self.revision or 0):
            # Changes after it are known already.
            return
        listed = {}
        for item in batch.items:
            match item.fact:
                case ListedInstance():
                    listed[item.identity] = item.fact
                case RoutingConfiguration():
                    self._adopt(item.fact)
                case Unreadable(reason=reason):
                    self.knowledge.unreadable(item.identity, reason)
        registry = self.knowledge.registry
        gone = registry.entries.keys() - listed.keys()
        registry.replace(listed)
        self.knowledge.log.write(
            'service_listed',
            instances=len(listed),
            revision=batch.revision,
        )
        removed = tuple(Item(identity, Removed()) for identity in gone)
        whole = Batch((*removed, *batch.items), batch.revision)
        # A first listing says nothing of what was before it.
        known = self.log.batches[-1].revision if self.log.batches else None
        self.log.add(batch.revision if known is None else known, whole)
        self.revision = batch.revision

    def take(self, batch: Batch) -> None:
        """Take the changes up to a revision."""
        before = self.revision or 0
        if batch.revision <= before:
            # An exchange that began later has brought it.
            return
        for item in batch.items:
            self._take_item(item)
        self.revision = batch.revision
        if batch.items:
            self.log.add(before, batch)

    def _take_item(self, item: Item) -> None:
        registry = self.knowledge.registry
        match item.fact:
            case ListedInstance():
                registry.put(item.fact)
            case RoutingConfiguration():
                self._adopt(item.fact)
            case Removed():
                registry.remove(item.identity)
            case Unreadable(reason=reason):
                self.knowledge.unreadable(item.identity, reason)
                registry.remove(item.identity)

    def _adopt(self, offered: RoutingConfiguration) -> None:
        self.knowledge.adopt(offered)
        if self.knowledge.configuration is not None:
            self.log.remember(self.knowledge.configuration)
