"""The two deployments of the design page at their sizes today."""

from typing import Final

import attrs

from tanagerbend_standins.fleet import Place

TAS_SOUTH_CONNECTIONS: Final = 130
CENTRO_MX_CONNECTIONS: Final = 120


@attrs.frozen
class Deployment:
    """Failure domains and instances of one deployment.

    Parameters
    ==========

    name : str
        Also the name of its region.
    domains : tuple of str
    services : tuple of pairs of str and int
        Instances by service.
    connections : int
        Limit of an instance.
    """

    name: str
    domains: tuple[str, ...]
    services: tuple[tuple[str, int], ...]
    connections: int

    @property
    def places(self) -> list[Place]:
        """Instances, spread evenly over the failure domains.

        Examples
        ========

        >>> len(TAS_SOUTH.places), len(CENTRO_MX.places)
        (13, 12)
        """
        names = [
            f'{service}-{number}'
            for service, count in self.services
            for number in range(1, count + 1)
        ]
        return [
            Place(
                name,
                name.rpartition('-')[0],
                self.domains[position % len(self.domains)],
                self.name,
            )
            for position, name in enumerate(names)
        ]


TAS_SOUTH: Final = Deployment(
    'tas-south',
    ('hobart-a', 'hobart-b', 'kingston', 'glenorchy'),
    (('pattern', 9), ('artwork', 4)),
    connections=TAS_SOUTH_CONNECTIONS,
)
CENTRO_MX: Final = Deployment(
    'centro-mx',
    ('leon', 'celaya', 'irapuato', 'silao'),
    (('order', 8), ('document', 4)),
    connections=CENTRO_MX_CONNECTIONS,
)
DEPLOYMENTS: Final = (TAS_SOUTH, CENTRO_MX)
