"""Load files, which describe a deployment, its requests and its faults."""

import math
import pathlib
import random
import tomllib
from typing import Any, Final

import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_routing import Repeat, RetryBudgetSettings

# Raised for fields that are missing, unknown or of a wrong type.
INVALID_LOAD_ERRORS: Final = (LookupError, TypeError, ValueError)
# Directory of the load files that are shipped with the package.
LOADS: Final = pathlib.Path(__file__).parent / 'loads'
# Ratio of a link of 70 Mbit/s to one of 3.85 Mbit/s.
FAST_LINK_FACTOR: Final = 18.0


@attrs.frozen
class ServiceLoad:
    """Instances of one service.

    Parameters
    ==========

    name : str
    instances, slots, queue : int
        ``queue`` is the length of the queue of each instance; requests
        that exceed it are rejected.
    speed_spread : float
        Standard deviation of the logarithm of the speed of an instance.
    is_silent : bool
        Whether an instance whose queue is full leaves requests unanswered.
    link : float
        Capacity of the outgoing link of each host in bytes per second;
        infinite if links are not a limit.
    fast_hosts : int
        Number of hosts with ``FAST_LINK_FACTOR`` times the link capacity.
    down : float
        Seconds until an instance that crashed is back.
    """

    name: str
    instances: int
    slots: int
    queue: int = 4
    speed_spread: float = 0.15
    is_silent: bool = False
    link: float = math.inf
    fast_hosts: int = 0
    down: float = 1.0

    def link_rate(self, number: int) -> float:
        """Return the link capacity of a host in bytes per second."""
        factor = FAST_LINK_FACTOR if number < self.fast_hosts else 1.0
        return self.link * factor


@attrs.frozen
class KindLoad:
    """Requests of one kind; times in seconds.

    Parameters
    ==========

    name, service : str
    rate : float
        Requests per second by callers; 0 if only instances call the kind.
    work, work_spread : float
        Mean processing time at an instance, and the standard deviation of
        its logarithm.
    objective, deadline, timeout : float
    rank : int
    repeat : Repeat
    kilobytes, kilobytes_spread, most_kilobytes : float
        Mean size of an answer, the standard deviation of the logarithm of
        the size, and the largest size.
    worth, worth_late : float
        Worth of an answer on time and of a late one.
    retries : int
        Number of retries by a caller whose request was refused.
    calls : tuple of str
        Kinds of the requests that an instance makes while it runs one.
    is_unique : bool
        Whether each request differs from the others of its kind.
    is_crashing : bool
        Whether an instance crashes when it begins to run one.
    """

    name: str
    service: str
    rate: float
    work: float
    objective: float
    deadline: float
    timeout: float
    rank: int = 0
    repeat: Repeat = Repeat.FREELY
    kilobytes: float = 1.0
    worth: float = 1.0
    worth_late: float = 0.3
    retries: int = 1
    calls: tuple[str, ...] = ()
    work_spread: float = 0.25
    kilobytes_spread: float = 0.0
    most_kilobytes: float = math.inf
    is_unique: bool = False
    is_crashing: bool = False

    def draw_kilobytes(self, rng: random.Random) -> float:
        """Draw the size of an answer."""
        if not self.kilobytes_spread:
            return self.kilobytes
        spread = self.kilobytes_spread
        log_mean = math.log(self.kilobytes) - spread**2 / 2
        size = rng.lognormvariate(log_mean, spread)
        return min(size, self.most_kilobytes)


@attrs.frozen
class Flood:
    """Temporary multiplication of the rate of a kind; times in seconds."""

    kind: str
    begin: float
    end: float
    factor: float


@attrs.frozen
class Slowness:
    """Temporary slowness of instances of a service; times in seconds."""

    service: str
    begin: float
    end: float
    instances: int
    factor: float


@attrs.frozen
class Shedding:
    """Temporary rejection of requests by instances of a service.

    Parameters
    ==========

    service : str
    begin, end : float
        Seconds.
    instances : int
    share : float
        Share of the requests that each of them rejects.
    """

    service: str
    begin: float
    end: float
    instances: int
    share: float


@attrs.frozen
class Restart:
    """Restart of the daemons beside instances of a service; ``at`` seconds."""

    service: str
    at: float
    instances: int


@attrs.frozen
class Crashed:
    """Crash of instances at ``at`` seconds, unrelated to any request."""

    service: str
    at: float
    instances: int


