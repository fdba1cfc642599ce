"""Instances of each service that may get work, outside evacuated domains."""

from collections.abc import Callable, Mapping
from typing import Any, Final

from tanagerbend_routing.evacuation import Evacuations

Instances = tuple[Any, ...]
NOTHING: Final[Instances] = ()


class UsableInstances:
    """Caches the instances of each service that may get work.

    Parameters
    ==========

    evacuations : Evacuations
    group : callable
        Returns the instances that accept new work, by service.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        group: Callable[[], Mapping[str, Instances]],
    ) -> None:
        self.evacuations = evacuations
        self.group = group
        self.by_service: Mapping[str, Instances] | None = None
        # The same without some failure domains, by these.
        self.reduced: dict[frozenset[str], dict[str, Instances]] = {}

    def clear(self) -> None:
        """Discard the cached instances after a change."""
        self.by_service = None
        self.reduced.clear()

    def of(self, service: str) -> Instances:
        """Return the instances of a service for the next request.

        While a failure domain is evacuated, the result differs between calls
        so that the domain gets its share of the requests.
        """
        if not self.evacuations.domains:
            return self.anywhere(service)
        return self.outside(
            self.evacuations.excluded(), service
        ) or self.outside(self.evacuations.closed(), service)

    def anywhere(self, service: str) -> Instances:
        """Return the instances of a service in all failure domains."""
        if self.by_service is None:
            self.by_service = self.group()
        return self.by_service.get(service, NOTHING)

    def outside(self, domains: frozenset[str], service: str) -> Instances:
        """Return the instances of a service outside some failure domains."""
        if not domains:
            return self.anywhere(service)
        services = self.reduced.setdefault(domains, {})
        found = services.get(service)
        if found is None:
            found = tuple(
                instance
                for instance in self.anywhere(service)
                if instance.failure_domain not in domains
            )
            services[service] = found
        return found

    def is_evacuated(self, service: str) -> bool:
        """Return whether evacuations leave a service no instance."""
        return bool(self.anywhere(service)) and not (
            self.outside(self.evacuations.closed(), service)
        )
