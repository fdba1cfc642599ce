"""Header names: those that a platform defines, and those of daemons."""

import attrs


@attrs.frozen
class HeaderNames:
    """Headers that callers, daemons and instances exchange.

    Parameters
    ==========

    request_id : str
        Identifier of one attempt of a caller; the instance echoes it.
    time_left : str
        Milliseconds for which the sender waits for the answer.
    stamp : str
        Set by an instance on its answer, which proves that it handled the
        request.
    expected_instance : str
        Identity of the only instance that may run the request.
    load : str
        Load of the instance.
    not_run : str
        States that the instance did not run the request.
    caller_service : str
        Service on the host where the request originated.
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


# Headers between daemons, in addition to those of the platform.
PLACED: str = 'Tanagerbend-Placed'
REPEATED: str = 'Tanagerbend-Repeated'
OUTCOME: str = 'Tanagerbend-Outcome'
FOLLOW: str = 'Tanagerbend-Follow'
FOLLOW_ERA: str = 'Tanagerbend-Follow-Era'
CRASHES: str = 'Tanagerbend-Crashes'
CRASH_NEWS: str = 'Tanagerbend-Crash-News'
