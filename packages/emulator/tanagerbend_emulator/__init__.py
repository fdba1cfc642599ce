"""Model of served deployments on which decisions are tried."""

from tanagerbend_emulator.comparison import (
    Row,
    Trial,
    compare,
    run_trials,
)
from tanagerbend_emulator.loads import LOADS, Load, read_load
from tanagerbend_emulator.policies import POLICIES
from tanagerbend_emulator.trial import Share, Verdict, play

__all__ = (
    'LOADS',
    'POLICIES',
    'Load',
    'Row',
    'Share',
    'Trial',
    'Verdict',
    'compare',
    'play',
    'read_load',
    'run_trials',
)
