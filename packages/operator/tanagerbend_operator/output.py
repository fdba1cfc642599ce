"""What the command writes: tables for people, JSON for programs."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any, Final

from rich.console import Console
from rich.table import Table

from tanagerbend_model import Refusal

BAR_WIDTH: Final = 40
FULL_BLOCK: Final = '#'


def console(to_errors: bool = False) -> Console:
    """Return the console for people; names are never read as markup."""
    return Console(
        markup=False,
        highlight=False,
        emoji=False,
        stderr=to_errors,
    )


def write_json(found: Any) -> None:
    """Write one JSON document to standard output."""
    sys.stdout.write(f'{json.dumps(found, indent=2)}\n')


def write_line(text: str = '') -> None:
    """Write one line to standard output."""
    sys.stdout.write(f'{text}\n')


def write_error(text: str) -> None:
    """Write one line to standard error."""
    sys.stderr.write(f'{text}\n')


def describe(refusal: Refusal) -> str:
    """Return a refusal as one line."""
    code = f'code {int(refusal.code)} {refusal.code.name}'
    return f'{refusal.reason} ({code})'


def table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> Table:
    """Return a table without frame; None is shown as a dash."""
    shown = Table(*columns, box=None, pad_edge=False, header_style='bold')
    for row in rows:
        shown.add_row(*('-' if cell is None else str(cell) for cell in row))
    return shown


def text_bar(number: float, highest: float) -> str:
    """Return a text bar, at least one sign for a number above 0.

    Examples
    ========

    >>> text_bar(5, 10)
    '####################'
    >>> text_bar(1, 1000), text_bar(0, 10)
    ('#', '')
    """
    if number <= 0:
        return ''
    return FULL_BLOCK * max(1, round(BAR_WIDTH * number / highest))
