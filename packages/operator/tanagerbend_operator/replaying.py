"""Sub-command ``replay``."""

import pathlib

from tanagerbend_operator import exit_codes
from tanagerbend_operator.output import write_error, write_line


def replay(
    trace: pathlib.Path,
    *,
    stated: pathlib.Path | None = None,
    seed: int = 1,
) -> int:
    """Replay a trace and compare the results with the stated outcomes.

    The same trace and seed give the same output. No daemon is contacted.

    Exit codes: 0 all stated outcomes are met; 1 some are not; 2 a file
    cannot be read.

    Examples::

        tanagerbend replay examples/traces/tas-south-day.jsonl

    :param trace: trace with one JSON object per line.
    :param stated: TOML file with the stated outcomes; by default, the file
        with the name of the trace and the suffix ``.toml``.
    :param seed: seed of the random choices.
    """
    # Imported here, because only this sub-command needs the replayer.
    import tanagerbend_replay as replaying  # noqa: WPS433

    loaded_trace = replaying.load_trace(trace)
    outcomes = replaying.load_expected(stated or trace.with_suffix('.toml'))
    for loaded in (loaded_trace, outcomes):
        match loaded:
            case replaying.TraceError(line=line, reason=reason):
                write_error(f'{trace}: line {line}: {reason}')
                return exit_codes.USAGE_ERROR
    verdict = replaying.compare_with_expected(
        replaying.replay(loaded_trace, seed), outcomes
    )
    for line in verdict.text().splitlines():
        write_line(line)
    return exit_codes.OK if verdict.is_met else exit_codes.FAULT_FOUND
