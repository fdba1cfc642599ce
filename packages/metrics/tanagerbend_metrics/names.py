"""Names of histograms and of counters that several packages use."""

from typing import Final

# Histograms, in seconds, by tenant and effective rank.
QUEUE_TIME: Final = 'queue'
BACKEND_TIME: Final = 'backend'
# Time that this daemon adds to a call: without queue, backend server and
# peers, for answers that are neither streamed nor answers to orders.
ADDED_TIME: Final = 'added'

# Time from the arrival of a request at its entry daemon to its answer.
ANSWER_TIME: Final = 'answer'
# Delay of a periodic callback of the event loop, and the time that opening
# a connection takes.
LOOP_DELAY: Final = 'loop_delay'
CONNECT_TIME: Final = 'connect'
# Longest time for which changes can have been missing when they arrive.
CHANGE_DELAY: Final = 'change_delay'
# Bytes of request and answer bodies exchanged with other hosts.
BYTES_SENT: Final = 'bytes_sent'
BYTES_RECEIVED: Final = 'bytes_received'
# Large answers and their bytes by purpose and how they ended, and the time
# that each waited for its turns to send on the link.
LARGE_ANSWERS: Final = 'large_answers'
LARGE_BYTES: Final = 'large_answer_bytes'
TURN_WAIT_TIME: Final = 'turns'

# Refusals to callers.  A call that the owner refuses to its entry daemon may
# still be served by another instance, so those are counted separately.
REFUSALS: Final = 'refusals'
REFUSALS_TO_PEERS: Final = 'refusals_to_peers'
EVENTS: Final = 'events'
CONTROL_BYTES_SENT: Final = 'control_bytes_sent'
CONTROL_MESSAGES: Final = 'control_messages'
FRAMES_REFUSED: Final = 'frames_refused'
SERVICE_CALLS: Final = 'service_calls'
# Repeats of requests, by the status or code that ended the previous attempt,
# and calls made by repeated runs, each weighted with the estimated probability
# that its run is a repeat.
REPEATS: Final = 'repeats_sent'
CALLS_OF_REPEATED_RUNS: Final = 'repeats_caused'
# Must stay 0: an order runs at most once.
ORDERS_STARTED_AGAIN: Final = 'orders_started_again'
# A connection that breaks during a request counts as a crash.
BACKEND_CRASHES: Final = 'backend_connections_broken'

# Name of the label of each counter that has one.
LABEL_NAMES: Final = {
    REFUSALS: 'code',
    REFUSALS_TO_PEERS: 'code',
    EVENTS: 'event',
    'not_admitted': 'code',
    'fetches_refused': 'code',
    CONTROL_BYTES_SENT: 'message',
    'control_bytes_received': 'message',
    CONTROL_MESSAGES: 'message',
    FRAMES_REFUSED: 'code',
    SERVICE_CALLS: 'key',
    'ejections_withheld': 'service',
    REPEATS: 'end',
    'retries': 'service',
    'retries_beyond_budget': 'service',
    'hosts_refused': 'reason',
    'input_refused': 'reason',
    'records_refused': 'reason',
    'orders_ended': 'state',
    'store_calls': 'call',
    BYTES_SENT: 'purpose',
    BYTES_RECEIVED: 'purpose',
    LARGE_ANSWERS: 'end',
    LARGE_BYTES: 'end',
    'log_lines_left_out': 'event',
    'uploads_refused_early': 'code',
    'instance_probes_failed': 'error',
    'instance_watches_ended': 'reason',
}
# Exposed before they are first incremented, so that alerts on them always
# have a time series.
ALWAYS_EXPOSED: Final = (
    REFUSALS,
    FRAMES_REFUSED,
    ORDERS_STARTED_AGAIN,
    BACKEND_CRASHES,
)
