"""Settings of the daemon: one class for each table of the TOML file."""

from typing import Any

import attrs

from tanagerbend_settings import validators

LOG_FORMATS = ('keyvalue', 'json')


def address_field(validator: Any = validators.reachable_address) -> Any:
    """Return a field for ``IPv4:port``."""
    return attrs.field(validator=validator)


def number_field(default: Any, lowest: float, highest: float) -> Any:
    """Return a field for a number between two bounds."""
    return attrs.field(
        default=default,
        validator=validators.Between(lowest, highest),
    )


def name_field() -> Any:
    """Return a field for a name that follows the rule for sheet names."""
    return attrs.field(validator=validators.name)


def secret_field() -> Any:
    """Return a field whose value is never displayed."""
    return attrs.field(repr=False, validator=validators.secret)


@attrs.frozen
class HostSettings:
    """Table ``[host]``: identity of this daemon.

    Parameters
    ==========

    deployment : str
        Name of the deployment, the same for all of its daemons.
    name : str
        Name of this host, as in the host list.
    service : str
        Service of the instance, as in the sheet.
    failure_domain : str
        Failure domain of this host, as in the host list.
    region : str
        Region of this host, as in the host list.
    """

    deployment: str = name_field()
    name: str = name_field()
    service: str = name_field()
    failure_domain: str = name_field()
    region: str = name_field()


@attrs.frozen
class AddressSettings:
    """Table ``[addresses]``: addresses as ``IPv4:port``.

    Parameters
    ==========

    calls : str
        Address for callers and for other daemons that forward calls.
    peers : str
        Address for control messages from other daemons.
    operators : str
        Address for operators and for the collection of metrics.
    backend : str
        Address of the backend server of this daemon.
    """

    calls: str = address_field()
    peers: str = address_field()
    operators: str = address_field(validators.ip_and_port)
    backend: str = address_field()


@attrs.frozen
class PlatformSettings:
    """Table ``[platform]``: the configuration service.

    Parameters
    ==========

    url : str
        ``http://IPv4:port`` of the configuration service.
    sheet_key : str
        Key of the sheet.
    host_list_key : str
        Key of the host list.
    watch_seconds : float
        Longest wait of one watch request.
    calls_per_second : float
        Limit of the configuration service for all of its readers.
    expected_fleet_size : int
        Number of daemons that share this limit.
    host_list_poll_seconds : float
        Period in which daemons that are not readers read the host list.
    readers_per_domain : int
        Daemons of a failure domain that watch the service. 0 makes
        every daemon watch it, without announcements; meant only for
        comparisons.
    """

    url: str = attrs.field(validator=validators.http_url)
    sheet_key: str = attrs.field(default='sheet', validator=validators.key)
    host_list_key: str = attrs.field(default='hosts', validator=validators.key)
    watch_seconds: float = number_field(30.0, 0.1, 600)
    calls_per_second: float = number_field(2000.0, 0.1, 1_000_000)
    expected_fleet_size: int = number_field(3700, 1, 1_000_000)
    host_list_poll_seconds: float = number_field(300.0, 1, 86400)
    readers_per_domain: int = number_field(2, 0, 100)


@attrs.frozen
class PeerSettings:
    """Table ``[peers]``: the other daemons.

    Parameters
    ==========

    shared_key : str
        Secret of the deployment, at least 16 characters.
    seeds : tuple of str
        ``IPv4:port`` of known daemons to contact; some may be down.
    ping_seconds : float
        Period of failure detection.
    sync_seconds : float
        Period of anti-entropy.
    bootstrap_wait_seconds : float
        Longest time that a daemon that starts without state waits for
        peers that serve.
    """

    shared_key: str = secret_field()
    seeds: tuple[str, ...] = attrs.field(
        default=(),
        converter=tuple,
        validator=validators.addresses,
    )
    ping_seconds: float = number_field(1.0, 0.01, 60)
    sync_seconds: float = number_field(2.0, 0.01, 600)
    bootstrap_wait_seconds: float = number_field(5.0, 0.01, 600)


@attrs.frozen
class InstanceSettings:
    """Table ``[instance]``: limits of the backend server.

    Parameters
    ==========

    slots : int
        Requests that the backend server runs concurrently.
    connections : int
        Connections that the backend server accepts; at least ``slots``.
    queue : int
        Largest number of calls that wait for a slot.
    drain_seconds : float
        Longest time that a planned stop waits for running calls.
    ready_path : str
        Path that the backend server answers with status 503 while it
        drains; empty if it reports no readiness.
    """

    slots: int = number_field(6, 1, 10_000)
    connections: int = number_field(130, 1, 100_000)
    queue: int = number_field(256, 1, 100_000)
    drain_seconds: float = number_field(30.0, 0.1, 3600)
    ready_path: str = attrs.field(
        default='',
        validator=attrs.validators.matches_re('(/[!-~]*)?'),
    )


@attrs.frozen
class OperatorSettings:
    """Table ``[operators]``: access to the operators' endpoints, and log.

    Parameters
    ==========

    token : str
        Secret of the operators, at least 16 characters.
    log_format : str
        ``keyvalue`` or ``json``.
    """

    token: str = secret_field()
    log_format: str = attrs.field(
        default='keyvalue',
        validator=attrs.validators.in_(LOG_FORMATS),
    )


@attrs.frozen
class OrderSettings:
    """Table ``[orders]``: order keys and the ledger of the instance.

    Parameters
    ==========

    key_seconds : float
        Time until a new order key expires.
    records : int
        Largest number of begun orders recorded until their keys expire.
    voids : int
        Largest number of void keys recorded until they expire.
    answer_bytes : int
        Largest total size of the recorded answers, in bytes.
    body_bytes : int
        Size of the largest answer that is recorded, in bytes.
    """

    key_seconds: float = number_field(900.0, 1, 86400)
    records: int = number_field(20_000, 1, 1_000_000)
    voids: int = number_field(100_000, 1, 1_000_000)
    answer_bytes: int = number_field(16_777_216, 0, 1_073_741_824)
    body_bytes: int = number_field(262_144, 0, 16_777_216)


@attrs.frozen
class Settings:
    """All settings of a daemon."""

    host: HostSettings
    addresses: AddressSettings
    platform: PlatformSettings
    peers: PeerSettings
    operators: OperatorSettings
    instance: InstanceSettings = attrs.field(factory=InstanceSettings)
    orders: OrderSettings = attrs.field(factory=OrderSettings)


@attrs.frozen
class AccessSettings:
    """Settings of the command ``tanagerbend``: a file without tables.

    Parameters
    ==========

    daemons : tuple of str
        ``IPv4:port`` of operators' addresses.
    token : str
        Secret of the operators, at least 16 characters.
    """

    token: str = secret_field()
    daemons: tuple[str, ...] = attrs.field(
        default=(),
        converter=tuple,
        validator=validators.addresses,
    )
