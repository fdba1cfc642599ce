"""Prometheus text format of counters, histograms and gauges."""

import asyncio
from collections.abc import Iterable, Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from tanagerbend_metrics.histograms import Histograms, quantiles_of
from tanagerbend_metrics.names import ALWAYS_EXPOSED, LABELS
from tanagerbend_metrics.recorder import Recorder

PREFIX = 'tanagerbend_'

Gauges = Mapping[tuple[str, str], Mapping[str, float]]


class Exposition:
    """Collector over a recorder and gauges; one is made for each scrape.

    Parameters
    ==========

    recorder : Recorder
    gauges : mapping
        Values by label, by name and label name.
    times : iterable of Metric
        Families of the histograms.
    """

    def __init__(
        self,
        recorder: Recorder,
        gauges: Gauges,
        times: Iterable[Metric],
    ) -> None:
        self.recorder = recorder
        self.gauges = gauges
        self.times = times

    def collect(self) -> Iterator[Metric]:
        """Return the metric families."""
        counters = dict.fromkeys(ALWAYS_EXPOSED, {})
        counters.update(self.recorder.counters.by_name())
        for name, counts in counters.items():
            yield _counter(name, counts)
        for (name, label), numbers in self.gauges.items():
            yield _gauge(name, label, numbers)
        yield from self.times


def _counter(name: str, counts: Mapping[str, int]) -> Metric:
    label = LABELS.get(name, 'label')
    has_labels = name in LABELS or any(counts)
    family = CounterMetricFamily(
        PREFIX + name,
        f'Count of {name}.',
        labels=(label,) if has_labels else (),
    )
    if not has_labels:
        family.add_metric((), counts.get('', 0))
        return family
    for text, count in counts.items():
        family.add_metric((text,), count)
    return family


def _gauge(name: str, label: str, numbers: Mapping[str, float]) -> Metric:
    family = GaugeMetricFamily(
        PREFIX + name,
        f'Value of {name}.',
        labels=(label,) if label else (),
    )
    for text, number in numbers.items():
        family.add_metric((text,) if label else (), number)
    return family


async def summaries(histograms: Histograms) -> Iterable[Metric]:
    """Return the quantiles of each histogram, in seconds.

    Calls go on between two histograms: one takes about 0.2 ms, and a
    daemon may have hundreds.
    """
    families: dict[str, Metric] = {}
    for (name, tenant, rank), histogram in tuple(histograms.table.items()):
        await asyncio.sleep(0)
        full_name = f'{PREFIX}{name}_seconds'
        if name not in families:
            families[name] = Metric(full_name, f'Time {name}.', 'summary')
        family = families[name]
        labels = {'tenant': tenant, 'rank': str(rank)}
        for quantile, seconds in quantiles_of(histogram).items():
            family.add_sample(
                full_name,
                {**labels, 'quantile': str(quantile)},
                seconds,
            )
        family.add_sample(
            f'{full_name}_count',
            labels,
            histogram.get_total_count(),
        )
    return families.values()


async def expose(recorder: Recorder, gauges: Gauges) -> bytes:
    """Return everything recorded in the Prometheus text format.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> recorder = Recorder(ManualTimer())
    >>> recorder.count('refusals', 'QUEUE_FULL')
    >>> text = asyncio.run(expose(recorder, {('ready', ''): {'': 1}}))
    >>> 'tanagerbend_refusals_total{code="QUEUE_FULL"} 1.0' in text.decode()
    True

    Parameters
    ==========

    recorder : Recorder
    gauges : mapping
        Values by label, by name and label name.
    """
    times = await summaries(recorder.histograms)
    registry = CollectorRegistry(auto_describe=False)
    registry.register(Exposition(recorder, gauges, times))
    return generate_latest(registry)
