"""Comparison of a sheet with the one in force."""

import datetime
from collections.abc import Iterator
from typing import Final

from tanagerbend_model import Difference, Sheet

# A typing error in the year or month is further off; a sheet for the day
# after a long weekend is not.
FAR_DAYS: Final = 7
DATE_PARTS: Final = 3


def kind_of(change: Difference) -> str:
    """Return ``added``, ``removed`` or ``changed``."""
    if change.before is None:
        return 'added'
    return 'removed' if change.after is None else 'changed'


def describe_fields(change: Difference) -> str:
    """Return the columns that differ, with the value before and after."""
    return ', '.join(
        f'{column} {_shown(getattr(change.before, column))}'
        f' -> {_shown(getattr(change.after, column))}'
        for column in change.fields
    )


def _shown(cell: object) -> str:
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    return str(cell) or '(any)'


def edition_text(edition: tuple[int, ...]) -> str:
    """Return an edition as the sheet has it.

    Examples
    ========

    >>> edition_text((2026, 12, 4, 0)), edition_text((2026, 12, 4, 2))
    ('2026-12-04', '2026-12-04.2')
    """
    if not edition:
        return 'none'
    year, month, day, *serial = edition
    date = f'{year:04}-{month:02}-{day:02}'
    return f'{date}.{serial[0]}' if any(serial) else date


def warn(
    edition: tuple[int, ...],
    today: datetime.date,
    in_force: Sheet | None,
) -> tuple[str, ...]:
    """Return the warnings on the edition of a sheet.

    Parameters
    ==========

    edition : tuple of int
    today : datetime.date
    in_force : Sheet or None
        None if nothing is known of the sheet in force.
    """
    found = list(_date_warnings(edition, today))
    if in_force is not None and in_force.edition > edition:
        found.append(
            f'edition {edition_text(edition)} is older than '
            f'{edition_text(in_force.edition)} in force: '
            'daemons will not take this sheet',
        )
    elif in_force is not None and edition and in_force.edition == edition:
        found.append(
            f'edition {edition_text(edition)} is not newer than the one in '
            'force: only the revision of the service orders the two',
        )
    return tuple(found)


def _date_warnings(
    edition: tuple[int, ...],
    today: datetime.date,
) -> Iterator[str]:
    if not edition:
        return
    try:
        date = datetime.date(*edition[:DATE_PARTS])
    except ValueError:
        yield f'edition {edition_text(edition)} is not a day of the calendar'
        return
    days = (date - today).days
    if abs(days) > FAR_DAYS:
        side = 'after' if days > 0 else 'before'
        shown = edition_text(edition)
        yield f'edition {shown} is {abs(days)} days {side} today'
