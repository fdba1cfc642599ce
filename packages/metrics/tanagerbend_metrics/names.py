"""Names of histograms and of counters that several packages use."""

from typing import Final

# Histograms, in seconds, by tenant and effective rank.
QUEUE_TIME: Final = 'queue'
BACKEND_TIME: Final = 'backend'
# Time of a call in this daemon without queue, backend server and peers,
# for answers that are neither streamed nor those of orders.
ADDED_TIME: Final = 'added'

# Time from the arrival of a request at its entry daemon to its answer.
ANSWER_TIME: Final = 'answer'
# How late a periodic call of the event loop runs, and the time until a
# connection is open.
LOOP_DELAY: Final = 'loop_delay'
CONNECT_TIME: Final = 'connect'
# Bytes of bodies between this host and others.
BYTES_SENT: Final = 'bytes_sent'
BYTES_RECEIVED: Final = 'bytes_received'
# Large answers and their bytes by purpose and end, and the time that each
# waited for its turns on the link.
LARGE_ANSWERS: Final = 'large_answers'
LARGE_BYTES: Final = 'large_answer_bytes'
TURN_TIME: Final = 'turns'

# A call that the owner refuses to its entry daemon may be served by another
# instance, so these are counted apart from what callers see.
REFUSALS: Final = 'refusals'
REFUSALS_TO_PEERS: Final = 'refusals_to_peers'
EVENTS: Final = 'events'
CONTROL_BYTES_SENT: Final = 'control_bytes_sent'
CONTROL_MESSAGES: Final = 'control_messages'
FRAMES_REFUSED: Final = 'frames_refused'
SERVICE_CALLS: Final = 'service_calls'
# Requests that instances got after others, by the end of the last send, and
# calls of runs that were repeats, by the share that tells how likely each is.
REPEATS: Final = 'repeats_sent'
CAUSED_REPEATS: Final = 'repeats_caused'
# Must stay 0.
ORDERS_STARTED_AGAIN: Final = 'orders_started_again'
# A connection that breaks during a request is taken for a crash.
BACKEND_CRASHES: Final = 'backend_connections_broken'

# Name of the label of each counter that has one.
LABELS: Final = {
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
}
# Exposed from the start, so that an alert on them never lacks a series.
ALWAYS_EXPOSED: Final = (
    REFUSALS,
    FRAMES_REFUSED,
    ORDERS_STARTED_AGAIN,
    BACKEND_CRASHES,
)
