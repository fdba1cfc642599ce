"""Histograms per tenant and rank."""

from collections.abc import Iterable
from typing import Final

import attrs
from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS: Final = 1
HIGHEST_MICROSECONDS: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
# Tenants beyond this share one histogram, which bounds the memory.
MAX_TENANTS: Final = 64
OTHER_TENANTS: Final = 'other'
MICROSECONDS: Final = 1_000_000
QUANTILES: Final = (0.5, 0.9, 0.99, 0.999)
PERCENT: Final = 100


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(
        LOWEST_MICROSECONDS,
        HIGHEST_MICROSECONDS,
        SIGNIFICANT_DIGITS,
    )


def seconds_at(histogram: HdrHistogram, quantile: float) -> float:
    """Return the time in seconds at a quantile from 0 to 1."""
    found = histogram.get_value_at_percentile(quantile * PERCENT)
    return found / MICROSECONDS


@attrs.frozen
class Encoded:
    """One histogram as hdrhistogram encodes it, ready to be merged.

    Parameters
    ==========

    name : str
    tenant : str
    rank : int
    text : str
        Compressed counts in base64.
    """

    name: str
    tenant: str
    rank: int
    text: str


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
        micros = max(LOWEST_MICROSECONDS, int(seconds * MICROSECONDS))
        self.of(name, tenant, rank).record_value(
            min(micros, HIGHEST_MICROSECONDS),
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

    def encoded(self) -> tuple[Encoded, ...]:
        """Return all histograms encoded, in the order of their keys."""
        return tuple(
            Encoded(*key, histogram.encode().decode())
            for key, histogram in sorted(self.table.items(), key=_key)
        )

    def merge(self, encoded: Iterable[Encoded]) -> None:
        """Add the counts of other daemons' histograms.

        Examples
        ========

        >>> one, total = Histograms(), Histograms()
        >>> one.record('queue', 'studio', 1, 0.002)
        >>> total.merge(one.encoded() + one.encoded())
        >>> total.of('queue', 'studio', 1).get_total_count()
        2
        """
        for entry in encoded:
            histogram = self.of(entry.name, entry.tenant, entry.rank)
            histogram.decode_and_add(entry.text.encode())


def _key(item: tuple[tuple[str, str, int], HdrHistogram]) -> tuple:
    return item[0]
