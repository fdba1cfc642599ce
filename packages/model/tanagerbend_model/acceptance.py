"""Validation of a published sheet: a pure function of its bytes."""

import datetime
import re
from collections import Counter
from typing import Final

import attrs

from tanagerbend_model.cells import (
    FULL_PERCENT,
    OPTIONAL_COLUMNS,
    REQUIRED_COLUMNS,
    RowReader,
)
from tanagerbend_model.codes import ResultCode
from tanagerbend_model.faults import Fault, FaultList, quoted
from tanagerbend_model.spreadsheet import Row, read_rows
from tanagerbend_model.version import digest_of
from tanagerbend_model.work import Sheet, WorkClass

# Separators other than commas that spreadsheets offer for a CSV export.
OTHER_SEPARATORS: Final = (';', '\t')
EDITION_PATTERN: Final = re.compile(
    r'([0-9]{4})-([0-9]{2})-([0-9]{2})(?:\.([0-9]{1,6}))?',
)


@attrs.frozen
class Accepted:
    """Result for a value that is a valid sheet."""

    sheet: Sheet
    digest: bytes


@attrs.frozen
class Rejected:
    """Result for a value that is rejected as a whole.

    Parameters
    ==========

    faults : tuple of Fault
        All faults, in the order of the rows; never empty.  Reading stops
        at 10,000 faults, and the last one then reports that.
    digest : bytes
    """

    faults: tuple[Fault, ...]
    digest: bytes


def accept(content: bytes) -> Accepted | Rejected:
    r"""Decide whether a published value is a valid sheet.

    Explanation
    ===========

    The result depends only on the bytes, so that all daemons agree on
    it.  A byte-order mark, CRLF line ends, quoted cells and empty
    trailing rows, as spreadsheets write them, are accepted.

    Examples
    ========

    >>> accept(b'service,work,rank\r\npattern,orders,1\r\n').sheet.services
    frozenset({'pattern'})
    >>> accept(b'service,work,rank\npattern,orders,x\n').faults[0].row
    2

    Parameters
    ==========

    content : bytes
        At most 1 MiB of UTF-8 text.

    See Also
    ========

    tanagerbend_model.version.Version
    """
    digest = digest_of(content)
    reader = _SheetReader()
    sheet = reader.read(content)
    if reader.faults.found:
        return Rejected(reader.faults.sorted_by_row(), digest)
    return Accepted(sheet, digest)


