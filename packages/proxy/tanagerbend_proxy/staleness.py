"""How old the knowledge of a daemon is, and what may explain it."""

from typing import Any

from tanagerbend_proxy.knowledge import Knowledge
from tanagerbend_proxy.link_use import LinkUse


class Staleness:
    """Time since the configuration service was heard, here or by a peer.

    Parameters
    ==========

    knowledge : Knowledge
    link : LinkUse
    bound : float
        Seconds within which changes must be in force.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        link: LinkUse,
        bound: float,
    ) -> None:
        self.knowledge = knowledge
        self.link = link
        self.timer = link.timer
        self.bound = bound
        self.heard_at = float('-inf')
        self.is_late = False

    @property
    def seconds(self) -> float:
        """Age of the version and of the entries that are known."""
        return self.timer.now() - self.heard_at

    def heard(self, age: float) -> None:
        """Note that the service was heard ``age`` seconds ago."""
        if self.is_late and age < self.seconds:
            self.write('changes_resumed')
        self.heard_at = max(self.heard_at, self.timer.now() - age)

    async def check(self) -> None:
        """Note when half of the time for changes has passed."""
        is_late = self.bound / 2 < self.seconds < float('inf')
        if is_late and not self.is_late:
            self.write('changes_late')
        self.is_late = is_late

    def write(self, event: str, **fields: Any) -> None:
        """Write what happened, with the age and the use of the link."""
        self.knowledge.log.write(
            event,
            **fields,
            age=round(self.seconds, 3),
            version=self.knowledge.version,
            **self.link.rates(),
        )
