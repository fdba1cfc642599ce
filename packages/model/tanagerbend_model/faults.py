"""Faults of a sheet and the bounded list that collects them."""

from typing import Final

import attrs

from tanagerbend_model.codes import ResultCode

# Reading ends there: a megabyte of short faulty rows would otherwise give a
# million faults, and take seconds and more memory than a daemon may use.
MAX_FAULTS: Final = 10_000
SHOWN_CHARACTERS: Final = 60


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


def shown(text: str) -> str:
    """Return a cell as a reason quotes it, shortened if it is long.

    Examples
    ========

    >>> shown('swatches')
    "'swatches'"
    """
    if len(text) > SHOWN_CHARACTERS:
        text = f'{text[:SHOWN_CHARACTERS]}...'
    return ascii(text)


@attrs.define
class FaultList:
    """Collects the faults of one sheet.

    Explanation
    ===========

    Reading ends at ``MAX_FAULTS``; the last fault then says so.
    """

    found: list[Fault] = attrs.field(factory=list)

    def add(
        self,
        row: int,
        column: str,
        code: ResultCode,
        reason: str,
    ) -> None:
        """Add one fault; parameters as of ``Fault``."""
        self.found.append(Fault(row, column, code, reason))

    @property
    def is_full(self) -> bool:
        """Whether reading should end."""
        return len(self.found) >= MAX_FAULTS

    def in_order(self) -> tuple[Fault, ...]:
        """Return the faults in the order of the rows."""
        return tuple(sorted(self.found, key=lambda fault: fault.row))
