"""Faults of a sheet, and the list that collects them."""

from typing import Final

import attrs

from tanagerbend_model.codes import ResultCode

# Reading stops at this number: 1 MB of short faulty rows would otherwise
# yield a million faults, which takes seconds and more memory than a daemon
# may use.
MAX_FAULTS: Final = 10_000
MAX_QUOTED_CHARACTERS: Final = 60


@attrs.frozen
class Fault:
    """One fault of a sheet.

    Parameters
    ==========

    row : int
        Row of the spreadsheet, counted from 1; 0 for the whole sheet.
    column : str
        Name of the column, or an empty string.
    code : ResultCode
    reason : str
    """

    row: int
    column: str
    code: ResultCode
    reason: str


def quoted(text: str) -> str:
    """Return the quoted text of a cell for a reason, truncated if long.

    Examples
    ========

    >>> quoted('swatches')
    "'swatches'"
    """
    if len(text) > MAX_QUOTED_CHARACTERS:
        text = f'{text[:MAX_QUOTED_CHARACTERS]}...'
    return ascii(text)


@attrs.define
class FaultList:
    """Collects the faults of one sheet.

    Explanation
    ===========

    The reader stops at ``MAX_FAULTS`` and adds a last fault that
    reports it.
    """

    found: list[Fault] = attrs.field(factory=list)

    def add(
        self,
        row: int,
        column: str,
        code: ResultCode,
        reason: str,
    ) -> None:
        """Add a fault with the fields of ``Fault``."""
        self.found.append(Fault(row, column, code, reason))

    @property
    def is_full(self) -> bool:
        """Whether the reader should stop."""
        return len(self.found) >= MAX_FAULTS

    def sorted_by_row(self) -> tuple[Fault, ...]:
        """Return the faults in the order of the rows."""
        return tuple(sorted(self.found, key=lambda fault: fault.row))
