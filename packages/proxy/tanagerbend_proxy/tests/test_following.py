"""Times of the following of the service, against what platforms grant."""

from tanagerbend_proxy.exchange import CONNECT_SECONDS
from tanagerbend_proxy.following import (
    ANSWER_SECONDS,
    EXPIRY_SECONDS,
    LATE_SECONDS,
    LONGEST_BACKOFF_SECONDS,
    READER_GATHER_SECONDS,
    WATCH_SECONDS,
)
from tanagerbend_proxy.sources import POLL_WAIT_SECONDS
from tanagerbend_routing.registry import LAPSE_SECONDS, LEAVING_SECONDS

# A daemon counts as in touch this long after the end of a disruption.
IN_TOUCH_SECONDS = 3.0
# The shortest time from the news that an instance leaves to the last request.
DRAIN_SECONDS = 2.0


def test_removed_instances_are_dropped_before_a_daemon_is_in_touch():
    """Guards against work for an instance that left during a cut.

    Found by a hunt (scale-2 of derwent-lane, seed 454628185041): a daemon
    that had been cut from the service for eleven seconds used an instance
    until 3.0 s after the cut although its entry had been removed.
    """
    heard_again = LONGEST_BACKOFF_SECONDS + CONNECT_SECONDS
    dropped = heard_again + LAPSE_SECONDS + EXPIRY_SECONDS
    assert dropped < IN_TOUCH_SECONDS


def test_lost_watch_ends_before_a_daemon_is_in_touch():
    """Guards against changes that are missed behind a lost answer."""
    assert WATCH_SECONDS + ANSWER_SECONDS < IN_TOUCH_SECONDS


def test_no_work_follows_an_instance_that_left_behind_a_silent_source():
    """Guards against limits that add up to more than is granted."""
    noticed = POLL_WAIT_SECONDS + LATE_SECONDS
    news = READER_GATHER_SECONDS + noticed + LATE_SECONDS
    assert news + LEAVING_SECONDS < DRAIN_SECONDS
