"""Conversion of the cells of one row to a work class."""

import re
from typing import Final

import attrs

from tanagerbend_model.codes import ResultCode
from tanagerbend_model.faults import FaultList, quoted
from tanagerbend_model.work import LOWEST_RANK, WorkClass

MAX_MILLISECONDS: Final = 3_600_000
DEFAULT_TARGET_MS: Final = 500
DEFAULT_DEADLINE_MS: Final = 5000
FULL_PERCENT: Final = 100
# Floor of work that is not urgent and has no explicit one, so that a flood of
# urgent work cannot starve it.
DEFAULT_FLOOR_PERCENT: Final = 5
REQUIRED_COLUMNS: Final = ('service', 'work', 'rank')
OPTIONAL_COLUMNS: Final = (
    'urgent',
    'method',
    'path',
    'target_ms',
    'deadline_ms',
    'floor_percent',
    'order',
)
METHODS: Final = frozenset(
    ('', 'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'),
)
FLAG_VALUES: Final = {
    'yes': True,
    'y': True,
    'true': True,
    '1': True,
    'no': False,
    'n': False,
    'false': False,
    '0': False,
    '': False,
}
NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
NUMBER_PATTERN: Final = re.compile('[0-9]{1,9}')
PATH_PATTERN: Final = re.compile('/[!-~]{0,254}')


@attrs.frozen
class RowReader:
    """Reads the cells of one row and adds their faults to a list.

    Explanation
    ===========

    A missing column is reported once for the header and not again for
    each row.

    Parameters
    ==========

    number : int
        Row of the spreadsheet, counted from 1.
    cells : dict of str to str
        By name of the column.
    faults : FaultList
    """

    number: int
    cells: dict[str, str]
    faults: FaultList

    def read(self) -> WorkClass:
        """Return the work class, which is invalid if a fault was added."""
        urgent = self._flag('urgent')
        default_floor = 0 if urgent else DEFAULT_FLOOR_PERCENT
        return WorkClass(
            service=self._name('service'),
            work=self._name('work'),
            rank=self._number('rank', 1, LOWEST_RANK, None),
            urgent=urgent,
            method=self._method(),
            path=self._path(),
            target_ms=self._number(
                'target_ms', 1, MAX_MILLISECONDS, DEFAULT_TARGET_MS
            ),
            deadline_ms=self._number(
                'deadline_ms', 1, MAX_MILLISECONDS, DEFAULT_DEADLINE_MS
            ),
            floor_percent=self._number(
                'floor_percent', 0, FULL_PERCENT, default_floor
            ),
            order=self._flag('order'),
        )

    def _add_invalid(self, column: str, expected: str) -> None:
        if column not in self.cells:
            return
        text = self.cells[column]
        code = ResultCode.SHEET_VALUE_INVALID
        if not text:
            code = ResultCode.SHEET_VALUE_MISSING
        reason = f'{quoted(text)} is not {expected}'
        self.faults.add(self.number, column, code, reason)

    def _name(self, column: str) -> str:
        text = self.cells.get(column, '')
        if NAME_PATTERN.fullmatch(text) is None:
            self._add_invalid(
                column, 'a name of letters, digits, ".", "_", "-"'
            )
        return text

    def _number(
        self,
        column: str,
        lowest: int,
        highest: int,
        default: int | None,
    ) -> int:
        text = self.cells.get(column, '')
        if not text and default is not None:
            return default
        if NUMBER_PATTERN.fullmatch(text):
            number = int(text)
            if lowest <= number <= highest:
                return number
        self._add_invalid(column, f'a whole number from {lowest} to {highest}')
        return lowest

    def _flag(self, column: str) -> bool:
        text = self.cells.get(column, '').lower()
        if text not in FLAG_VALUES:
            self._add_invalid(column, 'yes or no')
        return FLAG_VALUES.get(text, False)

    def _method(self) -> str:
        text = self.cells.get('method', '').upper()
        if text not in METHODS:
            self._add_invalid('method', 'an HTTP method')
        return text

    def _path(self) -> str:
        text = self.cells.get('path', '')
        if not text:
            return '/{work}'.format(work=self.cells.get('work', ''))
        if PATH_PATTERN.fullmatch(text) is None:
            self._add_invalid('path', 'a path that begins with "/"')
        return text
