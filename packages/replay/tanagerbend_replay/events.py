"""Events of a trace.  Times are seconds since its beginning."""

import enum
from typing import Final

import attrs

FORMAT_VERSION: Final = 1
DEFAULT_SLOTS: Final = 6


class FaultKind(enum.Enum):
    """What happens to a host or to the configuration service."""

    DAEMON_KILLED = 'daemon_killed'
    DAEMON_STOPPED = 'daemon_stopped'
    DAEMON_STARTED = 'daemon_started'
    DAEMON_PAUSED = 'daemon_paused'
    DAEMON_RESUMED = 'daemon_resumed'
    SERVICE_LOST = 'service_lost'
    SERVICE_BACK = 'service_back'


@attrs.frozen
class Instance:
    """One backend server host with its daemon."""

    host: str
    service: str
    failure_domain: str


@attrs.frozen
class Publication:
    """A value is published under a revision.

    Parameters
    ==========

    at : float
    revision : int
    sheet : str
        Text of the value.
    """

    at: float
    revision: int
    sheet: str


@attrs.frozen
class HostsEvent:
    """The host list changes.

    Parameters
    ==========

    at : float
    hosts : tuple of str
        All listed hosts.
    leaving : tuple of str
        Those of them that are to leave.
    """

    at: float
    hosts: tuple[str, ...]
    leaving: tuple[str, ...] = ()


@attrs.frozen
class FaultEvent:
    """A fault begins or ends; ``host`` is empty for the service."""

    at: float
    fault: FaultKind
    host: str = ''


@attrs.frozen
class CallEvent:
    """A call or one sending of an order arrives.

    Parameters
    ==========

    at : float
    service, work, method, path, tenant : str
    rank : int
        Effective rank by the sheet in force when it was recorded.
    seconds : float
        Time that a backend server works on it.
    via : str
        Host of the entry daemon; empty for any.
    order : str
        Names the order; equal in all its sendings.  Empty if none.
    """

    at: float
    service: str
    work: str
    method: str
    path: str
    tenant: str
    rank: int
    seconds: float
    via: str = ''
    order: str = ''


Event = Publication | HostsEvent | FaultEvent | CallEvent


@attrs.frozen
class Trace:
    """A whole trace.

    Parameters
    ==========

    deployment : str
    origin : str
        Says whether the trace was recorded or written by hand.
    instances : tuple of Instance
    slots : int
        Of each instance.
    events : tuple of Event
        In the order of their times.
    """

    deployment: str
    origin: str
    instances: tuple[Instance, ...]
    slots: int
    events: tuple[Event, ...]


@attrs.frozen
class TraceFault:
    """The text is not a trace; ``line`` counts from 1."""

    line: int
    reason: str
