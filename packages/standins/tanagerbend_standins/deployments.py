"""The two deployments of the design page at their current sizes."""

from typing import Final

import attrs

from tanagerbend_standins.fleet import Placement

TAS_SOUTH_CONNECTION_LIMIT: Final = 130
CENTRO_MX_CONNECTION_LIMIT: Final = 120


@attrs.frozen
class Deployment:
    """Failure domains and instances of one deployment.

    Parameters
    ==========

    name : str
        Also the name of its region.
    failure_domains : tuple of str
    instance_counts : tuple of pairs of str and int
        Number of instances of each service.
    connection_limit : int
        Maximum number of open connections of an instance.
    """

    name: str
    failure_domains: tuple[str, ...]
    instance_counts: tuple[tuple[str, int], ...]
    connection_limit: int

    @property
    def places(self) -> list[Placement]:
        """Instances, spread evenly over the failure domains.

        Examples
        ========

        >>> len(TAS_SOUTH.places), len(CENTRO_MX.places)
        (13, 12)
        """
        hosts = [
            f'{service}-{number}'
            for service, count in self.instance_counts
            for number in range(1, count + 1)
        ]
        return [
            Placement(
                name,
                name.rpartition('-')[0],
                self.failure_domains[index % len(self.failure_domains)],
                self.name,
            )
            for index, name in enumerate(hosts)
        ]


TAS_SOUTH: Final = Deployment(
    'tas-south',
    ('hobart-a', 'hobart-b', 'kingston', 'glenorchy'),
    (('pattern', 9), ('artwork', 4)),
    connection_limit=TAS_SOUTH_CONNECTION_LIMIT,
)
CENTRO_MX: Final = Deployment(
    'centro-mx',
    ('leon', 'celaya', 'irapuato', 'silao'),
    (('order', 8), ('document', 4)),
    connection_limit=CENTRO_MX_CONNECTION_LIMIT,
)
DEPLOYMENTS: Final = (TAS_SOUTH, CENTRO_MX)