@attrs.frozen
class Load:
    """A deployment, the requests that it receives and its faults.

    Parameters
    ==========

    title : str
    seconds : float
        Duration of the load.
    domains : tuple of str
        Failure domains, to which instances are assigned round-robin.
    between_domains, to_callers : float
        One-way delays in seconds.
    budget : RetryBudgetSettings
    services : tuple of ServiceLoad
    kinds : tuple of KindLoad
    floods : tuple of Flood
    slowness : tuple of Slowness
    shedding : tuple of Shedding
    restarts : tuple of Restart
    crashed : tuple of Crashed
    shares : tuple of float
        Share of the requests that enter in each failure domain; equal
        shares if empty.
    wake_delay : float
        Largest overrun of the timers of a daemon in seconds.
    """

    title: str
    seconds: float
    domains: tuple[str, ...]
    between_domains: float
    to_callers: float
    budget: RetryBudgetSettings
    services: tuple[ServiceLoad, ...]
    kinds: tuple[KindLoad, ...]
    floods: tuple[Flood, ...] = ()
    slowness: tuple[Slowness, ...] = ()
    shedding: tuple[Shedding, ...] = ()
    restarts: tuple[Restart, ...] = ()
    crashed: tuple[Crashed, ...] = ()
    shares: tuple[float, ...] = ()
    wake_delay: float = 0.0

    @property
    def has_crashes(self) -> bool:
        """Whether instances crash, so that daemons exchange crash cases."""
        is_crashing = any(kind.is_crashing for kind in self.kinds)
        return is_crashing or bool(self.crashed)

    def draw_domain(self, rng: random.Random) -> str:
        """Draw the failure domain in which a request enters."""
        if self.shares:
            return rng.choices(self.domains, self.shares)[0]
        return rng.choice(self.domains)

    def kind(self, name: str) -> KindLoad:
        """Return the kind called ``name``."""
        return next(kind for kind in self.kinds if kind.name == name)


def read_load(path: pathlib.Path) -> Load | Refusal:
    """Return the load in a TOML file, or a refusal if it is not valid."""
    try:
        return _build_load(tomllib.loads(path.read_text()))
    except OSError as error:
        return Refusal(ResultCode.SETTINGS_UNREADABLE, str(error))
    except tomllib.TOMLDecodeError as error:
        return Refusal(ResultCode.SETTINGS_NOT_TOML, str(error))
    except INVALID_LOAD_ERRORS as error:
        reason = f'{type(error).__name__}: {error}'
        return Refusal(ResultCode.SETTING_INVALID, reason)


def _build_load(document: dict[str, Any]) -> Load:
    document['domains'] = tuple(document['domains'])
    document['shares'] = tuple(document.get('shares', ()))
    document['budget'] = RetryBudgetSettings(**document['budget'])
    document['services'] = _build_all(ServiceLoad, document['services'])
    document['kinds'] = tuple(
        _build_kind(fields) for fields in document['kinds']
    )
    document['floods'] = _build_all(Flood, document.get('floods', ()))
    document['slowness'] = _build_all(Slowness, document.get('slowness', ()))
    document['shedding'] = _build_all(Shedding, document.get('shedding', ()))
    document['restarts'] = _build_all(Restart, document.get('restarts', ()))
    document['crashed'] = _build_all(Crashed, document.get('crashed', ()))
    load = Load(**document)
    _check_references(load)
    return load


def _build_all(cls: type, rows: Any) -> tuple[Any, ...]:
    return tuple(cls(**fields) for fields in rows)


def _build_kind(fields: dict[str, Any]) -> KindLoad:
    fields['repeat'] = Repeat(fields.get('repeat', Repeat.FREELY.value))
    fields['calls'] = tuple(fields.get('calls', ()))
    return KindLoad(**fields)


def _check_references(load: Load) -> None:
    """Raise ``ValueError`` for undefined names or missing shares."""
    kinds = {kind.name for kind in load.kinds}
    services = {service.name for service in load.services}
    called_kinds = {name for kind in load.kinds for name in kind.calls}
    flood_kinds = {flood.kind for flood in load.floods}
    affected_services = {
        fault.service
        for fault in (
            *load.slowness,
            *load.shedding,
            *load.restarts,
            *load.crashed,
        )
    }
    kind_services = {kind.service for kind in load.kinds}
    unknown = (called_kinds | flood_kinds) - kinds | (
        affected_services | kind_services
    ) - services
    if load.shares and len(load.shares) != len(load.domains):
        raise ValueError(
            'the number of shares differs from that of failure domains'
        )
    if unknown:
        raise ValueError(f'undefined kinds or services: {sorted(unknown)}')
