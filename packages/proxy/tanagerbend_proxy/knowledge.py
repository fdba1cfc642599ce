"""Configuration and instances as a daemon knows them."""

from tanagerbend_metrics import Recorder
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_routing import (
    InstanceRegistry,
    ListedInstance,
    RoutingConfiguration,
)


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

    @property
    def version(self) -> int:
        """Configuration version in force, 0 if there is none."""
        return 0 if self.configuration is None else self.configuration.version

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

    def log_instance_change(self, event: str, instance: ListedInstance) -> None:
        """Log a change of an instance."""
        self.log.write(
            event,
            instance=instance.identity,
            instance_host=instance.host_address,
            service=instance.service,
        )

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
