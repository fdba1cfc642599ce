"""Version store: validates offered values and holds the current one."""

from collections import OrderedDict
from typing import Final

import attrs

from tanagerbend_metrics import Recorder
from tanagerbend_model import (
    Accepted,
    Fault,
    Rejected,
    Sheet,
    Version,
    accept,
    digest_of,
    short_digest,
)

# Recent values, kept as dictionaries for compressed transfers.
MAX_RECENT_VALUES: Final = 3
MAX_REMEMBERED_DIGESTS: Final = 16


@attrs.frozen
class InForce:
    """The version in force with its content."""

    version: Version
    sheet: Sheet
    content: bytes = attrs.field(repr=False)


@attrs.frozen
class Adopted:
    """The offered value is now in force."""

    in_force: InForce


@attrs.frozen
class Ignored:
    """The offered value is not newer than the version in force."""

    version: Version


@attrs.frozen
class RejectedOffer:
    """The offered value is not a valid sheet."""

    revision: int
    faults: tuple[Fault, ...]


@attrs.frozen
class Conflict:
    """The offered value has other content at the position in force."""

    version: Version


OfferResult = Adopted | Ignored | RejectedOffer | Conflict


class VersionStore:
    """Holds the version in force, which only newer versions replace.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> store = VersionStore(Recorder(ManualTimer()))
    >>> result = store.offer(2, b'service,work,rank\\nartwork,plates,3\\n')
    >>> store.current.version.revision
    2
    >>> type(store.offer(1, b'service,work,rank\\nartwork,plates,2\\n'))
    <class 'tanagerbend_distribution.store.Ignored'>

    Parameters
    ==========

    recorder : Recorder
    """

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.current: InForce | None = None
        self.recent_values: OrderedDict[bytes, bytes] = OrderedDict()
        self.rejections: OrderedDict[bytes, Rejected] = OrderedDict()
        self.reported_conflicts: OrderedDict[bytes, None] = OrderedDict()
        self.listeners: list = []

    def offer(self, revision: int, content: bytes) -> OfferResult:
        """Adopt a value from the service or a peer if it is valid and newer.

        Parameters
        ==========

        revision : int
            Revision given by the configuration service.
        content : bytes
        """
        current = self.current
        digest = digest_of(content)
        if current is not None and current.version.digest == digest:
            return self._raise_revision(current, revision)
        match self._validate(content, digest):
            case Rejected(faults=faults):
                return self._decline_invalid(revision, digest, faults)
            case Accepted(sheet=sheet):
                version = Version(sheet.edition, revision, digest)
                return self._adopt_if_newer(InForce(version, sheet, content))

    def _validate(self, content: bytes, digest: bytes) -> Accepted | Rejected:
        known = self.rejections.get(digest)
        return known or accept(content)

    def _raise_revision(self, current: InForce, revision: int) -> OfferResult:
        version = attrs.evolve(current.version, revision=revision)
        if not version.is_newer_than(current.version):
            return Ignored(version)
        return self._adopt(attrs.evolve(current, version=version))

    def _decline_invalid(
        self,
        revision: int,
        digest: bytes,
        faults: tuple[Fault, ...],
    ) -> RejectedOffer:
        if digest not in self.rejections:
            first = faults[0]
            self.recorder.record_event(
                'version_rejected',
                f'{revision}/{short_digest(digest)}',
                f'{len(faults)} faults; first: row {first.row} '
                f'column {first.column!r} code {int(first.code)}: '
                f'{first.reason}',
            )
            _remember(self.rejections, digest, Rejected(faults, digest))
        return RejectedOffer(revision, faults)

    def _adopt_if_newer(self, offered: InForce) -> OfferResult:
        current = self.current
        if current is not None:
            if offered.version.conflicts_with(current.version):
                return self.report_conflict(offered.version)
            if not offered.version.is_newer_than(current.version):
                self.recorder.count('versions_older')
                return Ignored(offered.version)
        return self._adopt(offered)

    def report_conflict(self, version: Version) -> Conflict:
        """Report a version with other content at the position in force."""
        self.recorder.count('version_conflicts')
        if version.digest not in self.reported_conflicts:
            _remember(self.reported_conflicts, version.digest, None)
            self.recorder.record_event('version_conflict', str(version))
        return Conflict(version)

    def _adopt(self, offered: InForce) -> Adopted:
        self.current = offered
        self.recent_values.pop(offered.version.digest, None)
        self.recent_values[offered.version.digest] = offered.content
        while len(self.recent_values) > MAX_RECENT_VALUES:
            self.recent_values.popitem(last=False)
        self.recorder.record_event('version_adopted', str(offered.version))
        for listener in self.listeners:
            listener(offered)
        return Adopted(offered)


def _remember(table: OrderedDict, key: bytes, entry: object) -> None:
    table[key] = entry
    while len(table) > MAX_REMEMBERED_DIGESTS:
        table.popitem(last=False)
