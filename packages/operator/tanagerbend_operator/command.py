"""Entry point of the command ``tanagerbend``."""

import sys
from collections.abc import Callable
from typing import Final

import defopt

from tanagerbend_operator.check import check
from tanagerbend_operator.drains import drain, undrain
from tanagerbend_operator.experiment import experiment
from tanagerbend_operator.explain import explain
from tanagerbend_operator.histograms import histograms
from tanagerbend_operator.quarantine import quarantine
from tanagerbend_operator.replaying import replay
from tanagerbend_operator.report import report
from tanagerbend_operator.status import status

# All sub-commands.  Each function returns an exit code from
# `tanagerbend_operator.exit_codes`.
COMMANDS: Final[dict[str, Callable[..., int]]] = {
    'check': check,
    'status': status,
    'explain': explain,
    'histograms': histograms,
    'drain': drain,
    'undrain': undrain,
    'replay': replay,
    'experiment': experiment,
    'report': report,
    'quarantine': quarantine,
}


def main() -> None:
    """Run the sub-command named on the command line."""
    sys.exit(defopt.run(COMMANDS, no_negated_flags=True))
