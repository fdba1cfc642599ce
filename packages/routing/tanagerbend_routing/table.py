"""Routes of one sheet version with the instances known to this daemon."""

import re
from collections.abc import Callable, Iterable
from typing import Final
from urllib.parse import unquote

import attrs

from tanagerbend_interfaces import Member
from tanagerbend_model import Refusal, ResultCode, Sheet, Version, WorkClass

# Spellings that a backend server may interpret as a different path.
AMBIGUOUS_PATH: Final = re.compile(r'%|//|/\.')
RELATIVE_SEGMENTS: Final = frozenset(('.', '..'))


@attrs.frozen
class Route:
    """A work class together with the instances of its service.

    Parameters
    ==========

    work : WorkClass
    instances : tuple of Member
    """

    work: WorkClass
    instances: tuple[Member, ...]


@attrs.frozen(eq=False)
class RouteTable:
    """Immutable table of routes, which is only replaced as a whole.

    Explanation
    ===========

    A route holds the member records of its instances rather than their
    names, so it cannot refer to an instance that this daemon does not know.

    Parameters
    ==========

    version : Version
    services : mapping of str to tuple of Route
        Routes of each service, the longest path first.
    version_text : str
        The version as it is sent in headers.
    """

    version: Version
    services: dict[str, tuple[Route, ...]]
    version_text: str = ''

    @classmethod
    def build(
        cls,
        version: Version,
        sheet: Sheet,
        instances: Callable[[str], tuple[Member, ...]],
    ) -> 'RouteTable':
        """Build the table of a sheet.

        ``instances`` returns the instances of a service.
        """
        classes: dict[str, list[WorkClass]] = {}
        for work in sheet.work:
            classes.setdefault(work.service, []).append(work)
        services = {
            service: _routes(rows, instances(service))
            for service, rows in classes.items()
        }
        return cls(version, services, str(version))

    def match(self, service: str, method: str, path: str) -> Route | Refusal:
        """Return the route of a request; the path may hold a query.

        Explanation
        ===========

        A path with ``.`` or ``..`` segments is refused.  The backend
        server would resolve them, so that the request would run as another
        work class than the one it was admitted for.
        """
        routes = self.services.get(service)
        if routes is None:
            reason = f'service {service!r} is not in the sheet'
            return Refusal(ResultCode.ROUTE_UNKNOWN, reason)
        plain = plain_path(path)
        if plain is None:
            reason = f'{path!r} has relative segments'
            return Refusal(ResultCode.HEADER_INVALID, reason)
        for route in routes:
            if _matches(route.work, method, plain):
                return route
        reason = f'no work of {service!r} covers {method} {plain}'
        return Refusal(ResultCode.ROUTE_UNKNOWN, reason)


def plain_path(path: str) -> str | None:
    """Return the path without query, escapes and empty segments.

    Returns None if the path has relative segments.

    Examples
    ========

    >>> plain_path('/a//%6frders?x=1')
    '/a/orders'
    >>> plain_path('/a/%2e%2e/orders') is None
    True
    """
    plain = path.partition('?')[0]
    if AMBIGUOUS_PATH.search(plain) is None:
        return plain
    plain = re.sub('/+', '/', unquote(plain))
    if RELATIVE_SEGMENTS.isdisjoint(plain.split('/')):
        return plain
    return None


def _routes(
    rows: Iterable[WorkClass],
    members: tuple[Member, ...],
) -> tuple[Route, ...]:
    routes = [Route(work, members) for work in rows]
    routes.sort(key=_specificity, reverse=True)
    return tuple(routes)


def _specificity(route: Route) -> tuple[int, bool]:
    return len(route.work.path.rstrip('/')), bool(route.work.method)


def _matches(work: WorkClass, method: str, path: str) -> bool:
    if work.method and work.method != method:
        return False
    prefix = work.path.rstrip('/')
    if not path.startswith(prefix):
        return False
    # '/orders' covers '/orders' and '/orders/7' but not '/orders-old'.
    return len(path) == len(prefix) or path[len(prefix)] == '/'
