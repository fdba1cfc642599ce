"""Acceptance of a published sheet: a pure function of its bytes."""

import csv
import io
import re
from typing import Final

import attrs

from tanagerbend_model.codes import ResultCode
from tanagerbend_model.version import digest_of
from tanagerbend_model.work import LOWEST_RANK, Sheet, WorkClass

MAX_SHEET_BYTES: Final = 1024 * 1024
MAX_MILLISECONDS: Final = 3_600_000
DEFAULT_TARGET_MS: Final = 500
DEFAULT_DEADLINE_MS: Final = 5000
FULL_PERCENT: Final = 100
# Without explicit floors each lower rank keeps a small share, so that a
# flood of urgent work cannot stop it.
DEFAULT_FLOOR_PERCENT: Final = 5
REQUIRED: Final = ('service', 'work', 'rank')
OPTIONAL: Final = (
    'urgent',
    'method',
    'path',
    'target_ms',
    'deadline_ms',
    'floor_percent',
    'order',
)
METHODS: Final = frozenset(
    (
        '',
        'GET',
        'HEAD',
        'POST',
        'PUT',
        'PATCH',
        'DELETE',
        'OPTIONS',
    )
)
FLAGS: Final = {
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
NAME: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
PATH: Final = re.compile('/[!-~]{0,254}')
EDITION: Final = re.compile(
    r'([0-9]{4})-([0-9]{2})-([0-9]{2})(?:\.([0-9]{1,6}))?',
)


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
        All faults found, in the order of the rows; never empty.
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
    if reader.faults:
        return Rejected(tuple(reader.faults), digest)
    return Accepted(sheet, digest)


class _SheetReader:
    """Reads one sheet and collects all of its faults."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.edition: tuple[int, ...] = ()
        self.columns: tuple[str, ...] = ()
        self.work: list[WorkClass] = []

    def read(self, content: bytes) -> Sheet:
        for number, cells in self._rows(content):
            self._take_row(number, cells)
        if not self.faults:
            self._check_whole()
        return Sheet(self.edition, tuple(self.work))

    def _fault(
        self,
        row: int,
        column: str,
        code: ResultCode,
        reason: str,
    ) -> None:
        self.faults.append(Fault(row, column, code, reason))

    def _rows(self, content: bytes) -> list[tuple[int, list[str]]]:
        if len(content) > MAX_SHEET_BYTES:
            reason = f'{len(content)} bytes, at most {MAX_SHEET_BYTES}'
            self._fault(0, '', ResultCode.SHEET_TOO_LARGE, reason)
            return []
        try:
            text = content.decode('utf-8-sig')
        except UnicodeDecodeError as error:
            self._fault(0, '', ResultCode.SHEET_NOT_TEXT, str(error))
            return []
        return self._split(text)

    def _split(self, text: str) -> list[tuple[int, list[str]]]:
        rows = []
        try:
            for number, cells in enumerate(
                csv.reader(io.StringIO(text, newline=''), strict=True),
                start=1,
            ):
                stripped = [cell.strip() for cell in cells]
                if any(stripped):
                    rows.append((number, stripped))
        except csv.Error as error:
            self._fault(
                len(rows) + 1,
                '',
                ResultCode.SHEET_NOT_TEXT,
                str(error),
            )
        return rows

    def _take_row(self, number: int, cells: list[str]) -> None:
        if self.columns:
            self._take_work(number, cells)
        elif cells[0].lower() == 'edition' and not self.edition:
            self._take_edition(number, cells)
        else:
            self._take_columns(number, cells)

    def _take_edition(self, number: int, cells: list[str]) -> None:
        text = cells[1] if len(cells) > 1 else ''
        match = EDITION.fullmatch(text)
        if match is None or any(cells[2:]):
            self._fault(
                number,
                'edition',
                ResultCode.SHEET_EDITION_INVALID,
                f'{text!r} is not a date with an optional serial number',
            )
            return
        self.edition = tuple(int(part or 0) for part in match.groups())

    def _take_columns(self, number: int, cells: list[str]) -> None:
        names = [cell.lower() for cell in cells]
        while names and not names[-1]:
            names.pop()
        self.columns = tuple(names)
        for name in REQUIRED:
            if name not in names:
                reason = f'required column {name!r} is missing'
                self._fault(
                    number, name, ResultCode.SHEET_COLUMN_MISSING, reason
                )
        for position, name in enumerate(names):
            known = name in REQUIRED or name in OPTIONAL
            if not known or name in names[:position]:
                reason = f'column {name!r} is unknown or stands twice'
                self._fault(
                    number, name, ResultCode.SHEET_COLUMN_UNKNOWN, reason
                )

    def _take_work(self, number: int, cells: list[str]) -> None:
        if any(cells[len(self.columns) :]):
            reason = f'{len(cells)} cells, {len(self.columns)} columns'
            self._fault(number, '', ResultCode.SHEET_ROW_LENGTH, reason)
            return
        before = len(self.faults)
        row = _RowReader(number, dict(zip(self.columns, cells, strict=False)))
        entry = row.read()
        self.faults.extend(row.faults)
        if len(self.faults) == before:
            self._add(number, entry)

    def _add(self, number: int, entry: WorkClass) -> None:
        for other in self.work:
            same_route = (other.method, other.path) == (
                entry.method,
                entry.path,
            )
            if other.service == entry.service and (
                same_route or other.work == entry.work
            ):
                reason = f'same work or route as {other.work!r}'
                self._fault(
                    number,
                    'work',
                    ResultCode.SHEET_ROW_DUPLICATE,
                    reason,
                )
                return
        self.work.append(entry)

    def _check_whole(self) -> None:
        if not self.work:
            self._fault(0, '', ResultCode.SHEET_EMPTY, 'no work is listed')
        floors: dict[str, dict[int, int]] = {}
        for entry in self.work:
            ranks = floors.setdefault(entry.service, {})
            rank = entry.effective_rank
            ranks[rank] = max(ranks.get(rank, 0), entry.floor_percent)
        for service, ranks in floors.items():
            total = sum(ranks.values())
            if total > FULL_PERCENT:
                self._fault(
                    0,
                    'floor_percent',
                    ResultCode.SHEET_FLOORS_EXCEED_CAPACITY,
                    f'floors of service {service!r} add up to {total}%',
                )


class _RowReader:
    """Reads the cells of one row."""

    def __init__(self, number: int, cells: dict[str, str]) -> None:
        self.number = number
        self.cells = cells
        self.faults: list[Fault] = []

    def read(self) -> WorkClass:
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
                'floor_percent',
                0,
                FULL_PERCENT,
                default_floor,
            ),
            order=self._flag('order'),
        )

    def _invalid(self, column: str, expected: str) -> None:
        text = self.cells.get(column, '')
        code = ResultCode.SHEET_VALUE_INVALID
        if not text:
            code = ResultCode.SHEET_VALUE_MISSING
        reason = f'{text!r} is not {expected}'
        self.faults.append(Fault(self.number, column, code, reason))

    def _name(self, column: str) -> str:
        text = self.cells.get(column, '')
        if NAME.fullmatch(text) is None:
            self._invalid(column, 'a name of letters, digits, ".", "_", "-"')
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
        if re.fullmatch('[0-9]{1,9}', text):
            number = int(text)
            if lowest <= number <= highest:
                return number
        self._invalid(column, f'a whole number from {lowest} to {highest}')
        return lowest

    def _flag(self, column: str) -> bool:
        text = self.cells.get(column, '').lower()
        if text not in FLAGS:
            self._invalid(column, 'yes or no')
        return FLAGS.get(text, False)

    def _method(self) -> str:
        text = self.cells.get('method', '').upper()
        if text not in METHODS:
            self._invalid('method', 'an HTTP method')
        return text

    def _path(self) -> str:
        text = self.cells.get('path', '')
        if not text:
            return '/{work}'.format(work=self.cells.get('work', ''))
        if PATH.fullmatch(text) is None:
            self._invalid('path', 'a path that begins with "/"')
        return text
