"""Time limits of following the service against those of platforms."""

from tanagerbend_proxy.exchange import CONNECT_SECONDS
from tanagerbend_proxy.following_limits import (
    ANSWER_SECONDS,
    EXPIRY_CHECK_SECONDS,
    HEDGE_DELAY_SECONDS,
    MAX_BACKOFF_SECONDS,
    READER_COALESCE_SECONDS,
    READER_WATCH_SECONDS,
    WATCH_SECONDS,
)
from tanagerbend_proxy.sources import POLL_WAIT_SECONDS
from tanagerbend_routing.evacuation import (
    DEPARTURE_SECONDS,
    REFUSAL_DELAY_SECONDS,
)
from tanagerbend_routing.outage import OUTAGE_GRACE_SECONDS
from tanagerbend_routing.registry import DEPARTURE_GRACE_SECONDS

# A daemon must be up to date again this long after an outage ends.
RECOVERY_SECONDS = 3.0
# The same on platforms with enough hosts in a failure domain for a reader.
RELAYED_DRAIN_SECONDS = 2.5
# Shortest time that platforms allow from the notice that an instance leaves
# to the last request it accepts.
DRAIN_SECONDS = 2.0
# Time that platforms allow for a new configuration, and for an evacuation.
APPLY_SECONDS = 2.5
EVACUATE_SECONDS = 5.0


def test_evacuation_is_complete_in_time():
    """Guards against requests that still move when none may arrive.

    The order arrives like a configuration; its owner refuses what daemons
    without the news send.
    """
    assert DEPARTURE_SECONDS < REFUSAL_DELAY_SECONDS
    order_after = APPLY_SECONDS + POLL_WAIT_SECONDS
    assert order_after + REFUSAL_DELAY_SECONDS <= EVACUATE_SECONDS


def test_removed_instances_are_dropped_within_the_recovery_time():
    """Guards against requests to an instance removed during an outage.

    In scenario scale-2 of derwent-lane, seed 454628185041, a daemon that had
    no contact with the service for eleven seconds used an instance until
    3.0 s after the outage although its entry had been removed.
    """
    contact_after = MAX_BACKOFF_SECONDS + CONNECT_SECONDS
    dropped_after = contact_after + OUTAGE_GRACE_SECONDS + EXPIRY_CHECK_SECONDS
    assert dropped_after < RECOVERY_SECONDS


def test_lost_watch_ends_within_the_recovery_time():
    """Guards against changes delayed too long by the loss of an answer."""
    assert WATCH_SECONDS + ANSWER_SECONDS < RECOVERY_SECONDS


def test_silent_source_does_not_delay_drain_notice_beyond_drain_time():
    """Guards against time limits that add up to more than the drain time."""
    detected_after = POLL_WAIT_SECONDS + HEDGE_DELAY_SECONDS
    notice_after = (
        READER_COALESCE_SECONDS + detected_after + HEDGE_DELAY_SECONDS
    )
    assert notice_after + DEPARTURE_GRACE_SECONDS < DRAIN_SECONDS


def test_reader_without_the_service_does_not_delay_drain_notice():
    """Guards against a reader that its peers rely on for too long."""
    noticed_after = READER_WATCH_SECONDS + HEDGE_DELAY_SECONDS
    notice_after = noticed_after + HEDGE_DELAY_SECONDS + READER_COALESCE_SECONDS
    assert notice_after + DEPARTURE_GRACE_SECONDS < RELAYED_DRAIN_SECONDS


def test_slow_transfer_does_not_delay_drain_notice():
    """Guards against entries that wait for the end of a large answer."""
    read_apart_after = READER_COALESCE_SECONDS + HEDGE_DELAY_SECONDS
    notice_after = read_apart_after + ANSWER_SECONDS
    assert notice_after + DEPARTURE_GRACE_SECONDS < DRAIN_SECONDS
