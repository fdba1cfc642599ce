"""The fleet as its daemons describe it."""

from collections.abc import Iterable
from typing import Any, Final

import attrs

from tanagerbend_model import Refusal
from tanagerbend_operator.client import DaemonClient
from tanagerbend_operator.output import describe

GONE: Final = 'gone'

Record = dict[str, Any]


@attrs.frozen
class Seen:
    """What is known of one daemon.

    Parameters
    ==========

    host : str
        Empty if the daemon at an address never answered.
    failure_domain, service : str
    address : str
        Operators' address ``IPv4:port``.
    status : dict or None
        Answer of the daemon itself.
    trouble : str
        Why there is no answer.
    roster_state : str
        State in the roster of the daemon that gave it.
    """

    host: str
    failure_domain: str
    service: str
    address: str
    status: Record | None = None
    trouble: str = ''
    roster_state: str = ''

    @property
    def is_gone(self) -> bool:
        """Whether the fleet has given the host up."""
        return self.roster_state == GONE

    @property
    def version(self) -> str | None:
        """Version in force, or None."""
        return self.status['version'] if self.status else None

    @property
    def position(self) -> tuple[tuple[int, ...], int]:
        """Sort key of the version; the lowest one without a version."""
        if self.status is None or self.status['position'] is None:
            return (), -1
        edition, revision = self.status['position']
        return tuple(edition), revision

    @property
    def state(self) -> str:
        """State as the daemon gives it, or why there is none."""
        if self.status is not None:
            return self.status['state']
        return GONE if self.is_gone else 'unreachable'


@attrs.frozen
class FleetView:
    """All daemons that were asked or that the roster names."""

    daemons: tuple[Seen, ...]

    @property
    def newest(self) -> str | None:
        """Newest version in force at any daemon."""
        best = max(self.daemons, key=lambda seen: seen.position, default=None)
        return None if best is None else best.version

    @property
    def answered(self) -> tuple[Seen, ...]:
        """Daemons that answered."""
        return tuple(seen for seen in self.daemons if seen.status is not None)

    def lags(self, seen: Seen) -> bool:
        """Tell whether a daemon that answered lacks the newest version."""
        return seen.status is not None and seen.version != self.newest

    def count_newest(self, daemons: Iterable[Seen]) -> int:
        """Return how many of some daemons have the newest version."""
        return sum(
            seen.version is not None and seen.version == self.newest
            for seen in daemons
        )

    def has_problem(self) -> bool:
        """Tell whether any daemon lags, is not ready or is unreachable."""
        return any(
            self.lags(seen)
            or (seen.status is not None and seen.status['not_ready'])
            or (seen.status is None and not seen.is_gone)
            for seen in self.daemons
        )

    def by_domain(self) -> dict[str, list[Seen]]:
        """Return the daemons by failure domain."""
        domains: dict[str, list[Seen]] = {}
        ordered = sorted(
            self.daemons,
            key=lambda seen: (seen.failure_domain, seen.host, seen.address),
        )
        for seen in ordered:
            domain = seen.failure_domain or 'unknown'
            domains.setdefault(domain, []).append(seen)
        return domains

    def find(self, host: str) -> Seen | None:
        """Return the daemon of a host or at an address."""
        for seen in self.daemons:
            if host in {seen.host, seen.address}:
                return seen
        return None


async def survey(
    client: DaemonClient,
    addresses: tuple[str, ...],
) -> FleetView:
    """Ask the given daemons, then all others of their roster.

    Explanation
    ===========

    A member record has no operators' address, so a member is asked at
    its own IP number and the port of the daemon that gave the roster.
    Where hosts differ in this port, or share an IP number, all
    operators' addresses have to be given.
    """
    answers = await client.ask_all(addresses, '/status')
    seen = [_seen_at(address, answer) for address, answer in answers.items()]
    for one in seen:
        if one.status is not None:
            members = await client.ask(one.address, '/roster')
            others = _others(members, seen, one.address)
            seen.extend(await _ask_members(client, others, seen))
            break
    return FleetView(tuple(_without_repetition(seen)))


def _seen_at(address: str, answer: Record | Refusal) -> Seen:
    match answer:
        case Refusal():
            return Seen('', '', '', address, trouble=describe(answer))
    return Seen(
        answer['host'],
        answer['failure_domain'],
        answer['service'],
        address,
        answer,
    )


def _others(
    answer: Record | Refusal,
    seen: list[Seen],
    asked: str,
) -> list[Seen]:
    match answer:
        case Refusal():
            return []
    _, _, port = asked.rpartition(':')
    known = {one.host for one in seen}
    others = []
    for member in answer['members']:
        ip_number, _, _ = member['peer_address'].rpartition(':')
        if member['host'] not in known:
            others.append(
                Seen(
                    member['host'],
                    member['failure_domain'],
                    member['service'],
                    f'{ip_number}:{port}',
                    roster_state=member['state'],
                ),
            )
    return others


async def _ask_members(
    client: DaemonClient,
    members: list[Seen],
    seen: list[Seen],
) -> list[Seen]:
    answered = {one.address: one for one in seen}
    asked = tuple(
        {
            member.address: None
            for member in members
            if member.address not in answered and not member.is_gone
        },
    )
    for address, answer in (await client.ask_all(asked, '/status')).items():
        answered[address] = _seen_at(address, answer)
    return [_identify(member, answered) for member in members]


def _identify(member: Seen, answered: dict[str, Seen]) -> Seen:
    if member.is_gone:
        return attrs.evolve(member, trouble='gone')
    found = answered[member.address]
    if found.status is None:
        return attrs.evolve(member, trouble=found.trouble)
    if found.host != member.host:
        trouble = f'{member.address} is the daemon of {found.host}'
        return attrs.evolve(member, trouble=trouble)
    return found


def _without_repetition(seen: Iterable[Seen]) -> list[Seen]:
    """Drop addresses without answer that a named member has as well."""
    found = list(seen)
    named = {one.address for one in found if one.host}
    return [one for one in found if one.host or one.address not in named]