class _SheetReader:
    """Reads one sheet and collects all of its faults."""

    def __init__(self) -> None:
        self.faults = FaultList()
        self.edition: tuple[int, ...] = ()
        self.has_edition = False
        self.columns: tuple[str, ...] = ()
        # Columns that occur more than once; their cells are not checked.
        self.ambiguous: set[str] = set()
        self.work: list[WorkClass] = []
        # Row in which each unique key, such as a route, first occurs.
        self.first_rows: dict[tuple[str, ...], int] = {}
        # Spelling of each service in its first row, by lower-case name.
        self.spellings: dict[str, str] = {}
        # Floor in percent by service and effective rank.
        self.floors: dict[str, dict[int, int]] = {}

    def read(self, content: bytes) -> Sheet:
        for row in read_rows(content, self.faults):
            self._read_row(row)
            if self.faults.is_full:
                reason = 'too many faults; later rows were not read'
                code = ResultCode.SHEET_VALUE_INVALID
                self._add_fault(row.number + 1, '', code, reason)
                break
        if not self.work and not self.faults.found:
            self._add_fault(0, '', ResultCode.SHEET_EMPTY, 'no work is listed')
        self._check_floors()
        return Sheet(self.edition, tuple(self.work))

    def _add_fault(
        self,
        row: int,
        column: str,
        code: ResultCode,
        reason: str,
    ) -> None:
        self.faults.add(row, column, code, reason)

    def _read_row(self, row: Row) -> None:
        if self.columns:
            self._read_work(row)
        elif row.cells[0].lower() == 'edition':
            self._read_edition_row(row)
        else:
            self._read_columns(row)

    def _read_edition_row(self, row: Row) -> None:
        text = row.cells[1] if len(row.cells) > 1 else ''
        edition = _parse_edition(text)
        if self.has_edition:
            reason = 'the edition is listed twice'
        elif not edition or any(row.cells[2:]):
            reason = f'{quoted(text)} is not a date with an optional serial'
        else:
            self.edition = edition
            reason = ''
        self.has_edition = True
        if reason:
            code = ResultCode.SHEET_EDITION_INVALID
            self._add_fault(row.number, 'edition', code, reason)

    def _read_columns(self, row: Row) -> None:
        names = [cell.lower() for cell in row.cells]
        while not names[-1]:
            names.pop()
        self.columns = tuple(names)
        if len(names) == 1 and any(
            separator in names[0] for separator in OTHER_SEPARATORS
        ):
            reason = 'cells must be separated by commas'
            code = ResultCode.SHEET_COLUMN_MISSING
            self._add_fault(row.number, '', code, reason)
            return
        for name in REQUIRED_COLUMNS:
            if name not in names:
                reason = f'required column {name!r} is missing'
                code = ResultCode.SHEET_COLUMN_MISSING
                self._add_fault(row.number, name, code, reason)
        occurrences = Counter(names)
        self.ambiguous = {name for name in occurrences if occurrences[name] > 1}
        for name in occurrences:
            is_known = name in REQUIRED_COLUMNS or name in OPTIONAL_COLUMNS
            if self.faults.is_full:
                return
            if not is_known or name in self.ambiguous:
                reason = f'column {quoted(name)} is unknown or occurs twice'
                code = ResultCode.SHEET_COLUMN_UNKNOWN
                self._add_fault(row.number, name, code, reason)

    def _read_work(self, row: Row) -> None:
        cell_count = len(row.cells)
        if cell_count > len(self.columns) and any(
            row.cells[len(self.columns) :]
        ):
            reason = f'{cell_count} cells, {len(self.columns)} columns'
            self._add_fault(row.number, '', ResultCode.SHEET_ROW_LENGTH, reason)
            return
        previous_faults = len(self.faults.found)
        padding = [''] * (len(self.columns) - cell_count)
        cells = dict(zip(self.columns, row.cells + padding, strict=False))
        for name in self.ambiguous:
            cells.pop(name)
        work_class = RowReader(row.number, cells, self.faults).read()
        if (
            len(self.faults.found) == previous_faults
            and self._has_required_columns()
        ):
            self._add_work(row.number, work_class)

    def _has_required_columns(self) -> bool:
        unambiguous = set(self.columns) - self.ambiguous
        return unambiguous.issuperset(REQUIRED_COLUMNS)

    def _add_work(self, number: int, work_class: WorkClass) -> None:
        service = work_class.service.lower()
        spelling = self.spellings.setdefault(service, work_class.service)
        if spelling != work_class.service:
            reason = (
                f'service {work_class.service!r} is also spelled {spelling!r}'
            )
            code = ResultCode.SHEET_VALUE_INVALID
            self._add_fault(number, 'service', code, reason)
            return
        # '/orders' and '/orders/' match the same paths.
        route = (
            'path',
            service,
            work_class.method,
            work_class.path.rstrip('/'),
        )
        name = ('work', service, work_class.work.lower())
        for column, key in (('work', name), ('path', route)):
            first = self.first_rows.setdefault(key, number)
            if first != number:
                reason = f'same {column} as row {first}'
                code = ResultCode.SHEET_ROW_DUPLICATE
                self._add_fault(number, column, code, reason)
                return
        self.work.append(work_class)
        ranks = self.floors.setdefault(work_class.service, {})
        rank = work_class.effective_rank
        ranks[rank] = max(ranks.get(rank, 0), work_class.floor_percent)

    def _check_floors(self) -> None:
        for service, ranks in self.floors.items():
            total = sum(ranks.values())
            if total > FULL_PERCENT:
                self._add_fault(
                    0,
                    'floor_percent',
                    ResultCode.SHEET_FLOORS_EXCEED_CAPACITY,
                    f'floors of service {service!r} add up to {total}%',
                )


def _parse_edition(text: str) -> tuple[int, ...]:
    match = EDITION_PATTERN.fullmatch(text)
    if match is None:
        return ()
    edition = tuple(int(part or 0) for part in match.groups())
    try:
        datetime.date(*edition[:3])
    except ValueError:
        return ()
    return edition
