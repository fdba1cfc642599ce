"""Events of a trace.  Times are in seconds since the start of the trace."""

import enum
from typing import Final

import attrs

FORMAT_VERSION: Final = 1
DEFAULT_SLOTS: Final = 6


class FaultKind(enum.Enum):
    """Kind of fault of a daemon or of the configuration service."""

    DAEMON_KILLED = 'daemon_killed'
    DAEMON_STOPPED = 'daemon_stopped'
    DAEMON_STARTED = 'daemon_started'
    DAEMON_PAUSED = 'daemon_paused'
    DAEMON_RESUMED = 'daemon_resumed'
    SERVICE_LOST = 'service_lost'
    SERVICE_BACK = 'service_back'


@attrs.frozen
class Instance:
    """A host with its backend server and daemon."""

    host: str
    service: str
    failure_domain: str


@attrs.frozen
class Publication:
    """The configuration service publishes a sheet under a revision.

    Parameters
    ==========

    at : float
    revision : int
    sheet : str
        Text of the sheet, which may be invalid.
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
        The listed hosts that are marked as leaving.
    """

    at: float
    hosts: tuple[str, ...]
    leaving: tuple[str, ...] = ()


@attrs.frozen
class FaultEvent:
    """A fault begins or ends.

    ``host`` is empty for a fault of the configuration service.
    """

    at: float
    fault: FaultKind
    host: str = ''


@attrs.frozen
class CallEvent:
    """A call, or one attempt to send an order, arrives.

    Parameters
    ==========

    at : float
    service, work, method, path, tenant : str
    rank : int
        Effective rank under the sheet in force at recording time.
    seconds : float
        Service time at the backend server.
    via : str
        Host of the entry daemon; if empty, one is chosen at random.
    order : str
        Identifier of the order, the same in each attempt; empty if
        the call is not an order.
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
    """The instances and events of a run.

    Parameters
    ==========

    deployment : str
    origin : str
        Says whether the trace was recorded or written by hand.
    instances : tuple of Instance
    slots : int
        Number of slots of each instance.
    events : tuple of Event
        Sorted by time.
    """

    deployment: str
    origin: str
    instances: tuple[Instance, ...]
    slots: int
    events: tuple[Event, ...]


@attrs.frozen
class TraceError:
    """The reason why a file is not valid.

    ``line`` counts from 1; it is 0 if the fault has no line.
    """

    line: int
    reason: str
