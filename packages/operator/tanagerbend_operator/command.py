"""The binary ``tanagerbend``."""

import pathlib
import sys

import defopt

from tanagerbend_model import Accepted, Rejected, accept


def check(sheet: pathlib.Path) -> int:
    """Check a sheet and list all of its faults.

    :param sheet: CSV file as exported from the spreadsheet.
    """
    match accept(sheet.read_bytes()):
        case Rejected(faults=faults):
            for fault in faults:
                sys.stdout.write(
                    f'row {fault.row} column {fault.column!r} '
                    f'code {fault.code:d}: {fault.reason}\n',
                )
            return 1
        case Accepted(sheet=accepted):
            sys.stdout.write(f'{len(accepted.work)} work classes\n')
    return 0


def main() -> None:
    """Entry point."""
    sys.exit(defopt.run({'check': check}))
