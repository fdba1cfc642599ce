"""What a stand-in backend server does, switchable at run time."""

import enum

import attrs


class Excess(enum.Enum):
    """What happens to a request for which there is no slot."""

    REFUSED = 'refused'
    SLOW = 'slow'


@attrs.define
class Behaviour:
    """How the stand-in behaves, switchable at run time.

    Parameters
    ==========

    work_seconds : float
        Time that a request takes.
    slots : int
        Requests that run at the same time.
    excess : Excess
        Further requests get status 503, or all requests become slower
        in proportion.
    connections : int
        Further connections are closed at their first request.
    cold_seconds, cold_factor : float
        For so long after its start a request takes so many times longer.
    draining : bool
        New requests get status 503, running ones finish.
    sheds_load : bool
        Every request is answered with status 503.
    load_percent : int or None
        Load that the stand-in reports; None for the true one.
    crash_mark : bytes
        A request with this text in its path or body crashes the stand-in;
        empty for never.
    crash_seconds : float
        Time for which it does not listen after a crash.
    truncated, crossed, lost : float
        Share of the answers that end early, that belong to another
        request, or that are never sent although the request ran.
    """

    work_seconds: float = 0.0
    slots: int = 6
    excess: Excess = Excess.REFUSED
    connections: int = 130
    cold_seconds: float = 0.0
    cold_factor: float = 1.0
    draining: bool = False
    sheds_load: bool = False
    load_percent: int | None = None
    crash_mark: bytes = b''
    crash_seconds: float = 0.2
    truncated: float = 0.0
    crossed: float = 0.0
    lost: float = 0.0
