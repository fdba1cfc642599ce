"""Routes by host and longest path prefix, as one immutable configuration."""

import enum
from collections.abc import Mapping
from typing import Final

import attrs

from tanagerbend_interfaces import Randomness
from tanagerbend_model import Refusal, ResultCode
from tanagerbend_routing.cold_limit import NO_RATES, ColdRate


class Repeat(enum.Enum):
    """Whether a request that was sent to an instance may be sent again."""

    FREELY = 'freely'
    NEVER = 'never'
    # The kind of the route is unknown, so its requests are not repeated.
    UNKNOWN = 'unknown'


@attrs.frozen
class WeightedService:
    """Share of a route that goes to one service.

    Parameters
    ==========

    service : str
    weight : float
        Relative to the other parts of the route.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class PrefixRoute:
    """Route of the requests to one host whose path begins with a prefix.

    Parameters
    ==========

    name, host, prefix : str
        The prefix begins and ends with a slash.
    parts : tuple of WeightedService
    repeat : Repeat
    timeout, objective : float
        Seconds after which a caller is no longer kept waiting, and those
        within which an answer is on time.
    max_attempts : int
        Maximum number of instances that one request may be sent to.
    rank : int
        0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[WeightedService, ...]
    repeat: Repeat
    timeout: float
    objective: float
    max_attempts: int = 1
    rank: int = 0

    def pick_service(self, random: Randomness) -> str:
        """Return the service of a random part, chosen by weight."""
        parts = self.parts
        if len(parts) == 1:
            return parts[0].service
        point = random.random() * sum(part.weight for part in parts)
        for part in parts:
            point -= part.weight
            if point < 0:
                return part.service
        return parts[-1].service


@attrs.frozen
class CallerLimits:
    """Limits of the size and the time of a request.

    Parameters
    ==========

    header_bytes, body_bytes : int
    header_seconds, idle_seconds : float
    """

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


# Length at which a path in the reason of a refusal is cut.
MAX_SHOWN_PATH_LENGTH: Final = 64

Routes = tuple[PrefixRoute, ...]
NO_ROUTES: Final[Mapping[str, PrefixRoute]] = {}


@attrs.frozen
class RouteDifference:
    """Changes that turn one version into another.

    Parameters
    ==========

    version, base : int
        The resulting version, and the one that is changed; 0 for none.
    put : tuple of PrefixRoute
        Routes that were added or changed.
    removed : tuple of pair of str
        Host and prefix of each route that was removed.
    limits : CallerLimits or None
    cold_rates : mapping of str to ColdRate
        All of them, also those that did not change.
    """

    version: int
    base: int
    put: Routes
    removed: tuple[tuple[str, str], ...]
    limits: CallerLimits | None
    cold_rates: Mapping[str, ColdRate] = NO_RATES


@attrs.frozen
class RoutingConfiguration:
    """Immutable version of the routes, which is only replaced as a whole.

    Examples
    ========

    >>> browse = PrefixRoute('a', 'h', '/a/', (WeightedService('shop'),),
    ...     Repeat.FREELY, 1.0, 0.5)
    >>> deep = attrs.evolve(browse, name='b', prefix='/a/b/')
    >>> table = RoutingConfiguration.build(7, (browse, deep), None)
    >>> table.match('h', '/a/b/c').name, table.match('h', '/a/c').name
    ('b', 'a')
    >>> table.match('other', '/a/').code.name
    'ROUTE_UNKNOWN'

    Parameters
    ==========

    version : int
    hosts : mapping of str to mapping of str to PrefixRoute
        Routes by host and prefix.
    limits : CallerLimits or None
    cold_rates : mapping of str to ColdRate
        What cold instances tolerate, by service, where it is known.
    """

    version: int
    hosts: Mapping[str, Mapping[str, PrefixRoute]]
    limits: CallerLimits | None = None
    cold_rates: Mapping[str, ColdRate] = NO_RATES

    @classmethod
    def build(
        cls,
        version: int,
        routes: Routes,
        limits: CallerLimits | None,
        cold_rates: Mapping[str, ColdRate] = NO_RATES,
    ) -> 'RoutingConfiguration':
        """Index the routes by host and prefix."""
        hosts: dict[str, dict[str, PrefixRoute]] = {}
        for route in routes:
            hosts.setdefault(route.host, {})[route.prefix] = route
        return cls(version, hosts, limits, cold_rates)

    @property
    def routes(self) -> dict[tuple[str, str], PrefixRoute]:
        """Return the routes by host and prefix."""
        return {
            (route.host, route.prefix): route
            for found in self.hosts.values()
            for route in found.values()
        }

    def difference_from(
        self,
        base: 'RoutingConfiguration | None',
    ) -> RouteDifference:
        """Return the changes from a base version, or from no version."""
        before = {} if base is None else base.routes
        after = self.routes
        return RouteDifference(
            self.version,
            0 if base is None else base.version,
            tuple(
                route
                for key, route in after.items()
                if not _is_same(before.get(key), route)
            ),
            tuple(before.keys() - after.keys()),
            self.limits,
            self.cold_rates,
        )

    @classmethod
    def apply(
        cls,
        difference: RouteDifference,
        base: 'RoutingConfiguration | None',
    ) -> 'RoutingConfiguration':
        """Return the version that results from applying a difference."""
        routes = {} if base is None else base.routes
        for key in difference.removed:
            routes.pop(key, None)
        for route in difference.put:
            routes[(route.host, route.prefix)] = route
        return cls.build(
            difference.version,
            tuple(routes.values()),
            difference.limits,
            difference.cold_rates,
        )

    def with_shared_routes(
        self,
        other: 'RoutingConfiguration | None',
    ) -> 'RoutingConfiguration':
        """Return this version, sharing equal routes with another one.

        Keeping several versions then takes little memory.
        """
        if other is None:
            return self
        hosts = {
            host: _share_equal(routes, other.hosts.get(host, NO_ROUTES))
            for host, routes in self.hosts.items()
        }
        return attrs.evolve(self, hosts=hosts)

    @property
    def unknown_kinds(self) -> tuple[str, ...]:
        """Names of the routes whose kind is unknown."""
        return tuple(
            route.name
            for found in self.hosts.values()
            for route in found.values()
            if route.repeat is Repeat.UNKNOWN
        )

    def match(self, host: str, path: str) -> PrefixRoute | Refusal:
        """Return the route of a request; ``path`` may hold a query."""
        plain = path.partition('?')[0]
        routes = self.hosts.get(host, NO_ROUTES)
        # Prefixes end with a slash, so only prefixes of the path that end with
        # one can match.
        end = plain.rfind('/')
        while end >= 0:
            route = routes.get(plain[: end + 1])
            if route is not None:
                return route
            end = plain.rfind('/', 0, end)
        reason = (
            f'no route of {host!r} covers {plain[:MAX_SHOWN_PATH_LENGTH]!r}'
        )
        return Refusal(ResultCode.ROUTE_UNKNOWN, reason)


def _is_same(known: PrefixRoute | None, route: PrefixRoute) -> bool:
    """Compare routes; most are shared and need no comparison of fields."""
    return known is route or known == route


def _share_equal(
    routes: Mapping[str, PrefixRoute],
    known: Mapping[str, PrefixRoute],
) -> dict[str, PrefixRoute]:
    """Return the routes, with equal ones replaced by the known objects."""
    found = {}
    for prefix, route in routes.items():
        before = known.get(prefix, route)
        found[prefix] = before if _is_same(before, route) else route
    return found
