"""Adjustable behaviour of a stand-in backend server."""

import enum

import attrs


class OverloadResponse(enum.Enum):
    """Response to a request that arrives when all slots are in use."""

    REFUSED = 'refused'
    SLOW = 'slow'


@attrs.define
class Behaviour:
    """Behaviour of the stand-in, adjustable at run time.

    Parameters
    ==========

    work_seconds : float
        Processing time of a request.
    slots : int
        Number of requests that can run concurrently.
    overload_response : OverloadResponse
        Whether requests beyond the slots get status 503 or slow down all
        requests in proportion.
    connections : int
        Maximum number of open connections.  Further connections are
        closed at their first request.
    cold_seconds, cold_factor : float
        Duration of the cold start, and the factor by which the processing
        time is multiplied during it.
    draining : bool
        New requests and readiness probes get status 503; running requests
        complete.
    sheds_load : bool
        Every request gets status 503.
    load_percent : int or None
        Reported load; None to report the actual load.
    crash_trigger : bytes
        A request whose path or body contains these bytes crashes the
        stand-in; empty to disable crashes.
    crash_seconds : float
        Time between a crash and the restart, without listening.
    truncated_share, crossed_share, lost_share : float
        Fractions of the answers that end early, that belong to another
        request, or that are never sent although the request ran.
    """

    work_seconds: float = 0.0
    slots: int = 6
    overload_response: OverloadResponse = OverloadResponse.REFUSED
    connections: int = 130
    cold_seconds: float = 0.0
    cold_factor: float = 1.0
    draining: bool = False
    sheds_load: bool = False
    load_percent: int | None = None
    crash_trigger: bytes = b''
    crash_seconds: float = 0.2
    truncated_share: float = 0.0
    crossed_share: float = 0.0
    lost_share: float = 0.0
