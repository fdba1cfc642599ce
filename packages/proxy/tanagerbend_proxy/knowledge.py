"""What a daemon knows of the deployment, and how sure it is."""

from tanagerbend_metrics import Recorder
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_routing import (
    InstanceRegistry,
    ListedInstance,
    RoutingConfiguration,
)


class Knowledge:
    """Configuration in force and instances; only the newest is kept.

    Parameters
    ==========

    recorder : Recorder
    log : DecisionLog
    """

    def __init__(self, recorder: Recorder, log: DecisionLog) -> None:
        self.recorder = recorder
        self.log = log
        self.registry = InstanceRegistry(recorder, self.instance_changed)
        self.configuration: RoutingConfiguration | None = None
        self.is_store_lost = False

    @property
    def version(self) -> int:
        """Version in force, 0 if there is none."""
        return 0 if self.configuration is None else self.configuration.version

    def adopt(self, offered: RoutingConfiguration) -> bool:
        """Put a configuration in force if it is newer."""
        if offered.version <= self.version:
            return False
        before = self.version
        self.configuration = offered.sharing(self.configuration)
        self.recorder.count('versions_adopted')
        self.log.write(
            'version_adopted',
            version=offered.version,
            before=before,
        )
        unknown = offered.unknown_kinds
        if unknown:
            self.recorder.count('versions_with_unknown_kinds')
            self.log.write(
                'kinds_unknown',
                version=offered.version,
                routes=len(unknown),
                first=unknown[0],
            )
        return True

    def instance_changed(self, event: str, instance: ListedInstance) -> None:
        """Write what changed about an instance."""
        self.log.write(
            event,
            instance=instance.identity,
            instance_host=instance.host_address,
            service=instance.service,
        )

    def unreadable(self, identity: str, reason: str) -> None:
        """Count and write an entry that names nothing to use."""
        self.recorder.count('entries_unreadable')
        self.log.write('entry_unreadable', instance=identity, reason=reason)

    def store_lost(self, reason: str) -> None:
        """Note that the configuration service does not answer."""
        self.registry.service_lost()
        if not self.is_store_lost:
            self.is_store_lost = True
            self.log.write('service_lost', reason=reason)

    def store_regained(self) -> None:
        """Note that the configuration service answers."""
        self.registry.service_regained()
        if self.is_store_lost:
            self.is_store_lost = False
            self.log.write('service_available', version=self.version)
