"""Differences between two sheets."""

import attrs

from tanagerbend_model.work import Sheet, WorkClass


@attrs.frozen
class Difference:
    """One work class that differs between two sheets.

    Parameters
    ==========

    service, work : str
    fields : tuple of str
        Names of the fields that differ; empty if the work class was
        added or removed.
    before, after : WorkClass or None
        None before if the work class was added, None after if removed.
    """

    service: str
    work: str
    fields: tuple[str, ...]
    before: WorkClass | None
    after: WorkClass | None

    def __str__(self) -> str:
        name = f'{self.service}/{self.work}'
        if self.before is None:
            return f'{name}: added'
        if self.after is None:
            return f'{name}: removed'
        changes = ', '.join(
            f'{field} {getattr(self.before, field)!r} -> '
            f'{getattr(self.after, field)!r}'
            for field in self.fields
        )
        return f'{name}: {changes}'


def difference(old: Sheet, new: Sheet) -> tuple[Difference, ...]:
    """Return the work classes that differ between two sheets, by name.

    Explanation
    ===========

    The order of the rows has no meaning and is ignored, as is the
    edition, which differs each day.

    Examples
    ========

    >>> old = Sheet((), (WorkClass('artwork', 'colour', rank=2),))
    >>> new = Sheet((), (WorkClass('artwork', 'colour', rank=1),))
    >>> [str(change) for change in difference(old, new)]
    ['artwork/colour: rank 2 -> 1']

    Parameters
    ==========

    old, new : Sheet
    """
    before = {
        (work_class.service, work_class.work): work_class
        for work_class in old.work
    }
    after = {
        (work_class.service, work_class.work): work_class
        for work_class in new.work
    }
    return tuple(
        _compare(name, before.get(name), after.get(name))
        for name in sorted(before.keys() | after.keys())
        if before.get(name) != after.get(name)
    )


def _compare(
    name: tuple[str, str],
    before: WorkClass | None,
    after: WorkClass | None,
) -> Difference:
    fields: tuple[str, ...] = ()
    if before is not None and after is not None:
        fields = tuple(
            field.name
            for field in attrs.fields(WorkClass)
            if getattr(before, field.name) != getattr(after, field.name)
        )
    return Difference(*name, fields, before, after)
