"""Encoding of crash cases in messages between daemons."""

import json
from collections.abc import Iterable
from typing import Any, Final

import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.messages import DECODING_ERRORS, finite_float
from tanagerbend_proxy.ranges import MAX_IDENTITY_LENGTH
from tanagerbend_quarantine import Case, Crash, SharedCase

# Cases per message; `Cases.cases_to_send` lists convictions first.
MAX_CASES: Final = 1000
# Characters of a refusal's reason.
MAX_REASON_LENGTH: Final = 200
# Raised while malformed messages of other daemons are decoded.
MALFORMED_ERRORS: Final = (*DECODING_ERRORS, LookupError, AttributeError)
Row = tuple[Any, ...]


@attrs.frozen
class CaseMessage:
    """Cases that one daemon sends to another.

    Parameters
    ==========

    told : tuple of SharedCase
    digest : str
        Digest of all cases of the sender in a comparison, else empty.
    """

    told: tuple[SharedCase, ...] = ()
    digest: str = ''

    def encode(self) -> str:
        """Return the message as JSON."""
        rows = [_encode_row(each) for each in self.told[:MAX_CASES]]
        return json.dumps({'told': rows, 'digest': self.digest})

    @classmethod
    def decode(cls, text: str | bytes) -> 'CaseMessage | Refusal':
        """Decode the message of another daemon."""
        try:
            document = json.loads(text)
            return cls(_decode_rows(document['told']), str(document['digest']))
        except MALFORMED_ERRORS as error:
            return _refuse(error)


def encode_cases(told: Iterable[SharedCase]) -> str:
    """Return the header value for cases, empty if there are none."""
    rows = [_encode_row(each) for each in told]
    return json.dumps(rows) if rows else ''


def decode_cases(text: str) -> tuple[SharedCase, ...] | Refusal:
    """Decode the header of another daemon."""
    try:
        return _decode_rows(json.loads(text)) if text else ()
    except MALFORMED_ERRORS as error:
        return _refuse(error)


def _refuse(error: Exception) -> Refusal:
    reason = f'malformed crash cases: {type(error).__name__}: {error}'
    return Refusal(ResultCode.HEADER_INVALID, reason[:MAX_REASON_LENGTH])


def _encode_row(told: SharedCase) -> Row:
    return (
        told.fingerprint.hex(),
        [attrs.astuple(crash) for crash in told.case.crashes],
        [attrs.astuple(crash) for crash in told.case.dismissed],
        round(told.seconds, 1),
    )


def _decode_rows(rows: list[Row]) -> tuple[SharedCase, ...]:
    if len(rows) > MAX_CASES:
        raise ValueError(f'more than {MAX_CASES} cases')
    return tuple(_decode_row(*row) for row in rows)


def _decode_row(
    fingerprint: str,
    crashes: list[Row],
    dismissed: list[Row],
    seconds: float,
) -> SharedCase:
    case = Case(_decode_crashes(crashes), _decode_crashes(dismissed))
    return SharedCase(bytes.fromhex(fingerprint), case, finite_float(seconds))


def _decode_crashes(rows: list[Row]) -> frozenset[Crash]:
    return frozenset(
        Crash(
            str(instance)[:MAX_IDENTITY_LENGTH],
            finite_float(at),
            bool(is_alone),
        )
        for instance, at, is_alone in rows
    )
