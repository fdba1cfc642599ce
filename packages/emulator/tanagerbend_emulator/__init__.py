"""Emulator of deployments that runs the real routing decisions."""

from tanagerbend_emulator.comparison import (
    Row,
    Trial,
    compare,
    run_trials,
)
from tanagerbend_emulator.loads import LOADS, Load, read_load
from tanagerbend_emulator.policies import POLICIES
from tanagerbend_emulator.trial import GroupTally, TrialResult, simulate

__all__ = (
    'LOADS',
    'POLICIES',
    'Load',
    'Row',
    'GroupTally',
    'Trial',
    'TrialResult',
    'compare',
    'simulate',
    'read_load',
    'run_trials',
)
