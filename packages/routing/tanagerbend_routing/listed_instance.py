"""Entries in which instances describe themselves to the platform."""

import attrs


@attrs.frozen
class ListedInstance:
    """Entry of one instance in the listing of the platform.

    Parameters
    ==========

    identity : str
        Identity of the instance, which most restarts change.
    address : str
        ``address:port`` where the instance listens for its own host.
    service, failure_domain : str
    slots : int
    is_leaving : bool
    cold_until : float
        Monotonic seconds until which the instance is slow after its start.
    born : int
        Unix time of its start in milliseconds; 0 if unknown.
    sequence : int or None
        Number of entries that this start has written, which the platform
        may not show all; None if unknown.
    """

    identity: str
    address: str
    service: str
    failure_domain: str
    slots: int
    is_leaving: bool = False
    cold_until: float = 0.0
    born: int = 0
    sequence: int | None = None

    @property
    def host_address(self) -> str:
        """Address of the host without the port."""
        return self.address.rpartition(':')[0]
