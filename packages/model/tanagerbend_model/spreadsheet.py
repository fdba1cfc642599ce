"""Parsing of CSV text as exported by spreadsheets."""

import csv
import io
from collections.abc import Iterator
from typing import Final

import attrs

from tanagerbend_model.codes import ResultCode
from tanagerbend_model.faults import FaultList

MAX_SHEET_BYTES: Final = 1024 * 1024


@attrs.frozen
class Row:
    """One row with at least one filled cell.

    Parameters
    ==========

    number : int
        Row number in the spreadsheet, counted from 1.  A quoted cell
        with line breaks does not start a new row.
    cells : list of str
        Without surrounding whitespace.
    """

    number: int
    cells: list[str]


def read_rows(content: bytes, faults: FaultList) -> Iterator[Row]:
    r"""Yield the rows that are not empty, and collect format faults.

    Examples
    ========

    >>> content = b'a,"b\nc"\r\n,,\r\n d ,\r\n'
    >>> [(row.number, row.cells) for row in read_rows(content, FaultList())]
    [(1, ['a', 'b\nc']), (3, ['d', ''])]

    Parameters
    ==========

    content : bytes
        At most 1 MiB of UTF-8 text.
    faults : FaultList
    """
    if len(content) > MAX_SHEET_BYTES:
        reason = f'{len(content)} bytes, at most {MAX_SHEET_BYTES}'
        faults.add(0, '', ResultCode.SHEET_TOO_LARGE, reason)
        return
    try:
        text = content.decode('utf-8-sig')
    except UnicodeDecodeError as error:
        _add_encoding_fault(content, error.start, faults)
        return
    yield from _parse(text, faults)


def _add_encoding_fault(
    content: bytes,
    position: int,
    faults: FaultList,
) -> None:
    before = content[:position]
    # UTF-16 is not split into lines: bytes of other characters can equal
    # those of line ends.
    is_utf16 = content[:2] in {b'\xff\xfe', b'\xfe\xff'}
    row = 0 if is_utf16 else len(before.splitlines() or (b'',))
    if before.endswith((b'\n', b'\r')) and not is_utf16:
        row += 1
    reason = f'byte {position} is not UTF-8 text; export as CSV UTF-8'
    faults.add(row, '', ResultCode.SHEET_NOT_TEXT, reason)


def _parse(text: str, faults: FaultList) -> Iterator[Row]:
    reader = csv.reader(io.StringIO(text, newline=''), strict=True)
    number = 0
    while True:
        number += 1
        try:
            cells = next(reader)
        except StopIteration:
            return
        except csv.Error as error:
            # The reader continues with the next line, so that the faults
            # after a misplaced quote are reported in the same run.
            faults.add(number, '', ResultCode.SHEET_NOT_TEXT, str(error))
            continue
        stripped = [cell.strip() for cell in cells]
        if any(stripped):
            yield Row(number, stripped)
