"""Age of a daemon's configuration and entries, with log fields for it."""

import contextlib
import math
import traceback
from typing import Any

from tanagerbend_proxy.changes import Batch
from tanagerbend_proxy.following_limits import MAX_REASON_LENGTH
from tanagerbend_proxy.knowledge import Arrival, DeploymentState
from tanagerbend_proxy.link_use import LinkUse


class Staleness:
    """Time since the last contact with the configuration service.

    A contact of a peer, at the age that the peer states, counts too.

    Parameters
    ==========

    knowledge : DeploymentState
    link : LinkUse
    bound : float
        Seconds within which changes must be in force.

    Attributes
    ==========

    last_contact : float
        Monotonic time at which all changes were known.
    last_entries_contact : float
        Monotonic time at which the changes of instances were known, which
        arrive before a large configuration.
    """

    def __init__(
        self,
        knowledge: DeploymentState,
        link: LinkUse,
        bound: float,
    ) -> None:
        self.knowledge = knowledge
        self.link = link
        self.timer = link.timer
        self.bound = bound
        self.last_contact = float('-inf')
        self.last_entries_contact = float('-inf')
        self.is_late = False

    @property
    def seconds(self) -> float:
        """Age of the version and of the entries."""
        return self.timer.now() - self.last_contact

    @property
    def entries_seconds(self) -> float:
        """Age of the entries."""
        return self.timer.now() - self.last_entries_contact

    def record_contact(self, age: float) -> None:
        """Record a contact with the service ``age`` seconds ago."""
        if self.is_late and age < self.seconds:
            self.write('changes_resumed')
        self.last_contact = max(self.last_contact, self.timer.now() - age)
        self.record_entries_contact(age)

    def record_entries_contact(self, age: float) -> None:
        """Record that the entries are complete up to ``age`` seconds ago."""
        known_at = self.timer.now() - age
        self.last_entries_contact = max(self.last_entries_contact, known_at)

    def arriving(
        self, source: str, batch: Batch, transfer: float
    ) -> contextlib.AbstractContextManager[None]:
        """Log changes that are applied meanwhile with how they arrived.

        ``transfer`` is in seconds; enter it before the contact is recorded.
        """
        if not batch.items:
            return contextlib.nullcontext()
        age = self.seconds
        if all(item.identity for item in batch.items):
            age = self.entries_seconds
        missing_for = age if math.isfinite(age) else None
        return self.knowledge.arriving(Arrival(source, missing_for, transfer))

    async def check(self) -> None:
        """Log once when half of the time for changes has passed."""
        is_late = self.bound / 2 < self.seconds < float('inf')
        if is_late and not self.is_late:
            self.write('changes_late')
        self.is_late = is_late

    def write_unexpected(self, error: Exception) -> None:
        """Count and log an unexpected exception."""
        self.knowledge.recorder.count('following_failed')
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.write(
            'following_failed',
            reason=f'{type(error).__name__}: {error}'[:MAX_REASON_LENGTH],
            place=f'{frame.name}, line {frame.lineno}',
        )

    def write(self, event: str, **fields: Any) -> None:
        """Write a log line with the age and the use of the link."""
        self.knowledge.log.write(
            event,
            **fields,
            age=round(self.seconds, 3),
            version=self.knowledge.version,
            **self.link.rates(),
        )
