"""Distribution of sheet versions to daemons.

Covers the version store, reads of the configuration service, propagation
between daemons, and bootstrap.
"""

from tanagerbend_distribution.bootstrap import Bootstrap
from tanagerbend_distribution.budget import Backoff, CallBudget
from tanagerbend_distribution.catching_up import (
    CatchUp,
    PauseGuard,
    parse_position,
)
from tanagerbend_distribution.fetching import Fetcher
from tanagerbend_distribution.propagation import Propagation
from tanagerbend_distribution.reading import PlatformReader, ReadTimes
from tanagerbend_distribution.store import (
    Adopted,
    Conflict,
    Ignored,
    InForce,
    OfferResult,
    RejectedOffer,
    VersionStore,
)

__all__ = (
    'Adopted',
    'Backoff',
    'Bootstrap',
    'CallBudget',
    'CatchUp',
    'Conflict',
    'Fetcher',
    'Ignored',
    'InForce',
    'OfferResult',
    'PauseGuard',
    'PlatformReader',
    'Propagation',
    'ReadTimes',
    'RejectedOffer',
    'VersionStore',
    'parse_position',
)
