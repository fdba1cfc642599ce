"""Requests and answers on their way through a daemon."""

import json
import math
from typing import Any, Final

import attrs
from multidict import CIMultiDict

from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_proxy.ranges import MOST_BUSY, MOST_RANK, is_whole
from tanagerbend_routing import LoadReport, Repeat

MILLISECONDS: Final = 1000.0
# Bytes of the reason of another daemon that are kept.
MOST_REASON: Final = 200
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


# Raised by headers of another daemon that can't be read.
UNFIT: Final = (ValueError, TypeError, OverflowError, RecursionError)


def finite(found: Any) -> float:
    """Return a number of another daemon.

    Raises
    ======

    ValueError, TypeError, OverflowError
        If it is none, or not finite.
    """
    number = float(found)
    if not math.isfinite(number):
        raise ValueError(f'{number} is not finite')
    return number


def whole(found: Any, most: int) -> int:
    """Return a whole number of another daemon, from 0 to ``most``.

    Raises
    ======

    ValueError
        If it is none.
    """
    if not is_whole(found, 0, most):
        raise ValueError('number out of range')
    return found


@attrs.frozen
class Request:
    """A request as a caller sent it, without headers of one connection.

    Parameters
    ==========

    identifier, method, host, path : str
        The path holds the query as it was sent.
    headers : CIMultiDict
    body : bytes
    time_left : float
        Seconds for which the caller waits; infinite if it did not say.
    arrived : float
        Monotonic seconds.
    ends : float
        Monotonic seconds at which this daemon must have answered.
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
        """Monotonic seconds after which an answer is of no use."""
        return min(self.arrived + self.time_left, self.ends)


@attrs.frozen
class Placed:
    """Where a request is to run, and until when.

    Parameters
    ==========

    instance : str
        Identity of the chosen instance.
    route : str
    rank : int
    repeat : Repeat
    on_time : float
        Seconds left for an answer on time; may be negative.
    time_left : float
        Seconds left for any answer.
    repeated : float
        Share of the request that repeats earlier work, from 0 to 1.
    evidence : str
        What is known against the request, as `crash_messages` tells it.
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
        """Return the placement when some seconds have passed."""
        return attrs.evolve(
            self,
            on_time=self.on_time - passed,
            time_left=self.time_left - passed,
        )

    def encode(self) -> str:
        """Return the text of the header between daemons."""
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
        """Return the text of a header of its own, empty for a first send.

        Daemons of earlier releases refuse a field that they don't know.
        """
        return f'{self.repeated:.3f}' if self.repeated else ''

    @classmethod
    def decode(
        cls,
        text: str,
        repeated: str = '',
        evidence: str = '',
    ) -> 'Placed | Refusal':
        """Read the headers of another daemon."""
        try:
            told = dict(zip(PLACED_FIELDS, json.loads(text), strict=True))
            return cls(
                str(told['instance']),
                str(told['route']),
                whole(told['rank'], MOST_RANK),
                Repeat(told['repeat']),
                finite(told['on_time_ms']) / MILLISECONDS,
                finite(told['left_ms']) / MILLISECONDS,
                min(max(finite(repeated or 0), 0.0), 1.0),
                evidence,
            )
        except UNFIT as error:
            reason = f'placement of another daemon: {error}'
            return Refusal(ResultCode.HEADER_INVALID, reason)


@attrs.frozen
class Answer:
    """Whole answer of an instance.

    Parameters
    ==========

    status : int
    headers : CIMultiDict
    body : bytes
    body_seconds : float
        From the headers to the end of the body.
    is_first : bool
        Whether the connection was opened for its request.
    """

    status: int
    headers: CIMultiDict[str] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    body_seconds: float = 0.0
    is_first: bool = False


@attrs.frozen
class Outcome:
    """What became of a request at the owner of an instance.

    Parameters
    ==========

    end : Answer or Refusal
    load : LoadReport or None
    is_offered : bool
        Whether the request was sent to the instance.
    evidence : str
        What is known against the request, if its instance ended.
    """

    end: Answer | Refusal
    load: LoadReport | None = None
    is_offered: bool = False
    evidence: str = ''

    def encode(self) -> str:
        """Return the text of the header between daemons."""
        load = self.load or LoadReport(0, 0)
        match self.end:
            case Refusal(code=code, ran=ran):
                told = (int(code), ran.value)
            case _:
                told = (0, Ran.YES.value)
        times = (
            round(load.served, 4),
            round(load.sending, 4),
            round(load.per_kilobyte, 7),
            round(load.behind, 3),
        )
        return json.dumps(
            (*told, self.is_offered, load.busy, load.slots, *times),
        )

    @classmethod
    def decode(
        cls,
        text: str,
        answer: Answer,
        evidence: str = '',
    ) -> 'Outcome':
        """Read the header of another daemon, with the answer it came on."""
        try:
            told = dict(zip(OUTCOME_FIELDS, json.loads(text), strict=True))
            end: Answer | Refusal = answer
            if told['code']:
                end = Refusal(
                    ResultCode(told['code']),
                    answer.body[:MOST_REASON].decode('utf-8', 'replace'),
                    Ran(told['ran']),
                )
            load = LoadReport(
                whole(told['busy'], MOST_BUSY),
                whole(told['slots'], MOST_BUSY),
                finite(told['served']),
                finite(told['sending']),
                finite(told['per_kilobyte']),
                finite(told['behind']),
            )
            return cls(end, load, bool(told['offered']), evidence)
        except UNFIT:
            reason = 'answer that is not from a daemon'
            return cls(
                Refusal(ResultCode.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN),
                is_offered=True,
            )
