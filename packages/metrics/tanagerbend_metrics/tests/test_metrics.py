"""Metrics: bounded memory for any input, and mergeable histograms."""

import random

import pytest
from prometheus_client.parser import text_string_to_metric_families

from tanagerbend_metrics import (
    Counters,
    Histograms,
    Journal,
    Recorder,
    expose,
    quantiles_of,
)
from tanagerbend_metrics.counters import MAX_LABELS
from tanagerbend_metrics.histograms import MAX_HISTOGRAMS
from tanagerbend_metrics.names import QUEUE_TIME
from tanagerbend_timer import ManualTimer


def test_tenants_cannot_grow_the_histograms():
    """Guards against memory that grows with tenants sent by callers."""
    histograms = Histograms()
    for index in range(5000):
        histograms.record(QUEUE_TIME, f'tenant-{index}', index % 10, 0.01)
    assert len(histograms.table) <= MAX_HISTOGRAMS + 10
    total = sum(
        histogram.get_total_count() for histogram in histograms.table.values()
    )
    assert total == 5000


def test_labels_cannot_grow_the_counters():
    """Guards against memory that grows with labels sent by callers."""
    counters = Counters()
    for index in range(5000):
        counters.add('refusals', f'label-{index}')
    assert len(counters.by_name()['refusals']) == MAX_LABELS + 1
    assert counters.total('refusals') == 5000


def test_journal_is_bounded_in_entries_and_text():
    """Guards against a journal that grows without bound, and against
    frequent events that evict the rare ones."""
    journal = Journal()
    journal.record_event(0.0, 'request_convicted', 'a1')
    for index in range(8000):
        journal.record_event(
            float(index), 'version_rejected', 'x' * 9999, 'y' * 9999
        )
    rare, first, *others = journal.entries
    assert rare.event == 'request_convicted'
    assert first.wall == 3001
    assert len(others) == 4998
    assert len(first.subject + first.reason) == 1000


@pytest.mark.parametrize(
    'tenant',
    ['a"b', 'a\nb 1', 'a\\', '}', 'ä\u2028', '\x00', ''],
)
async def test_any_tenant_survives_the_text_format(tenant):
    """Guards against a tenant whose characters break the whole scrape."""
    recorder = Recorder(ManualTimer())
    recorder.histograms.record(QUEUE_TIME, tenant, 3, 0.25)
    recorder.count('refusals', tenant)
    text = (await expose(recorder, {})).decode()
    samples = [
        sample
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    ]
    found = {
        sample.labels['quantile']: sample.value
        for sample in samples
        if sample.labels.get('tenant') == tenant and 'quantile' in sample.labels
    }
    assert found['0.99'] == pytest.approx(0.25, rel=0.02)
    assert any(sample.labels.get('code') == tenant for sample in samples)


def test_merged_quantiles_equal_those_of_all_values():
    """Guards against an encoding that loses counts."""
    rng = random.Random(5)
    parts, whole = [Histograms() for _ in range(4)], Histograms()
    for _ in range(4000):
        seconds = rng.expovariate(20)
        rng.choice(parts).record(QUEUE_TIME, 'studio', 1, seconds)
        whole.record(QUEUE_TIME, 'studio', 1, seconds)
    merged = Histograms()
    for part in parts:
        merged.merge(part.encode_all())
    found = quantiles_of(merged.get_or_create(QUEUE_TIME, 'studio', 1))
    assert found == quantiles_of(whole.get_or_create(QUEUE_TIME, 'studio', 1))
    assert found[0.99] > found[0.5] > 0


@pytest.mark.parametrize('seconds', [-1.0, 0.0, 1e-9, 3599.9, 1e9])
def test_any_time_is_counted(seconds):
    """Guards against out-of-range times that are dropped or raise."""
    histograms = Histograms()
    histograms.record(QUEUE_TIME, 'studio', 1, seconds)
    assert (
        histograms.get_or_create(QUEUE_TIME, 'studio', 1).get_total_count() == 1
    )


def test_empty_histogram_has_quantiles():
    """Guards against a division by zero for a histogram without values."""
    empty = Histograms().get_or_create(QUEUE_TIME, 'studio', 1)
    assert set(quantiles_of(empty).values()) == {0}
