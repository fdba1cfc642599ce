"""Acceptance of a published sheet: a pure function of its bytes."""

import datetime
import re
from collections import Counter
from typing import Final

import attrs

from tanagerbend_model.cells import (
    FULL_PERCENT,
    OPTIONAL,
    REQUIRED,
    RowReader,
)
from tanagerbend_model.codes import ResultCode
from tanagerbend_model.faults import Fault, FaultList, shown
from tanagerbend_model.spreadsheet import Row, read_rows
from tanagerbend_model.version import digest_of
from tanagerbend_model.work import Sheet, WorkClass

# Other separators that spreadsheets offer for an export.
SEPARATORS: Final = (';', '\t')
EDITION: Final = re.compile(
    r'([0-9]{4})-([0-9]{2})-([0-9]{2})(?:\.([0-9]{1,6}))?',
)


@attrs.frozen
class Accepted:
    """The value is a valid sheet."""

    sheet: Sheet
    digest: bytes


@attrs.frozen
class Rejected:
    """The value is rejected as a whole.

    Parameters
    ==========

    faults : tuple of Fault
        All faults, in the order of the rows; never empty.  Reading ends
        at 10,000 faults, and the last one then says so.
    digest : bytes
    """

    faults: tuple[Fault, ...]
    digest: bytes


def accept(content: bytes) -> Accepted | Rejected:
    r"""Decide whether a published value is a valid sheet.

    Explanation
    ===========

    The verdict depends on the bytes alone, so every daemon reaches the
    same one.  A byte-order mark, CRLF line ends, quoted cells and empty
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
        return Rejected(reader.faults.in_order(), digest)
    return Accepted(sheet, digest)


class _SheetReader:
    """Reads one sheet and collects all of its faults."""

    def __init__(self) -> None:
        self.faults = FaultList()
        self.edition: tuple[int, ...] = ()
        self.has_edition = False
        self.columns: tuple[str, ...] = ()
        # Columns that stand twice; their cells are not judged.
        self.ambiguous: set[str] = set()
        self.work: list[WorkClass] = []
        # What must be unique, with the row that came first.
        self.taken: dict[tuple[str, ...], int] = {}
        self.spelling: dict[str, str] = {}
        self.floors: dict[str, dict[int, int]] = {}

    def read(self, content: bytes) -> Sheet:
        for row in read_rows(content, self.faults):
            self._take_row(row)
            if self.faults.is_full:
                reason = 'too many faults; later rows were not read'
                code = ResultCode.SHEET_VALUE_INVALID
                self._fault(row.number + 1, '', code, reason)
                break
        if not self.work and not self.faults.found:
            self._fault(0, '', ResultCode.SHEET_EMPTY, 'no work is listed')
        self._check_floors()
        return Sheet(self.edition, tuple(self.work))

    def _fault(
        self,
        row: int,
        column: str,
        code: ResultCode,
        reason: str,
    ) -> None:
        self.faults.add(row, column, code, reason)

    def _take_row(self, row: Row) -> None:
        if self.columns:
            self._take_work(row)
        elif row.cells[0].lower() == 'edition':
            self._take_edition(row)
        else:
            self._take_columns(row)

    def _take_edition(self, row: Row) -> None:
        text = row.cells[1] if len(row.cells) > 1 else ''
        edition = _read_edition(text)
        if self.has_edition:
            reason = 'the edition is listed twice'
        elif not edition or any(row.cells[2:]):
            reason = f'{shown(text)} is not a date with an optional serial'
        else:
            self.edition = edition
            reason = ''
        self.has_edition = True
        if reason:
            code = ResultCode.SHEET_EDITION_INVALID
            self._fault(row.number, 'edition', code, reason)

    def _take_columns(self, row: Row) -> None:
        names = [cell.lower() for cell in row.cells]
        while not names[-1]:
            names.pop()
        self.columns = tuple(names)
        if len(names) == 1 and any(mark in names[0] for mark in SEPARATORS):
            reason = 'cells must be separated by commas'
            code = ResultCode.SHEET_COLUMN_MISSING
            self._fault(row.number, '', code, reason)
            return
        for name in REQUIRED:
            if name not in names:
                reason = f'required column {name!r} is missing'
                code = ResultCode.SHEET_COLUMN_MISSING
                self._fault(row.number, name, code, reason)
        times = Counter(names)
        self.ambiguous = {name for name in times if times[name] > 1}
        for name in times:
            known = name in REQUIRED or name in OPTIONAL
            if self.faults.is_full:
                return
            if not known or name in self.ambiguous:
                reason = f'column {shown(name)} is unknown or stands twice'
                code = ResultCode.SHEET_COLUMN_UNKNOWN
                self._fault(row.number, name, code, reason)

    def _take_work(self, row: Row) -> None:
        filled = len(row.cells)
        if filled > len(self.columns) and any(row.cells[len(self.columns) :]):
            reason = f'{filled} cells, {len(self.columns)} columns'
            self._fault(row.number, '', ResultCode.SHEET_ROW_LENGTH, reason)
            return
        before = len(self.faults.found)
        filler = [''] * (len(self.columns) - filled)
        cells = dict(zip(self.columns, row.cells + filler, strict=False))
        for name in self.ambiguous:
            cells.pop(name)
        entry = RowReader(row.number, cells, self.faults).read()
        if len(self.faults.found) == before and self._is_complete():
            self._add(row.number, entry)

    def _is_complete(self) -> bool:
        readable = set(self.columns) - self.ambiguous
        return readable.issuperset(REQUIRED)

    def _add(self, number: int, entry: WorkClass) -> None:
        service = entry.service.lower()
        spelling = self.spelling.setdefault(service, entry.service)
        if spelling != entry.service:
            reason = f'service {entry.service!r} also stands as {spelling!r}'
            code = ResultCode.SHEET_VALUE_INVALID
            self._fault(number, 'service', code, reason)
            return
        # '/orders' and '/orders/' cover the same paths.
        route = ('path', service, entry.method, entry.path.rstrip('/'))
        name = ('work', service, entry.work.lower())
        for column, key in (('work', name), ('path', route)):
            first = self.taken.setdefault(key, number)
            if first != number:
                reason = f'same {column} as row {first}'
                code = ResultCode.SHEET_ROW_DUPLICATE
                self._fault(number, column, code, reason)
                return
        self.work.append(entry)
        ranks = self.floors.setdefault(entry.service, {})
        rank = entry.effective_rank
        ranks[rank] = max(ranks.get(rank, 0), entry.floor_percent)

    def _check_floors(self) -> None:
        for service, ranks in self.floors.items():
            total = sum(ranks.values())
            if total > FULL_PERCENT:
                self._fault(
                    0,
                    'floor_percent',
                    ResultCode.SHEET_FLOORS_EXCEED_CAPACITY,
                    f'floors of service {service!r} add up to {total}%',
                )


def _read_edition(text: str) -> tuple[int, ...]:
    match = EDITION.fullmatch(text)
    if match is None:
        return ()
    edition = tuple(int(part or 0) for part in match.groups())
    try:
        datetime.date(*edition[:3])
    except ValueError:
        return ()
    return edition
