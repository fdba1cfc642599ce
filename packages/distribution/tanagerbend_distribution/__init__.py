"""Distribution of versions: store, reading, propagation, bootstrap."""

from tanagerbend_distribution.bootstrap import Bootstrap
from tanagerbend_distribution.budget import Backoff, CallBudget
from tanagerbend_distribution.catching_up import (
    CatchUp,
    PauseGuard,
    read_position,
)
from tanagerbend_distribution.fetching import Fetcher
from tanagerbend_distribution.propagation import Propagation
from tanagerbend_distribution.reading import PlatformReader, ReadTimes
from tanagerbend_distribution.store import (
    Adopted,
    Conflict,
    Declined,
    Ignored,
    InForce,
    Verdict,
    VersionStore,
)

__all__ = (
    'Adopted',
    'Backoff',
    'Bootstrap',
    'CallBudget',
    'CatchUp',
    'Conflict',
    'Declined',
    'Fetcher',
    'Ignored',
    'InForce',
    'PauseGuard',
    'PlatformReader',
    'Propagation',
    'ReadTimes',
    'Verdict',
    'VersionStore',
    'read_position',
)
