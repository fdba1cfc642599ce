"""Settings of a daemon that do not come from the configuration service."""

import math

import attrs

from tanagerbend_routing import ColdTolerance, RetryBudgetSettings


@attrs.frozen
class ListenAddresses:
    """Addresses of a daemon, each ``address:port``.

    Parameters
    ==========

    callers : str
        For requests of callers and of the instance on this host.
    peers : str
        For requests that other daemons forward, their polls and crash cases.
    ready : str
        For readiness probes.
    metrics : str
        For counters, histograms and the quarantine.
    """

    callers: str
    peers: str
    ready: str
    metrics: str


@attrs.frozen
class StopSettings:
    """Time limit of a graceful stop.

    Parameters
    ==========

    grace : float
        Seconds from the signal until the process is killed.
    """

    grace: float


@attrs.frozen
class DaemonSettings:
    """Identity, addresses and limits of a daemon.

    Parameters
    ==========

    host, failure_domain, service : str
        The service is that of the instance on this host.
    instance_address : str
        ``address:port`` of that instance.
    service_address : str
        ``address:port`` of the platform's configuration service.
    listening : ListenAddresses
    stop : StopSettings
    budget : RetryBudgetSettings
    apply_seconds : float
        Time within which a change must be in force: a configuration, or
        an instance that leaves.
    link_bytes_per_second : float
        Bandwidth of this host's link in bytes per second; infinite if
        unknown.
    cold : ColdTolerance or None
        Bound of the requests to a cold instance; None for no limit.
    memory_megabytes : float
        Memory that the process may use; 0 if unknown.
    descriptors : int
        Descriptors that the process may have open; 0 if unknown.
    """

    host: str
    failure_domain: str
    service: str
    instance_address: str
    service_address: str
    listening: ListenAddresses
    stop: StopSettings
    budget: RetryBudgetSettings
    apply_seconds: float
    link_bytes_per_second: float = math.inf
    cold: ColdTolerance | None = None
    memory_megabytes: float = 0.0
    descriptors: int = 0

    @property
    def peer_port(self) -> str:
        """Port on which every daemon listens for its peers."""
        return self.listening.peers.rpartition(':')[2]
