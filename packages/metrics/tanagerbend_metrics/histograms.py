"""Time histograms by tenant and rank."""

from collections.abc import Iterable
from typing import Final

import attrs
from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS: Final = 1
HIGHEST_MICROSECONDS: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
# New tenants beyond this number share the histograms of ``OTHER_TENANT``,
# which bounds memory: 1,950 histograms used 54 MB of the 128 MB that a daemon
# may use.
MAX_HISTOGRAMS: Final = 256
OTHER_TENANT: Final = 'other'
MICROSECONDS_PER_SECOND: Final = 1_000_000
QUANTILES: Final = (0.5, 0.9, 0.99, 0.999)
PERCENT_PER_UNIT: Final = 100


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(
        LOWEST_MICROSECONDS,
        HIGHEST_MICROSECONDS,
        SIGNIFICANT_DIGITS,
    )


def quantiles_of(histogram: HdrHistogram) -> dict[float, float]:
    """Return the time in seconds at each of ``QUANTILES``.

    One pass over the counts takes a third of the time of one query for
    each quantile.

    Examples
    ========

    >>> histogram = make_histogram()
    >>> is_recorded = histogram.record_value(2000)
    >>> round(quantiles_of(histogram)[0.99], 3)
    0.002
    """
    percentiles = [quantile * PERCENT_PER_UNIT for quantile in QUANTILES]
    times = histogram.get_percentile_to_value_dict(percentiles)
    return {
        quantile: times.get(quantile * PERCENT_PER_UNIT, 0)
        / MICROSECONDS_PER_SECOND
        for quantile in QUANTILES
    }


@attrs.frozen
class EncodedHistogram:
    """One histogram in the encoding of HdrHistogram, for merging.

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

    Explanation
    ===========

    Once there are ``MAX_HISTOGRAMS``, new tenants are recorded as
    ``other``, with one histogram for each name and rank.

    Examples
    ========

    >>> histograms = Histograms()
    >>> histograms.record('queue', 'studio', 1, 0.002)
    >>> histograms.get_or_create('queue', 'studio', 1).get_total_count()
    1
    """

    def __init__(self) -> None:
        self.table: dict[tuple[str, str, int], HdrHistogram] = {}

    def record(
        self,
        name: str,
        tenant: str,
        rank: int,
        seconds: float,
    ) -> None:
        """Record a time in seconds."""
        microseconds = max(
            LOWEST_MICROSECONDS,
            int(seconds * MICROSECONDS_PER_SECOND),
        )
        self.get_or_create(name, tenant, rank).record_value(
            min(microseconds, HIGHEST_MICROSECONDS),
        )

    def get_or_create(self, name: str, tenant: str, rank: int) -> HdrHistogram:
        """Return the histogram, created on first use."""
        histogram = self.table.get((name, tenant, rank))
        if histogram is not None:
            return histogram
        if len(self.table) >= MAX_HISTOGRAMS:
            tenant = OTHER_TENANT
        return self.table.setdefault((name, tenant, rank), make_histogram())

    def encode_all(self) -> tuple[EncodedHistogram, ...]:
        """Return all histograms encoded, in the order of their keys."""
        return tuple(
            EncodedHistogram(*key, histogram.encode().decode())
            for key, histogram in sorted(self.table.items(), key=_histogram_key)
        )

    def merge(self, encoded: Iterable[EncodedHistogram]) -> None:
        """Add the counts of histograms of other daemons.

        Examples
        ========

        >>> one, total = Histograms(), Histograms()
        >>> one.record('queue', 'studio', 1, 0.002)
        >>> total.merge(one.encode_all() + one.encode_all())
        >>> total.get_or_create('queue', 'studio', 1).get_total_count()
        2
        """
        for entry in encoded:
            histogram = self.get_or_create(entry.name, entry.tenant, entry.rank)
            histogram.decode_and_add(entry.text.encode())


def _histogram_key(item: tuple[tuple[str, str, int], HdrHistogram]) -> tuple:
    return item[0]
