"""Distribution of versions: store, reading, propagation, bootstrap."""

from tanagerbend_distribution.bootstrap import Bootstrap
from tanagerbend_distribution.budget import Backoff, CallBudget
from tanagerbend_distribution.propagation import Propagation
from tanagerbend_distribution.reading import PlatformReader
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
    'Conflict',
    'Declined',
    'Ignored',
    'InForce',
    'PlatformReader',
    'Propagation',
    'Verdict',
    'VersionStore',
)
