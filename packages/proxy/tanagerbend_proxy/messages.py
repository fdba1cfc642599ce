"""Requests, answers and the messages that place them between daemons."""

import json
import math
from typing import Any, Final

import attrs
from multidict import CIMultiDict

from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.ranges import MAX_BUSY, MAX_RANK, is_whole
from tanagerbend_routing import LoadReport, Repeat

MILLISECONDS: Final = 1000.0
# Longer reasons from other daemons are cut to this length.
MAX_REASON_BYTES: Final = 200
# Order of the fields in the headers between daemons.
PLACED_FIELDS: Final = (
    'instance',
    'route',
    'rank',
    'repeat',
    'on_time_ms',
    'left_ms',
)
OUTCOME_FIELDS: Final = (
    'code',
    'ran',
    'offered',
    'busy',
    'slots',
    'served',
    'sending',
    'per_kilobyte',
    'behind',
)

# Raised when headers of another daemon can't be decoded.
DECODING_ERRORS: Final = (ValueError, TypeError, OverflowError, RecursionError)


def finite_float(found: Any) -> float:
    """Return a number from another daemon as a finite float.

    Raises
    ======

    ValueError, TypeError, OverflowError
        If it is no number or isn't finite.
    """
    number = float(found)
    if not math.isfinite(number):
        raise ValueError(f'{number} is not finite')
    return number


def integer_in_range(found: Any, maximum: int) -> int:
    """Return an integer from another daemon, between 0 and ``maximum``.

    Raises
    ======

    ValueError
        If it is no integer in this range.
    """
    if not is_whole(found, 0, maximum):
        raise ValueError('integer out of range')
    return found


@attrs.frozen
class Request:
    """A request as a caller sent it, without hop-by-hop headers.

    Parameters
    ==========

    identifier, method, host, path : str
        The path includes the query string as the caller sent it.
    headers : CIMultiDict
    body : bytes
    time_left : float
        Seconds for which the caller waits; infinite if unknown.
    arrived : float
        Monotonic time in seconds.
    ends : float
        Monotonic time by which this daemon must have answered.
    """

    identifier: str
    method: str
    host: str
    path: str
    headers: CIMultiDict[str] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    time_left: float
    arrived: float
    ends: float = math.inf

    @property
    def deadline(self) -> float:
        """Monotonic time after which an answer is useless."""
        return min(self.arrived + self.time_left, self.ends)


@attrs.frozen
class Placed:
    """Placement of a request: its instance and time limits.

    Parameters
    ==========

    instance : str
        Identity of the chosen instance.
    route : str
    rank : int
    repeat : Repeat
    on_time : float
        Seconds left for an answer in the target time; may be negative.
    time_left : float
        Seconds left for any answer.
    repeated : float
        Share of the request that repeats earlier work, from 0 to 1.
    evidence : str
        Crash evidence on the request, as `crash_messages` encodes it.
    """

    instance: str
    route: str
    rank: int
    repeat: Repeat
    on_time: float
    time_left: float
    repeated: float = 0.0
    evidence: str = ''

    def after(self, passed: float) -> 'Placed':
        """Return the placement after some seconds have passed."""
        return attrs.evolve(
            self,
            on_time=self.on_time - passed,
            time_left=self.time_left - passed,
        )

    def encode(self) -> str:
        """Return the value of the header `Tanagerbend-Placed`."""
        return json.dumps(
            (
                self.instance,
                self.route,
                self.rank,
                self.repeat.value,
                round(self.on_time * MILLISECONDS),
                round(self.time_left * MILLISECONDS),
            ),
        )

    def encode_repeated(self) -> str:
        """Return the value of `Tanagerbend-Repeated`, empty if none.

        It is a separate header, since daemons of earlier releases refuse a
        placement with unknown fields.
        """
        return f'{self.repeated:.3f}' if self.repeated else ''

    @classmethod
    def decode(
        cls,
        text: str,
        repeated: str = '',
        evidence: str = '',
    ) -> 'Placed | Refusal':
        """Decode the headers of another daemon."""
        try:
            fields = dict(zip(PLACED_FIELDS, json.loads(text), strict=True))
            return cls(
                str(fields['instance']),
                str(fields['route']),
                integer_in_range(fields['rank'], MAX_RANK),
                Repeat(fields['repeat']),
                finite_float(fields['on_time_ms']) / MILLISECONDS,
                finite_float(fields['left_ms']) / MILLISECONDS,
                min(max(finite_float(repeated or 0), 0.0), 1.0),
                evidence,
            )
        except DECODING_ERRORS as error:
            reason = f'invalid placement header: {error}'
            return Refusal(ResultCode.HEADER_INVALID, reason)


@attrs.frozen
class Answer:
    """Complete answer of an instance.

    Parameters
    ==========

    status : int
    headers : CIMultiDict
    body : bytes
    body_seconds : float
        Seconds from the headers to the end of the body.
    is_first : bool
        Whether its request was the first on the connection.
    """

    status: int
    headers: CIMultiDict[str] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    body_seconds: float = 0.0
    is_first: bool = False


@attrs.frozen
class Outcome:
    """Result of a request at the owner of an instance.

    Parameters
    ==========

    result : Answer or Refusal
    load : LoadReport or None
    is_offered : bool
        Whether the request was sent to the instance.
    evidence : str
        Crash evidence on the request, if its instance crashed.
    """

    result: Answer | Refusal
    load: LoadReport | None = None
    is_offered: bool = False
    evidence: str = ''

    def encode(self) -> str:
        """Return the value of the header `Tanagerbend-Outcome`."""
        load = self.load or LoadReport(0, 0)
        match self.result:
            case Refusal(code=code, ran=ran):
                code_and_ran = (int(code), ran.value)
            case _:
                code_and_ran = (0, Ran.YES.value)
        times = (
            round(load.service_seconds, 4),
            round(load.link_busy_seconds, 4),
            round(load.link_seconds_per_kilobyte, 7),
            round(load.owner_delay, 3),
        )
        return json.dumps(
            (*code_and_ran, self.is_offered, load.busy, load.slots, *times),
        )

    @classmethod
    def decode(
        cls,
        text: str,
        answer: Answer,
        evidence: str = '',
    ) -> 'Outcome':
        """Decode the header of another daemon and the answer with it."""
        try:
            fields = dict(zip(OUTCOME_FIELDS, json.loads(text), strict=True))
            result: Answer | Refusal = answer
            if fields['code']:
                result = Refusal(
                    ResultCode(fields['code']),
                    answer.body[:MAX_REASON_BYTES].decode('utf-8', 'replace'),
                    Ran(fields['ran']),
                )
            load = LoadReport(
                integer_in_range(fields['busy'], MAX_BUSY),
                integer_in_range(fields['slots'], MAX_BUSY),
                finite_float(fields['served']),
                finite_float(fields['sending']),
                finite_float(fields['per_kilobyte']),
                finite_float(fields['behind']),
            )
            return cls(result, load, bool(fields['offered']), evidence)
        except DECODING_ERRORS:
            reason = 'answer without a valid outcome header'
            return cls(
                Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN),
                is_offered=True,
            )
