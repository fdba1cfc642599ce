"""Load files: a deployment, its requests, and what happens to them."""

import math
import pathlib
import random
import tomllib
from typing import Any, Final

import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_routing import Repeat, RetryBudgetSettings

# Raised by fields that are missing, unknown or of another type.
UNFIT: Final = (LookupError, TypeError, ValueError)
# Load files that come with the tool.
LOADS: Final = pathlib.Path(__file__).parent / 'loads'
# A thin link of 3.85 Mbit/s beside one of 70 Mbit/s.
FAST_FACTOR: Final = 18.0


@attrs.frozen
class ServiceLoad:
    """Instances of one service.

    Parameters
    ==========

    name : str
    instances, slots, queue : int
        The queue is that of an instance, which rejects what doesn't fit.
    speed_spread : float
        Standard deviation of the logarithm of the speed of an instance.
    is_silent : bool
        Whether a full instance never answers.
    link : float
        Bytes a second that the link of each host carries away; infinite
        if the links don't matter.
    fast_hosts : int
        Hosts whose links carry ``FAST_FACTOR`` times as much.
    down : float
        Seconds after which an instance that ended has started again.
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

    def link_of(self, number: int) -> float:
        """Return the bytes a second of the link of a host."""
        factor = FAST_FACTOR if number < self.fast_hosts else 1.0
        return self.link * factor


@attrs.frozen
class KindLoad:
    """Requests of one kind; times in seconds.

    Parameters
    ==========

    name, service : str
    rate : float
        Requests a second of callers; 0 for calls of instances only.
    work, work_spread : float
        Mean time at an instance, and the standard deviation of the
        logarithm.
    objective, deadline, timeout : float
    rank : int
    repeat : Repeat
    kilobytes, kilobytes_spread, most_kilobytes : float
        Mean size of an answer, the standard deviation of its logarithm,
        and its largest size.
    worth, worth_late : float
        What an answer on time, and a late one, are worth.
    retries : int
        Times that a caller comes back after a promise.
    calls : tuple of str
        Kinds that an instance calls while it runs the request.
    is_unique : bool
        Whether each request differs from the others of its kind.
    is_crashing : bool
        Whether an instance ends when it begins to run one.
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

    def draw_kilobytes(self, chance: random.Random) -> float:
        """Return the size of one answer."""
        if not self.kilobytes_spread:
            return self.kilobytes
        spread = self.kilobytes_spread
        middle = math.log(self.kilobytes) - spread**2 / 2
        drawn = chance.lognormvariate(middle, spread)
        return min(drawn, self.most_kilobytes)


@attrs.frozen
class Flood:
    """More requests of a kind for a while; times in seconds."""

    kind: str
    begin: float
    end: float
    factor: float


@attrs.frozen
class Slowness:
    """Instances of a service that are slower for a while."""

    service: str
    begin: float
    end: float
    instances: int
    factor: float


@attrs.frozen
class Shedding:
    """Instances of a service that reject work for a while.

    Parameters
    ==========

    service : str
    begin, end : float
        Seconds.
    instances : int
    share : float
        Part of the requests that they reject.
    """

    service: str
    begin: float
    end: float
    instances: int
    share: float


@attrs.frozen
class Restart:
    """Daemons beside instances of a service that start again at a time."""

    service: str
    at: float
    instances: int


@attrs.frozen
class Crashed:
    """Instances of a service that end at a time, for reasons of their own."""

    service: str
    at: float
    instances: int


@attrs.frozen
class Load:
    """A deployment and the requests that it gets.

    Parameters
    ==========

    title : str
    seconds : float
        Length of the load.
    domains : tuple of str
        Failure domains; instances are spread over them in turn.
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
        Parts of the requests that enter in each failure domain; equal if
        there are none.
    wake_delay : float
        Timers of a daemon end up to this many seconds late.
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
        """Whether instances end, so that daemons have news."""
        is_crashing = any(kind.is_crashing for kind in self.kinds)
        return is_crashing or bool(self.crashed)

    def draw_domain(self, chance: random.Random) -> str:
        """Return the failure domain in which a request enters."""
        if self.shares:
            return chance.choices(self.domains, self.shares)[0]
        return chance.choice(self.domains)

    def kind(self, name: str) -> KindLoad:
        """Return the kind with a name."""
        return next(kind for kind in self.kinds if kind.name == name)


def read_load(path: pathlib.Path) -> Load | Refusal:
    """Return the load of a TOML file, or what is wrong with it."""
    try:
        return _load(tomllib.loads(path.read_text()))
    except OSError as error:
        return Refusal(ResultCode.SETTINGS_UNREADABLE, str(error))
    except tomllib.TOMLDecodeError as error:
        return Refusal(ResultCode.SETTINGS_NOT_TOML, str(error))
    except UNFIT as error:
        reason = f'{type(error).__name__}: {error}'
        return Refusal(ResultCode.SETTING_INVALID, reason)


def _load(found: dict[str, Any]) -> Load:
    found['domains'] = tuple(found['domains'])
    found['shares'] = tuple(found.get('shares', ()))
    found['budget'] = RetryBudgetSettings(**found['budget'])
    found['services'] = _all(ServiceLoad, found['services'])
    found['kinds'] = tuple(_kind(fields) for fields in found['kinds'])
    found['floods'] = _all(Flood, found.get('floods', ()))
    found['slowness'] = _all(Slowness, found.get('slowness', ()))
    found['shedding'] = _all(Shedding, found.get('shedding', ()))
    found['restarts'] = _all(Restart, found.get('restarts', ()))
    found['crashed'] = _all(Crashed, found.get('crashed', ()))
    load = Load(**found)
    _check(load)
    return load


def _all(cls: type, found: Any) -> tuple[Any, ...]:
    return tuple(cls(**fields) for fields in found)


def _kind(fields: dict[str, Any]) -> KindLoad:
    fields['repeat'] = Repeat(fields.get('repeat', Repeat.FREELY.value))
    fields['calls'] = tuple(fields.get('calls', ()))
    return KindLoad(**fields)


def _check(load: Load) -> None:
    """Raise an error for a name that the load does not explain."""
    kinds = {kind.name for kind in load.kinds}
    services = {service.name for service in load.services}
    called = {name for kind in load.kinds for name in kind.calls}
    flooded = {flood.kind for flood in load.floods}
    slowed = {
        each.service
        for each in (
            *load.slowness,
            *load.shedding,
            *load.restarts,
            *load.crashed,
        )
    }
    served = {kind.service for kind in load.kinds}
    unknown = (called | flooded) - kinds | (slowed | served) - services
    if load.shares and len(load.shares) != len(load.domains):
        raise ValueError('one share is needed for each failure domain')
    if unknown:
        raise ValueError(f'not in the load: {sorted(unknown)}')
