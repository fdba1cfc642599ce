"""Output of the command: tables for people and JSON for programs."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any, Final

from rich.console import Console
from rich.table import Table

from tanagerbend_model import Refusal

BAR_WIDTH: Final = 40
BAR_CHARACTER: Final = '#'


def console(to_stderr: bool = False) -> Console:
    """Return a console that never interprets names as markup."""
    return Console(
        markup=False,
        highlight=False,
        emoji=False,
        stderr=to_stderr,
    )


def write_json(document: Any) -> None:
    """Write one JSON document to standard output."""
    sys.stdout.write(f'{json.dumps(document, indent=2)}\n')


def write_line(text: str = '') -> None:
    """Write one line to standard output."""
    sys.stdout.write(f'{text}\n')


def write_error(text: str) -> None:
    """Write one line to standard error."""
    sys.stderr.write(f'{text}\n')


def describe_refusal(refusal: Refusal) -> str:
    """Format a refusal as one line."""
    code = f'code {int(refusal.code)} {refusal.code.name}'
    return f'{refusal.reason} ({code})'


def table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> Table:
    """Return a table without borders; None is shown as a dash."""
    rendered = Table(*columns, box=None, pad_edge=False, header_style='bold')
    for row in rows:
        rendered.add_row(*('-' if cell is None else str(cell) for cell in row))
    return rendered


def text_bar(number: float, highest: float) -> str:
    """Return a text bar, at least one character for a positive number.

    Examples
    ========

    >>> text_bar(5, 10)
    '####################'
    >>> text_bar(1, 1000), text_bar(0, 10)
    ('#', '')
    """
    if number <= 0:
        return ''
    return BAR_CHARACTER * max(1, round(BAR_WIDTH * number / highest))
