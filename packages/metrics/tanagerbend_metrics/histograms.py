"""Histograms per tenant and rank."""

from typing import Final

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS: Final = 1
HIGHEST_MICROSECONDS: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
# Tenants beyond this share one histogram, which bounds the memory.
MAX_TENANTS: Final = 64
OTHER_TENANTS: Final = 'other'
MICROSECONDS: Final = 1_000_000


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(
        LOWEST_MICROSECONDS,
        HIGHEST_MICROSECONDS,
        SIGNIFICANT_DIGITS,
    )


class Histograms:
    """Histograms by name, tenant and rank.

    Examples
    ========

    >>> histograms = Histograms()
    >>> histograms.record('queue', 'studio', 1, 0.002)
    >>> histograms.of('queue', 'studio', 1).get_total_count()
    1
    """

    def __init__(self) -> None:
        self.table: dict[tuple[str, str, int], HdrHistogram] = {}
        self.tenants: set[str] = set()

    def record(
        self,
        name: str,
        tenant: str,
        rank: int,
        seconds: float,
    ) -> None:
        """Record a time in seconds."""
        self.of(name, tenant, rank).record_value(
            max(LOWEST_MICROSECONDS, int(seconds * MICROSECONDS)),
        )

    def of(self, name: str, tenant: str, rank: int) -> HdrHistogram:
        """Return the histogram, made when first asked for."""
        if tenant not in self.tenants:
            if len(self.tenants) >= MAX_TENANTS:
                tenant = OTHER_TENANTS
            self.tenants.add(tenant)
        key = (name, tenant, rank)
        if key not in self.table:
            self.table[key] = make_histogram()
        return self.table[key]
