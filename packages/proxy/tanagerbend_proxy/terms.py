"""Terms of a deployment: who this daemon is, addresses and bounds."""

import math

import attrs

from tanagerbend_routing import BudgetTerms


@attrs.frozen
class Listening:
    """Addresses of a daemon, each ``address:port``.

    Parameters
    ==========

    callers : str
        Requests of the callers and the instance on this host.
    peers : str
        Requests that other daemons pass on.
    ready : str
        Question whether this daemon takes requests.
    metrics : str
        Counters and histograms.
    """

    callers: str
    peers: str
    ready: str
    metrics: str


@attrs.frozen
class StopTerms:
    """How long a stop may take, in seconds.

    Parameters
    ==========

    grace : float
        From the signal until the process is killed.
    """

    grace: float


@attrs.frozen
class Terms:
    """What a daemon knows before it hears of anybody.

    Parameters
    ==========

    host, failure_domain, service : str
        The service is that of the instance on this host.
    instance_address : str
        ``address:port`` of that instance.
    service_address : str
        ``address:port`` of the platform's configuration service.
    listening : Listening
    stop : StopTerms
    budget : BudgetTerms
    apply_seconds : float
        Time within which a change must be in force: a configuration, or
        an instance that leaves.
    link : float
        Bytes a second that the link of this host carries; infinite if
        it is not known.
    """

    host: str
    failure_domain: str
    service: str
    instance_address: str
    service_address: str
    listening: Listening
    stop: StopTerms
    budget: BudgetTerms
    apply_seconds: float
    link: float = math.inf

    @property
    def peer_port(self) -> str:
        """Port at which every daemon listens to its peers."""
        return self.listening.peers.rpartition(':')[2]
