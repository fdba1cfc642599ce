"""Choice of an instance by what this daemon itself observes."""

from typing import Final

import attrs

from tanagerbend_interfaces import Member, Randomness
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_routing.table import Route

CHOICES: Final = 2


@attrs.define
class InstanceStats:
    """What this daemon observes of one instance."""

    outstanding: int = 0


class Balancer:
    """Chooses the less loaded of two random instances.

    Parameters
    ==========

    failure_domain : str
        Own failure domain, which is preferred.
    random : Randomness
    """

    def __init__(self, failure_domain: str, random: Randomness) -> None:
        self.failure_domain = failure_domain
        self.random = random
        self.stats: dict[str, InstanceStats] = {}

    def choose(
        self,
        route: Route,
        exclude: frozenset[str] = frozenset(),
    ) -> Member | Refusal:
        """Return an instance whose host is not in ``exclude``."""
        candidates = [
            member for member in route.instances if member.host not in exclude
        ]
        if not candidates:
            reason = f'no instance of {route.work.service!r} is left'
            return Refusal(ResultCode.NO_INSTANCE, reason)
        picked = self.random.sample(candidates, min(CHOICES, len(candidates)))
        return min(picked, key=self._load)

    def _load(self, member: Member) -> int:
        return self.of(member.host).outstanding

    def of(self, host: str) -> InstanceStats:
        """Return the statistics of an instance."""
        return self.stats.setdefault(host, InstanceStats())

    def started(self, host: str) -> None:
        """Count a call sent to an instance."""
        self.of(host).outstanding += 1

    def finished(self, host: str) -> None:
        """Count the end of a call."""
        self.of(host).outstanding -= 1
