"""Configuration and instances as a daemon knows them."""

import contextlib
from collections.abc import Iterator
from typing import Any, Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_metrics.names import CHANGE_DELAY
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_routing import (
    ColdRate,
    InstanceRegistry,
    ListedInstance,
    RoutingConfiguration,
)
from tanagerbend_routing.cold_limit import DEFAULT_RATE

LOG_DIGITS: Final = 3


@attrs.frozen
class Arrival:
    """How the changes that are being applied arrived.

    Parameters
    ==========

    source : str
        Identity of the instance whose daemon sent them; empty for the
        configuration service.
    missing_for : float or None
        Seconds since the last contact before this one; None if there was
        none.  The changes were published after that contact, so they are at
        most this old.
    transfer : float
        Seconds that the answer took to arrive.
    """

    source: str
    missing_for: float | None
    transfer: float

    def fields(self) -> dict[str, Any]:
        """Return the fields of a log line."""
        missing_for = self.missing_for
        if missing_for is not None:
            missing_for = round(missing_for, LOG_DIGITS)
        return {
            'source': self.source,
            'missing_for': missing_for,
            'transfer': round(self.transfer, LOG_DIGITS),
        }


class DeploymentState:
    """Holds the newest configuration and the registry of instances.

    Parameters
    ==========

    recorder : Recorder
    log : DecisionLog
    """

    def __init__(self, recorder: Recorder, log: DecisionLog) -> None:
        self.recorder = recorder
        self.log = log
        self.registry = InstanceRegistry(recorder, self.log_instance_change)
        self.configuration: RoutingConfiguration | None = None
        self.is_service_lost = False
        self.arrival: Arrival | None = None

    @property
    def arrival_fields(self) -> dict[str, Any]:
        """Fields of a log line on the arrival of the present changes."""
        return {} if self.arrival is None else self.arrival.fields()

    @contextlib.contextmanager
    def arriving(self, arrival: Arrival) -> Iterator[None]:
        """Log the changes that are applied meanwhile with their arrival."""
        if arrival.missing_for is not None:
            self.recorder.histograms.record(
                CHANGE_DELAY, '', 0, arrival.missing_for
            )
        self.arrival = arrival
        try:
            yield
        finally:
            self.arrival = None

    @property
    def version(self) -> int:
        """Configuration version in force, 0 if there is none."""
        return 0 if self.configuration is None else self.configuration.version

    def cold_rate(self, service: str) -> ColdRate:
        """Return what cold instances of a service tolerate."""
        if self.configuration is None:
            return DEFAULT_RATE
        return self.configuration.cold_rates.get(service, DEFAULT_RATE)

    def adopt(self, configuration: RoutingConfiguration) -> bool:
        """Put a configuration in force if it is newer; return whether it is."""
        if configuration.version <= self.version:
            return False
        previous = self.version
        self.configuration = configuration.with_shared_routes(
            self.configuration
        )
        self.recorder.count('versions_adopted')
        self.log.write(
            'version_adopted',
            version=configuration.version,
            before=previous,
            **self.arrival_fields,
        )
        unknown_kinds = configuration.unknown_kinds
        if unknown_kinds:
            self.recorder.count('versions_with_unknown_kinds')
            self.log.write(
                'kinds_unknown',
                version=configuration.version,
                routes=len(unknown_kinds),
                first=unknown_kinds[0],
            )
        return True

    def log_instance_change(
        self, event: str, instance: ListedInstance, **fields: Any
    ) -> None:
        """Log a change of an instance."""
        self.log.write(
            event,
            instance=instance.identity,
            instance_host=instance.host_address,
            service=instance.service,
            **fields,
            **self.arrival_fields,
        )

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """Put the evacuation of failure domains in force, and no other."""
        added, lifted = self.registry.evacuations.replace(domains)
        for domain in added:
            self.recorder.count('domains_evacuated')
            self.log.write('domain_evacuated', **self._domain_fields(domain))
        for domain in lifted:
            self.recorder.count('domains_readmitted')
            self.log.write('domain_readmitted', **self._domain_fields(domain))

    def _domain_fields(self, domain: str) -> dict[str, Any]:
        working = self.registry.working()
        own = self.registry.near(domain)
        return {
            'failure_domain': domain,
            'instances': len(own),
            'other_instances': len(working) - len(own),
            **self.arrival_fields,
        }

    def unreadable(self, identity: str, reason: str) -> None:
        """Count and log an entry whose value cannot be used."""
        self.recorder.count('entries_unreadable')
        self.log.write('entry_unreadable', instance=identity, reason=reason)

    def mark_service_lost(self, reason: str) -> None:
        """Record that the configuration service does not answer."""
        self.registry.outage.begin()
        if not self.is_service_lost:
            self.is_service_lost = True
            self.log.write('service_lost', reason=reason)

    def mark_service_available(self) -> None:
        """Record that the configuration service answers again."""
        self.registry.outage.end()
        if self.is_service_lost:
            self.is_service_lost = False
            self.log.write('service_available', version=self.version)
