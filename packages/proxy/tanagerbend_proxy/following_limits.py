"""Time limits of following the configuration service."""

from typing import Final

# A watch whose answer was lost must end, and the next one begin, within
# three seconds: a daemon has to be up to date that soon after an outage.
WATCH_SECONDS: Final = 2.0
ANSWER_SECONDS: Final = 0.7
# An answer that takes longer is delayed by a saturated link, a lost packet
# or a stopped process; other daemons are then polled in parallel.
HEDGE_DELAY_SECONDS: Final = 0.25
# Shorter transfers fit in the socket buffers, so that their duration says
# nothing about the bandwidth.
MIN_MEASURED_BYTES: Final = 65536
# A transfer of changes that takes longer falls behind: the answer holds every
# version since the previous one, and the next answer is larger still.  A
# listing holds only the newest version.
SLOW_TRANSFER_SECONDS: Final = 0.4
# Lower bound of a peer's wait, of a watch and of the duration that a read
# speed is computed from.
MIN_SECONDS: Final = 0.001
# Characters of an exception message in a log line.
MAX_REASON_LENGTH: Final = 200
INITIAL_BACKOFF_SECONDS: Final = 0.05
MAX_BACKOFF_SECONDS: Final = 0.5
# Interval at which entries retained during an outage are checked for expiry.
EXPIRY_CHECK_SECONDS: Final = 0.1
# Wait after a change, so that one read returns a burst of changes; well
# below the two seconds within which a configuration must be in force.
COALESCE_SECONDS: Final = 0.4
# A daemon that may relay to peers uses shorter times: it has to detect a lost
# answer early enough for its peers to get the change from another daemon.
READER_WATCH_SECONDS: Final = 0.8
READER_COALESCE_SECONDS: Final = 0.2
# A peer's answer is used only if the peer heard from the service at most this
# long ago: the reader's coalescing delay, a full watch and its answer.
MAX_AGE_SECONDS: Final = (
    READER_COALESCE_SECONDS + READER_WATCH_SECONDS + ANSWER_SECONDS
)
# The same for configurations.  A version that is published just after a slow
# transfer began arrives with the next one.  A reader that falls behind asks
# other daemons itself, and peers that left it would read over slow links.
MAX_VERSION_AGE_SECONDS: Final = 3.0
