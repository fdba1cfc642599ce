"""What daemons tell each other about requests that end instances."""

import json
from collections.abc import Iterable
from typing import Any, Final

import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.messages import UNFIT, finite
from tanagerbend_proxy.ranges import MAX_IDENTITY_LENGTH
from tanagerbend_quarantine import Case, Crash, Told

# Cases of one message; convictions go first, in the order of `Cases.told`.
MOST_TOLD: Final = 1000
# Characters of the reason of a refusal.
MOST_REASON: Final = 200
# Raised by messages of other daemons that can't be read.
UNREADABLE: Final = (*UNFIT, LookupError, AttributeError)
Row = tuple[Any, ...]


@attrs.frozen
class News:
    """Cases that one daemon tells another.

    Parameters
    ==========

    told : tuple of Told
    digest : str
        Of all that the sender knows, if it asks or answers a question;
        else empty.
    """

    told: tuple[Told, ...] = ()
    digest: str = ''

    def encode(self) -> str:
        """Return the text of a message."""
        rows = [_row(each) for each in self.told[:MOST_TOLD]]
        return json.dumps({'told': rows, 'digest': self.digest})

    @classmethod
    def decode(cls, text: str | bytes) -> 'News | Refusal':
        """Read the message of another daemon."""
        try:
            document = json.loads(text)
            return cls(_read_rows(document['told']), str(document['digest']))
        except UNREADABLE as error:
            return _refuse(error)


def encode_told(told: Iterable[Told]) -> str:
    """Return the text of a header, empty for nothing."""
    rows = [_row(each) for each in told]
    return json.dumps(rows) if rows else ''


def decode_told(text: str) -> tuple[Told, ...] | Refusal:
    """Read the header of another daemon."""
    try:
        return _read_rows(json.loads(text)) if text else ()
    except UNREADABLE as error:
        return _refuse(error)


def _refuse(error: Exception) -> Refusal:
    reason = f'crashes by another daemon: {type(error).__name__}: {error}'
    return Refusal(ResultCode.HEADER_INVALID, reason[:MOST_REASON])


def _row(told: Told) -> Row:
    return (
        told.fingerprint.hex(),
        [attrs.astuple(crash) for crash in told.case.crashes],
        [attrs.astuple(crash) for crash in told.case.struck],
        round(told.seconds, 1),
    )


def _read_rows(rows: list[Row]) -> tuple[Told, ...]:
    if len(rows) > MOST_TOLD:
        raise ValueError(f'more than {MOST_TOLD} cases')
    return tuple(_read_row(*row) for row in rows)


def _read_row(
    fingerprint: str,
    crashes: list[Row],
    struck: list[Row],
    seconds: float,
) -> Told:
    case = Case(_read_crashes(crashes), _read_crashes(struck))
    return Told(bytes.fromhex(fingerprint), case, finite(seconds))


def _read_crashes(rows: list[Row]) -> frozenset[Crash]:
    return frozenset(
        Crash(str(instance)[:MAX_IDENTITY_LENGTH], finite(at), bool(is_alone))
        for instance, at, is_alone in rows
    )
