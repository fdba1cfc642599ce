"""Settings of the daemon, one class for each table of the TOML file."""

import ipaddress
from typing import Any

import attrs


def _ip_and_port(_instance: Any, _attribute: Any, text: str) -> None:
    address, _, port = text.rpartition(':')
    ipaddress.ip_address(address)
    if not 0 <= int(port) <= 65535:
        raise ValueError(f'port {port} is out of range')


def _http_url(_instance: Any, _attribute: Any, text: str) -> None:
    if not text.startswith('http://'):
        raise ValueError(f'{text!r} does not begin with "http://"')
    _ip_and_port(None, None, text.removeprefix('http://').rstrip('/'))


def _positive(_instance: Any, _attribute: Any, number: float) -> None:
    if number <= 0:
        raise ValueError(f'{number} is not above 0')


def address(default: Any = attrs.NOTHING) -> Any:
    """Return a field for ``address:port`` with an IP number."""
    return attrs.field(default=default, validator=_ip_and_port)


def positive(default: Any) -> Any:
    """Return a field for a number above 0."""
    return attrs.field(default=default, validator=_positive)


@attrs.frozen
class HostSettings:
    """Table ``[host]``: who this daemon is.

    Parameters
    ==========

    deployment, name, service, failure_domain, region : str
    """

    deployment: str
    name: str
    service: str
    failure_domain: str
    region: str


@attrs.frozen
class AddressSettings:
    """Table ``[addresses]``: where this daemon listens, ``IP:port``.

    Parameters
    ==========

    calls, peers, operators : str
    backend : str
        Address of the backend server beside this daemon.
    """

    calls: str = address()
    peers: str = address()
    operators: str = address()
    backend: str = address()


@attrs.frozen
class PlatformSettings:
    """Table ``[platform]``: the configuration service.

    Parameters
    ==========

    url : str
    sheet_key, host_list_key : str
    watch_seconds : float
    calls_per_second : float
        Limit of the service over all of its readers.
    expected_fleet_size : int
        Number of daemons that share this limit.
    host_list_poll_seconds : float
        Period in which daemons that are not readers read the host list.
    """

    url: str = attrs.field(validator=_http_url)
    sheet_key: str = 'sheet'
    host_list_key: str = 'hosts'
    watch_seconds: float = positive(30.0)
    calls_per_second: float = positive(2000.0)
    expected_fleet_size: int = positive(3700)
    host_list_poll_seconds: float = positive(300.0)


@attrs.frozen
class PeerSettings:
    """Table ``[peers]``: the other daemons.

    Parameters
    ==========

    shared_key : str
        Secret of the deployment, at least 16 characters.
    seeds : tuple of str
        ``IP:port`` of daemons that may be up.
    ping_seconds, sync_seconds : float
        Periods of failure detection and of anti-entropy.
    bootstrap_wait_seconds : float
    """

    shared_key: str = attrs.field(
        repr=False,
        validator=attrs.validators.min_len(16),
    )
    seeds: tuple[str, ...] = attrs.field(
        default=(),
        converter=tuple,
        validator=attrs.validators.deep_iterable(_ip_and_port),
    )
    ping_seconds: float = positive(1.0)
    sync_seconds: float = positive(2.0)
    bootstrap_wait_seconds: float = positive(5.0)


@attrs.frozen
class InstanceSettings:
    """Table ``[instance]``: limits of the backend server.

    Parameters
    ==========

    slots : int
        Requests that it runs at the same time.
    connections : int
    queue : int
        Calls that may wait for a slot.
    drain_seconds : float
        Longest time that a planned stop waits for running calls.
    ready_path : str
        Path that the backend server answers with status 503 while it
        drains; empty if it reports no readiness.
    """

    slots: int = positive(6)
    connections: int = positive(130)
    queue: int = positive(256)
    drain_seconds: float = positive(30.0)
    ready_path: str = attrs.field(
        default='',
        validator=attrs.validators.matches_re('(/[!-~]*)?'),
    )


@attrs.frozen
class OperatorSettings:
    """Table ``[operators]``: access to the operators' endpoints.

    Parameters
    ==========

    token : str
    log_format : str
        ``keyvalue`` or ``json``.
    """

    token: str = attrs.field(
        repr=False,
        validator=attrs.validators.min_len(16),
    )
    log_format: str = attrs.field(
        default='keyvalue',
        validator=attrs.validators.in_(('keyvalue', 'json')),
    )


@attrs.frozen
class Settings:
    """All settings of a daemon."""

    host: HostSettings
    addresses: AddressSettings
    platform: PlatformSettings
    peers: PeerSettings
    operators: OperatorSettings
    instance: InstanceSettings = attrs.field(factory=InstanceSettings)
