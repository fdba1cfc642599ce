"""Names of headers, as the adapter to a platform gives them."""

import attrs


@attrs.frozen
class HeaderNames:
    """Headers that callers, daemons and instances exchange.

    Parameters
    ==========

    request_id : str
        Identifier of one attempt of a caller, echoed by the instance.
    time_left : str
        Milliseconds for which the sender waits.
    stamp : str
        Mark of an instance on its answer.
    expected_instance : str
        Identity of the instance that alone may run the request.
    load : str
    not_run : str
        Says that the instance did not run the request.
    caller_service : str
        Service on the host where the request began.
    instance : str
        Identity of the instance that answers.
    """

    request_id: str
    time_left: str
    stamp: str
    expected_instance: str
    load: str
    not_run: str
    caller_service: str
    instance: str


# Headers between daemons, on top of those of the platform.
PLACED: str = 'Tanagerbend-Placed'
REPEATED: str = 'Tanagerbend-Repeated'
OUTCOME: str = 'Tanagerbend-Outcome'
FOLLOW: str = 'Tanagerbend-Follow'
CRASHES: str = 'Tanagerbend-Crashes'
CRASH_NEWS: str = 'Tanagerbend-Crash-News'
