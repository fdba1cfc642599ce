"""Route table of one version and one view of the instances."""

from collections.abc import Callable

import attrs

from tanagerbend_interfaces import Member
from tanagerbend_model import Refusal, ResultCode, Sheet, Version, WorkClass


@attrs.frozen
class Route:
    """A work class together with the instances of its service."""

    work: WorkClass
    instances: tuple[Member, ...]


@attrs.frozen(eq=False)
class RouteTable:
    """Immutable routes; a new table replaces the old one as a whole.

    Explanation
    ===========

    A route holds the very member records that may serve it, so it cannot
    point at an instance that this daemon does not know.

    Parameters
    ==========

    version : Version
    services : mapping of str to tuple of Route
        Routes of a service, the longest path first.
    """

    version: Version
    services: dict[str, tuple[Route, ...]]

    @classmethod
    def build(
        cls,
        version: Version,
        sheet: Sheet,
        instances: Callable[[str], tuple[Member, ...]],
    ) -> 'RouteTable':
        """Build the table of a sheet; ``instances`` maps a service."""
        services = {}
        for service in sheet.services:
            members = instances(service)
            routes = [
                Route(work, members) for work in sheet.of_service(service)
            ]
            routes.sort(key=_specificity, reverse=True)
            services[service] = tuple(routes)
        return cls(version, services)

    def match(self, service: str, method: str, path: str) -> Route | Refusal:
        """Return the route of a request."""
        routes = self.services.get(service)
        if routes is None:
            reason = f'service {service!r} is not in the sheet'
            return Refusal(ResultCode.ROUTE_UNKNOWN, reason)
        for route in routes:
            if _covers(route.work, method, path):
                return route
        reason = f'no work of {service!r} covers {method} {path}'
        return Refusal(ResultCode.ROUTE_UNKNOWN, reason)


def _specificity(route: Route) -> tuple[int, bool]:
    return len(route.work.path), bool(route.work.method)


def _covers(work: WorkClass, method: str, path: str) -> bool:
    if work.method and work.method != method:
        return False
    prefix = work.path.rstrip('/')
    if not path.startswith(prefix):
        return False
    # '/orders' covers '/orders' and '/orders/7' but not '/orders-old'.
    rest = path[len(prefix) :]
    return not rest or rest[0] in '/?'
