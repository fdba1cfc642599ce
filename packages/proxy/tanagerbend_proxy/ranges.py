"""Ranges of what a daemon reads: entries, configurations, messages.

Whoever writes a value may be wrong by any number of digits, and a number out
of its range ends a computation far from where it was read.
"""

from typing import Any, Final

from tanagerbend_model.addresses import MAX_NUMBER, is_address, is_name
from tanagerbend_routing import ListedInstance

# Each running request takes two of the descriptors of a daemon, of which
# hosts have up to 8,192.
MOST_SLOTS: Final = 4096
# Requests that run at an instance and wait for it.
MOST_BUSY: Final = 1_000_000
# Instances are slow for seconds after their start; an hour is no start.
MOST_COLD_SECONDS: Final = 3600.0
# Longest time that a request may take: a day.
MOST_SECONDS: Final = 86_400.0
# Characters of the identity of an instance.
MOST_IDENTITY: Final = 200
MOST_RANK: Final = 1000
MOST_ATTEMPTS: Final = 1000
MOST_WEIGHT: Final = 1_000_000.0
# A terabyte.
MOST_BYTES: Final = 1_000_000_000_000
# Unix milliseconds in the year 5138.
MOST_MILLISECONDS: Final = 100_000_000_000_000


def is_whole(found: Any, least: int = 0, most: int = MAX_NUMBER) -> bool:
    """Tell whether something read is a whole number in a range.

    Examples
    ========

    >>> is_whole(3), is_whole(True), is_whole(-1), is_whole(2**63)
    (True, False, False, False)
    """
    is_number = isinstance(found, int) and not isinstance(found, bool)
    return is_number and least <= found <= most


def is_number(found: Any, most: float) -> bool:
    """Tell whether something read is a number from 0 to ``most``.

    Examples
    ========

    >>> is_number(2.5, 10.0), is_number(float('nan'), 10.0)
    (True, False)
    """
    is_any = isinstance(found, int | float) and not isinstance(found, bool)
    return is_any and 0 <= found <= most


def is_seconds(found: Any) -> bool:
    """Tell whether something read is a time that a request may take."""
    return is_number(found, MOST_SECONDS)


def fault_of(instance: ListedInstance, now: float) -> str:
    """Return what is out of range in an entry, empty if nothing is.

    ``now`` is in monotonic seconds.
    """
    address = instance.address
    is_usable = isinstance(address, str) and is_address(address)
    checks = {
        'address': is_usable,
        'service': is_text(instance.service),
        'failure domain': is_text(instance.failure_domain),
        'slots': is_whole(instance.slots, 1, MOST_SLOTS),
        'cold': instance.cold_until - now <= MOST_COLD_SECONDS,
        'born': is_whole(instance.born, 0, MOST_MILLISECONDS),
    }
    return next((name for name, is_good in checks.items() if not is_good), '')


def is_text(found: Any) -> bool:
    """Tell whether something read can name a service, domain or route."""
    return isinstance(found, str) and is_name(found)
