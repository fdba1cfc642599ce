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
from tanagerbend_metrics.names import ALWAYS_EXPOSED, LABEL_NAMES
from tanagerbend_metrics.recorder import Recorder

METRIC_PREFIX = 'tanagerbend_'

Gauges = Mapping[tuple[str, str], Mapping[str, float]]


class RecorderCollector:
    """Prometheus collector of a recorder and gauges, created per scrape.

    Parameters
    ==========

    recorder : Recorder
    gauges : mapping
        Values by label value, for each metric name and label name.
    histogram_families : iterable of Metric
        Quantiles of the histograms.
    """

    def __init__(
        self,
        recorder: Recorder,
        gauges: Gauges,
        histogram_families: Iterable[Metric],
    ) -> None:
        self.recorder = recorder
        self.gauges = gauges
        self.histogram_families = histogram_families

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families."""
        counters = dict.fromkeys(ALWAYS_EXPOSED, {})
        counters.update(self.recorder.counters.by_name())
        for name, counts in counters.items():
            yield _counter_family(name, counts)
        for (name, label), samples in self.gauges.items():
            yield _gauge_family(name, label, samples)
        yield from self.histogram_families


def _counter_family(name: str, counts: Mapping[str, int]) -> Metric:
    label = LABEL_NAMES.get(name, 'label')
    has_labels = name in LABEL_NAMES or any(counts)
    family = CounterMetricFamily(
        METRIC_PREFIX + name,
        f'Count of {name}.',
        labels=(label,) if has_labels else (),
    )
    if not has_labels:
        family.add_metric((), counts.get('', 0))
        return family
    for label_value, count in counts.items():
        family.add_metric((label_value,), count)
    return family


def _gauge_family(
    name: str, label: str, samples: Mapping[str, float]
) -> Metric:
    family = GaugeMetricFamily(
        METRIC_PREFIX + name,
        f'Value of {name}.',
        labels=(label,) if label else (),
    )
    for label_value, sample in samples.items():
        family.add_metric((label_value,) if label else (), sample)
    return family


async def summary_families(histograms: Histograms) -> Iterable[Metric]:
    """Return the quantiles of each histogram, in seconds.

    Yields to the event loop before each histogram, so that calls are
    not delayed: one histogram takes about 0.2 ms, and a daemon may have
    hundreds.
    """
    families: dict[str, Metric] = {}
    for (name, tenant, rank), histogram in tuple(histograms.table.items()):
        await asyncio.sleep(0)
        full_name = f'{METRIC_PREFIX}{name}_seconds'
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
    """Return all counters, gauges and histograms in Prometheus text format.

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
        Values by label value, for each metric name and label name.
    """
    summaries = await summary_families(recorder.histograms)
    registry = CollectorRegistry(auto_describe=False)
    registry.register(RecorderCollector(recorder, gauges, summaries))
    return generate_latest(registry)
