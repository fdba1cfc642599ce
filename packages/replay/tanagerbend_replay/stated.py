"""Reads the expected outcomes of a trace from a TOML file."""

import pathlib
import tomllib
from typing import Any, Final

import attrs

from tanagerbend_replay.events import TraceError

BOUND_NAMES: Final = frozenset(
    (
        'in_target_percent',
        'accepted_in_target_percent',
        'answered_percent',
        'answered',
        'unknown_at_most',
    ),
)


@attrs.frozen
class ExpectedOutcomes:
    """Expected outcomes of a replay.

    Parameters
    ==========

    work : dict of str to dict
        Bounds by ``service/work`` and name, which is in ``BOUND_NAMES``.
        Accepted calls are all but those refused as "not run".
    rejected, conflicts : bool
        Whether daemons must reject a publication, or report a conflict.
    """

    work: dict[str, dict[str, float]]
    rejected: bool = False
    conflicts: bool = False


def load_expected(path: pathlib.Path) -> ExpectedOutcomes | TraceError:
    """Read the expected outcomes; unknown keys are a fault."""
    try:
        fields = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        return TraceError(0, str(error))
    unknown = set(fields) - {'work', 'rejected', 'conflicts'}
    work: dict[str, Any] = fields.get('work', {})
    for bounds in work.values():
        unknown |= set(bounds) - BOUND_NAMES
    if unknown:
        return TraceError(0, f'unknown keys: {sorted(unknown)}')
    return ExpectedOutcomes(
        work,
        bool(fields.get('rejected', False)),
        bool(fields.get('conflicts', False)),
    )
