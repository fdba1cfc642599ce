"""Value ranges of entries, configurations and messages.

Input may hold a number of any magnitude.  An out-of-range number is rejected
where it is read, since otherwise it breaks a computation elsewhere.
"""

from typing import Any, Final

from tanagerbend_model.addresses import MAX_WIRE_NUMBER, is_address, is_name
from tanagerbend_routing import ColdRate, ListedInstance

# Each running request takes two file descriptors of the daemon; hosts allow
# up to 8,192.
MAX_SLOTS: Final = 4096
# Requests that run at an instance or wait for it.
MAX_BUSY: Final = 1_000_000
# Instances warm up within seconds; an hour cannot be a warm-up.
MAX_COLD_SECONDS: Final = 3600.0
# Requests a second; a lower rate than the minimum is no rate.
MIN_COLD_RATE: Final = 0.001
MAX_COLD_RATE: Final = 1_000_000.0
# Longest duration of a request: a day.
MAX_REQUEST_SECONDS: Final = 86_400.0
# Length of the identity of an instance, in characters.
MAX_IDENTITY_LENGTH: Final = 200
MAX_RANK: Final = 1000
MAX_ATTEMPTS: Final = 1000
MAX_WEIGHT: Final = 1_000_000.0
# A terabyte.
MAX_BYTES: Final = 1_000_000_000_000
# Unix milliseconds in the year 5138.
MAX_UNIX_MILLISECONDS: Final = 100_000_000_000_000


def is_whole(
    value: Any, minimum: int = 0, maximum: int = MAX_WIRE_NUMBER
) -> bool:
    """Return whether a value is an integer in a range.

    Examples
    ========

    >>> is_whole(3), is_whole(True), is_whole(-1), is_whole(2**63)
    (True, False, False, False)
    """
    has_integer_type = isinstance(value, int) and not isinstance(value, bool)
    return has_integer_type and minimum <= value <= maximum


def is_number(value: Any, maximum: float) -> bool:
    """Return whether a value is a number from 0 to ``maximum``.

    Examples
    ========

    >>> is_number(2.5, 10.0), is_number(float('nan'), 10.0)
    (True, False)
    """
    has_number_type = isinstance(value, int | float) and not isinstance(
        value, bool
    )
    return has_number_type and 0 <= value <= maximum


def is_request_seconds(value: Any) -> bool:
    """Return whether a value is a duration that a request may have."""
    return is_number(value, MAX_REQUEST_SECONDS)


def is_valid_cold_rate(rate: ColdRate) -> bool:
    """Return whether the fields of a rate are in range."""
    return (
        is_number(rate.per_second, MAX_COLD_RATE)
        and rate.per_second >= MIN_COLD_RATE
        and is_number(rate.start_seconds, MAX_COLD_SECONDS)
    )


def invalid_field(instance: ListedInstance, now: float) -> str:
    """Return the first field out of range in an entry, else empty.

    ``now`` is in monotonic seconds.
    """
    address = instance.address
    is_usable = isinstance(address, str) and is_address(address)
    checks = {
        'address': is_usable,
        'service': is_valid_name(instance.service),
        'failure domain': is_valid_name(instance.failure_domain),
        'slots': is_whole(instance.slots, 1, MAX_SLOTS),
        'cold': instance.cold_until - now <= MAX_COLD_SECONDS,
        'born': is_whole(instance.born, 0, MAX_UNIX_MILLISECONDS),
        'sequence': instance.sequence is None or is_whole(instance.sequence),
    }
    return next((name for name, is_valid in checks.items() if not is_valid), '')


def is_valid_name(value: Any) -> bool:
    """Return whether a value can name a service, domain or route."""
    return isinstance(value, str) and is_name(value)
