"""Positions in the history of changes of the platform's service."""

from typing import Final

import attrs


@attrs.frozen(order=True)
class StorePosition:
    """Position in the history of a service that may return from a copy.

    Each return from an older copy begins an era, in which the service gives
    out revisions again that it gave out before.  Revisions are therefore
    compared within one era only, and any position of a later era is later.

    Examples
    ========

    >>> StorePosition(0, 900) < StorePosition(1, 850) < StorePosition(1, 851)
    True

    Parameters
    ==========

    era : int
        Number of returns from an older copy; 0 if the service states none.
    revision : int
        Number of changes up to this position, counted by the service.
    """

    era: int = 0
    revision: int = 0


# Position before all changes.
START: Final = StorePosition()
