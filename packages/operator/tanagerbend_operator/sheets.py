"""Changes between two sheets and warnings about the edition."""

import datetime
from collections.abc import Iterator
from typing import Final

from tanagerbend_model import Difference, Sheet

# Covers a sheet for the day after a long weekend, but not a typing error in
# the year or month.
MAX_EDITION_OFFSET_DAYS: Final = 7
DATE_FIELDS: Final = 3


def change_kind(change: Difference) -> str:
    """Return ``added``, ``removed`` or ``changed``."""
    if change.before is None:
        return 'added'
    return 'removed' if change.after is None else 'changed'


def describe_changed_fields(change: Difference) -> str:
    """Return the columns that differ, with old and new values."""
    return ', '.join(
        f'{column} {_format_cell(getattr(change.before, column))}'
        f' -> {_format_cell(getattr(change.after, column))}'
        for column in change.fields
    )


def _format_cell(cell: object) -> str:
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    return str(cell) or '(any)'


def format_edition(edition: tuple[int, ...]) -> str:
    """Format an edition as it is written in a sheet.

    Examples
    ========

    >>> format_edition((2026, 12, 4, 0)), format_edition((2026, 12, 4, 2))
    ('2026-12-04', '2026-12-04.2')
    """
    if not edition:
        return 'none'
    year, month, day, *serial = edition
    date = f'{year:04}-{month:02}-{day:02}'
    return f'{date}.{serial[0]}' if any(serial) else date


def edition_warnings(
    edition: tuple[int, ...],
    today: datetime.date,
    in_force: Sheet | None,
) -> tuple[str, ...]:
    """Return warnings about the edition of a sheet.

    Parameters
    ==========

    edition : tuple of int
    today : datetime.date
    in_force : Sheet or None
        None if the sheet in force is unknown.
    """
    warnings = list(_date_warnings(edition, today))
    if in_force is not None and in_force.edition > edition:
        warnings.append(
            f'edition {format_edition(edition)} is older than '
            f'{format_edition(in_force.edition)} in force: '
            'daemons will not take this sheet',
        )
    elif in_force is not None and edition and in_force.edition == edition:
        warnings.append(
            f'edition {format_edition(edition)} is not newer than the one in '
            'force: only the revision of the service orders the two',
        )
    return tuple(warnings)


def _date_warnings(
    edition: tuple[int, ...],
    today: datetime.date,
) -> Iterator[str]:
    if not edition:
        return
    try:
        date = datetime.date(*edition[:DATE_FIELDS])
    except ValueError:
        yield f'edition {format_edition(edition)} is not a day of the calendar'
        return
    days = (date - today).days
    if abs(days) > MAX_EDITION_OFFSET_DAYS:
        side = 'after' if days > 0 else 'before'
        shown = format_edition(edition)
        yield f'edition {shown} is {abs(days)} days {side} today'
