"""Sub-command ``replay``."""

import pathlib

from tanagerbend_operator import exits
from tanagerbend_operator.output import write_error, write_line


def replay(
    trace: pathlib.Path,
    *,
    stated: pathlib.Path | None = None,
    seed: int = 1,
) -> int:
    """Replay a trace and compare it with the outcomes stated beside it.

    The same trace and seed give the same output. Nothing is sent to any
    daemon.

    Exit codes: 0 all stated outcomes are met; 1 some are not; 2 a file
    cannot be read.

    Examples::

        tanagerbend replay examples/traces/tas-south-day.jsonl

    :param trace: trace, one JSON object a line.
    :param stated: TOML file with the outcomes; without it, the file with
        the name of the trace and the suffix ``.toml``.
    :param seed: of the random choices.
    """
    # Loaded here, because only this sub-command needs what decides.
    import tanagerbend_replay as replaying  # noqa: WPS433

    found = replaying.load_trace(trace)
    outcomes = replaying.load_stated(stated or trace.with_suffix('.toml'))
    for loaded in (found, outcomes):
        match loaded:
            case replaying.TraceFault(line=line, reason=reason):
                write_error(f'{trace}: line {line}: {reason}')
                return exits.USAGE
    verdict = replaying.judge(replaying.replay(found, seed), outcomes)
    for line in verdict.text().splitlines():
        write_line(line)
    return exits.FINE if verdict.is_met else exits.PROBLEM
