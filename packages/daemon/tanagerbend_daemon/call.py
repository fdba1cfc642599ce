"""Calls that a daemon handles, their limits and their answers."""

import re
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import contextmanager
from typing import Final

import attrs

from tanagerbend_model import Ran, Refusal, ResultCode, headers
from tanagerbend_timer import Timer

MAX_HOPS: Final = 8
DEFAULT_TENANT: Final = 'none'
TENANT_PATTERN: Final = re.compile('[A-Za-z0-9._-]{1,64}')
MAX_DEADLINE_MS: Final = 3_600_000
MILLISECONDS_PER_SECOND: Final = 1000
MAX_DIGITS: Final = 9

HeaderPairs = tuple[tuple[str, str], ...]


@attrs.define
class CallTimes:
    """Waiting time and rank of a call, for the histogram of added time.

    Parameters
    ==========

    waited : float
        Seconds spent waiting for a slot, the backend server or a peer.
    rank : int
        Effective rank, once the route is known.
    """

    waited: float = 0.0
    rank: int = 0

    @contextmanager
    def waiting(self, timer: Timer) -> Iterator[None]:
        """Add the duration of the block to ``waited``."""
        started = timer.now()
        try:
            yield
        finally:
            self.waited += timer.now() - started


@attrs.frozen
class Call:
    """A request received from a caller or from an entry daemon.

    Parameters
    ==========

    service, method, path : str
        The path includes the query.
    header_pairs : tuple of pairs of str
        Headers to forward.
    body : bytes or asynchronous iterator of bytes
        Bytes if the body is small enough to be buffered for a retry.
    tenant : str
    rank : int
        Rank of the call that caused this one; 0 if there is none.
    deadline : float
        Monotonic seconds; infinite if the caller set none.
    hops : int
        Number of calls in the chain that caused this one.
    request_id : str
    order_key : str
    instance : str
        Host that the entry daemon selected; empty at the entry daemon.
    times : CallTimes
        Shared by all copies of the call in this daemon.
    """

    service: str
    method: str
    path: str
    header_pairs: HeaderPairs
    body: bytes | AsyncIterator[bytes]
    tenant: str
    rank: int
    deadline: float
    hops: int
    request_id: str
    order_key: str = ''
    instance: str = ''
    times: CallTimes = attrs.field(factory=CallTimes, eq=False)

    def limit_headers(self, now: float, hops: int) -> HeaderPairs:
        """Return the headers that carry the limits of this call.

        ``now`` is in monotonic seconds; ``hops`` is the value to send.
        """
        remaining = min(
            (self.deadline - now) * MILLISECONDS_PER_SECOND, MAX_DEADLINE_MS
        )
        return (
            (headers.TENANT, self.tenant),
            (headers.RANK, str(self.rank)),
            (headers.DEADLINE_MS, str(max(0, int(remaining)))),
            (headers.HOPS, str(hops)),
            (headers.REQUEST_ID, self.request_id),
        )

    @property
    def is_repeatable(self) -> bool:
        """Whether the body can be sent more than once."""
        return isinstance(self.body, bytes)


@attrs.frozen
class Answer:
    """Answer of a backend server or of an owner daemon.

    Parameters
    ==========

    status : int
    header_pairs : tuple of pairs of str
    chunks : asynchronous iterator of bytes
        Raises ``ConnectionError`` if the body ends early.
    code : ResultCode
    ran : Ran
    load : str
        Load in percent, as the owner daemon reports it; empty if unknown.
    """

    status: int
    header_pairs: HeaderPairs
    chunks: AsyncIterator[bytes]
    code: ResultCode = ResultCode.OK
    ran: Ran = Ran.YES
    load: str = ''


@attrs.frozen
class CallLimits:
    """Tenant, rank, deadline and hops, as read from the headers of a call."""

    tenant: str
    rank: int
    deadline: float
    hops: int


def header_of(pairs: HeaderPairs, name: str) -> str:
    """Return the first value of a header, empty if it is missing.

    Examples
    ========

    >>> header_of((('content-TYPE', 'text/plain'),), 'Content-Type')
    'text/plain'
    """
    wanted = name.lower()
    for found, text in pairs:
        if found.lower() == wanted:
            return text
    return ''


def read_limits(
    received: Mapping[str, str],
    now: float,
) -> CallLimits | Refusal:
    """Read tenant, rank, deadline and hops from the headers.

    Parameters
    ==========

    received : mapping of str to str
    now : float
        Monotonic seconds.
    """
    tenant = received.get(headers.TENANT)
    if tenant is None:
        tenant = DEFAULT_TENANT
    elif TENANT_PATTERN.fullmatch(tenant) is None:
        return _invalid_header(headers.TENANT, tenant)
    rank = _read_number(received, headers.RANK, 9)
    if rank is None:
        return _invalid_header(headers.RANK, received[headers.RANK])
    hops = _read_number(received, headers.HOPS, 1000)
    if hops is None:
        return _invalid_header(headers.HOPS, received[headers.HOPS])
    text = received.get(headers.DEADLINE_MS)
    if text is None:
        return CallLimits(tenant, rank, float('inf'), hops)
    remaining = _read_number(received, headers.DEADLINE_MS, MAX_DEADLINE_MS)
    if remaining is None:
        return _invalid_header(headers.DEADLINE_MS, text)
    return CallLimits(
        tenant, rank, now + remaining / MILLISECONDS_PER_SECOND, hops
    )


def _read_number(
    received: Mapping[str, str],
    name: str,
    highest: int,
) -> int | None:
    text = received.get(name)
    if text is None:
        return 0
    is_number = text.isascii() and text.isdecimal()
    if is_number and len(text) <= MAX_DIGITS and int(text) <= highest:
        return int(text)
    return None


def _invalid_header(name: str, text: str) -> Refusal:
    return Refusal(ResultCode.HEADER_INVALID, f'{name}: {text!r}')
