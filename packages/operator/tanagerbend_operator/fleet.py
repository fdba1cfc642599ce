"""Status of the fleet, collected from its daemons."""

from collections.abc import Iterable
from typing import Any, Final

import attrs

from tanagerbend_model import Refusal
from tanagerbend_operator.client import DaemonClient
from tanagerbend_operator.output import describe_refusal

GONE_STATE: Final = 'gone'

Record = dict[str, Any]


@attrs.frozen
class DaemonView:
    """Status of one daemon, or why it is unavailable.

    Parameters
    ==========

    host : str
        Empty if the daemon at the address did not answer.
    failure_domain, service : str
    address : str
        Operators' address ``IPv4:port``.
    status : dict or None
        Answer of the daemon to ``/status``; None without an answer.
    error : str
        Why the daemon has no status; empty if it has one.
    roster_state : str
        State in the roster of another daemon, for a member without a
        status; otherwise empty.
    """

    host: str
    failure_domain: str
    service: str
    address: str
    status: Record | None = None
    error: str = ''
    roster_state: str = ''

    @property
    def is_gone(self) -> bool:
        """Whether the roster lists the host as gone."""
        return self.roster_state == GONE_STATE

    @property
    def version(self) -> str | None:
        """Version in force, or None."""
        return self.status['version'] if self.status else None

    @property
    def version_sort_key(self) -> tuple[tuple[int, ...], int]:
        """Sort key of the version; a daemon without a version sorts first."""
        if self.status is None or self.status['position'] is None:
            return (), -1
        edition, revision = self.status['position']
        return tuple(edition), revision

    @property
    def state(self) -> str:
        """State reported by the daemon, else ``gone`` or ``unreachable``."""
        if self.status is not None:
            return self.status['state']
        return GONE_STATE if self.is_gone else 'unreachable'


@attrs.frozen
class FleetView:
    """Status of the given daemons and of the members of the roster."""

    daemons: tuple[DaemonView, ...]

    @property
    def newest_version(self) -> str | None:
        """Newest version in force at any daemon, or None."""
        best = max(
            self.daemons,
            key=lambda daemon: daemon.version_sort_key,
            default=None,
        )
        return None if best is None else best.version

    @property
    def answered(self) -> tuple[DaemonView, ...]:
        """Daemons that answered."""
        return tuple(
            daemon for daemon in self.daemons if daemon.status is not None
        )

    def is_lagging(self, daemon: DaemonView) -> bool:
        """Return whether a daemon answered without the newest version."""
        return (
            daemon.status is not None and daemon.version != self.newest_version
        )

    def count_at_newest_version(self, daemons: Iterable[DaemonView]) -> int:
        """Return how many of the daemons have the newest version."""
        return sum(
            daemon.version is not None and daemon.version == self.newest_version
            for daemon in daemons
        )

    def has_fault(self) -> bool:
        """Return whether any daemon lags, is not ready or is unreachable."""
        return any(
            self.is_lagging(daemon)
            or (daemon.status is not None and daemon.status['not_ready'])
            or (daemon.status is None and not daemon.is_gone)
            for daemon in self.daemons
        )

    def group_by_domain(self) -> dict[str, list[DaemonView]]:
        """Group the daemons by failure domain, sorted by host and address."""
        domains: dict[str, list[DaemonView]] = {}
        ordered = sorted(
            self.daemons,
            key=lambda daemon: (
                daemon.failure_domain,
                daemon.host,
                daemon.address,
            ),
        )
        for daemon in ordered:
            domain = daemon.failure_domain or 'unknown'
            domains.setdefault(domain, []).append(daemon)
        return domains

    def find(self, host: str) -> DaemonView | None:
        """Return the daemon with a host name or an address, or None."""
        for daemon in self.daemons:
            if host in {daemon.host, daemon.address}:
                return daemon
        return None


async def query_fleet(
    client: DaemonClient,
    addresses: tuple[str, ...],
) -> FleetView:
    """Query the given daemons, then the other members of the roster.

    Explanation
    ===========

    A member record contains no operators' address, so a member is queried
    at its own IP address and the port of the daemon that returned the
    roster.  If hosts use different ports or share an IP address, all
    operators' addresses must be given.
    """
    answers = await client.request_all(addresses, '/status')
    views = [
        _view_from_status(address, answer)
        for address, answer in answers.items()
    ]
    for view in views:
        if view.status is not None:
            members = await client.request(view.address, '/roster')
            others = _unqueried_members(members, views, view.address)
            views.extend(await _query_members(client, others, views))
            break
    return FleetView(tuple(_without_duplicates(views)))


def _view_from_status(address: str, answer: Record | Refusal) -> DaemonView:
    match answer:
        case Refusal():
            return DaemonView(
                '', '', '', address, error=describe_refusal(answer)
            )
    return DaemonView(
        answer['host'],
        answer['failure_domain'],
        answer['service'],
        address,
        answer,
    )


def _unqueried_members(
    answer: Record | Refusal,
    views: list[DaemonView],
    asked: str,
) -> list[DaemonView]:
    match answer:
        case Refusal():
            return []
    _, _, port = asked.rpartition(':')
    known = {view.host for view in views}
    others = []
    for member in answer['members']:
        ip_number, _, _ = member['peer_address'].rpartition(':')
        if member['host'] not in known:
            others.append(
                DaemonView(
                    member['host'],
                    member['failure_domain'],
                    member['service'],
                    f'{ip_number}:{port}',
                    roster_state=member['state'],
                ),
            )
    return others


async def _query_members(
    client: DaemonClient,
    members: list[DaemonView],
    views: list[DaemonView],
) -> list[DaemonView]:
    answered = {view.address: view for view in views}
    asked = tuple(
        {
            member.address: None
            for member in members
            if member.address not in answered and not member.is_gone
        },
    )
    for address, answer in (await client.request_all(asked, '/status')).items():
        answered[address] = _view_from_status(address, answer)
    return [_resolve_member(member, answered) for member in members]


def _resolve_member(
    member: DaemonView, answered: dict[str, DaemonView]
) -> DaemonView:
    if member.is_gone:
        return attrs.evolve(member, error='gone')
    at_address = answered[member.address]
    if at_address.status is None:
        return attrs.evolve(member, error=at_address.error)
    if at_address.host != member.host:
        error = f'{member.address} is the daemon of {at_address.host}'
        return attrs.evolve(member, error=error)
    return at_address


def _without_duplicates(views: Iterable[DaemonView]) -> list[DaemonView]:
    """Drop unanswered addresses that also belong to a named member."""
    collected = list(views)
    named = {view.address for view in collected if view.host}
    return [
        view for view in collected if view.host or view.address not in named
    ]
