"""Settings of the daemon, one class for each table of the TOML file."""

from typing import Any

import attrs

from tanagerbend_settings import validators

LOG_FORMATS = ('keyvalue', 'json')


def address(validator: Any = validators.reachable) -> Any:
    """Return a field for ``IPv4:port``."""
    return attrs.field(validator=validator)


def number(default: Any, lowest: float, highest: float) -> Any:
    """Return a field for a number between two bounds."""
    return attrs.field(
        default=default,
        validator=validators.Between(lowest, highest),
    )


def name_field() -> Any:
    """Return a field for a name as the sheet has them."""
    return attrs.field(validator=validators.name)


def secret() -> Any:
    """Return a field whose value is never shown."""
    return attrs.field(repr=False, validator=validators.secret)


@attrs.frozen
class HostSettings:
    """Table ``[host]``: who this daemon is.

    Parameters
    ==========

    deployment : str
        Name that all daemons of the deployment share.
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
    """Table ``[addresses]``: where this daemon listens, ``IPv4:port``.

    Parameters
    ==========

    calls : str
        For callers and for other daemons that forward calls.
    peers : str
        For control messages of other daemons.
    operators : str
        For operators and for the collection of metrics.
    backend : str
        Address of the backend server beside this daemon.
    """

    calls: str = address()
    peers: str = address()
    operators: str = address(validators.ip_and_port)
    backend: str = address()


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
        Longest wait of one watch.
    calls_per_second : float
        Limit of the service over all of its readers.
    expected_fleet_size : int
        Number of daemons that share this limit.
    host_list_poll_seconds : float
        Period in which daemons that are not readers read the host list.
    readers_per_domain : int
        Daemons of a failure domain that watch the service. 0 makes
        every daemon watch it, without announcements; only to compare
        with.
    """

    url: str = attrs.field(validator=validators.http_url)
    sheet_key: str = attrs.field(default='sheet', validator=validators.key)
    host_list_key: str = attrs.field(default='hosts', validator=validators.key)
    watch_seconds: float = number(30.0, 0.1, 600)
    calls_per_second: float = number(2000.0, 0.1, 1_000_000)
    expected_fleet_size: int = number(3700, 1, 1_000_000)
    host_list_poll_seconds: float = number(300.0, 1, 86400)
    readers_per_domain: int = number(2, 0, 100)


@attrs.frozen
class PeerSettings:
    """Table ``[peers]``: the other daemons.

    Parameters
    ==========

    shared_key : str
        Secret of the deployment, at least 16 characters.
    seeds : tuple of str
        ``IPv4:port`` of daemons that may be up.
    ping_seconds : float
        Period of failure detection.
    sync_seconds : float
        Period of anti-entropy.
    bootstrap_wait_seconds : float
        Longest wait of a daemon with empty memory for peers that serve.
    """

    shared_key: str = secret()
    seeds: tuple[str, ...] = attrs.field(
        default=(),
        converter=tuple,
        validator=validators.addresses,
    )
    ping_seconds: float = number(1.0, 0.01, 60)
    sync_seconds: float = number(2.0, 0.01, 600)
    bootstrap_wait_seconds: float = number(5.0, 0.01, 600)


@attrs.frozen
class InstanceSettings:
    """Table ``[instance]``: limits of the backend server.

    Parameters
    ==========

    slots : int
        Requests that it runs at the same time.
    connections : int
        Connections that it accepts; at least the slots.
    queue : int
        Calls that may wait for a slot.
    drain_seconds : float
        Longest time that a planned stop waits for running calls.
    ready_path : str
        Path that the backend server answers with status 503 while it
        drains; empty if it reports no readiness.
    """

    slots: int = number(6, 1, 10_000)
    connections: int = number(130, 1, 100_000)
    queue: int = number(256, 1, 100_000)
    drain_seconds: float = number(30.0, 0.1, 3600)
    ready_path: str = attrs.field(
        default='',
        validator=attrs.validators.matches_re('(/[!-~]*)?'),
    )


@attrs.frozen
class OperatorSettings:
    """Table ``[operators]``: access to the operators' endpoints, log.

    Parameters
    ==========

    token : str
        Secret of the operators, at least 16 characters.
    log_format : str
        ``keyvalue`` or ``json``.
    """

    token: str = secret()
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
        Begun orders that are remembered until their keys expire.
    voids : int
        Void keys that are remembered until they expire.
    answer_bytes : int
        Bytes of all recorded answers.
    body_bytes : int
        Bytes of the largest recorded answer.
    """

    key_seconds: float = number(900.0, 1, 86400)
    records: int = number(20_000, 1, 1_000_000)
    voids: int = number(100_000, 1, 1_000_000)
    answer_bytes: int = number(16_777_216, 0, 1_073_741_824)
    body_bytes: int = number(262_144, 0, 16_777_216)


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
    """File of the command ``tanagerbend``: whom it asks, without tables.

    Parameters
    ==========

    daemons : tuple of str
        ``IPv4:port`` of operators' addresses.
    token : str
        Secret of the operators, at least 16 characters.
    """

    token: str = secret()
    daemons: tuple[str, ...] = attrs.field(
        default=(),
        converter=tuple,
        validator=validators.addresses,
    )
