"""A call on its way through a daemon and its answer."""

import re
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import contextmanager
from typing import Final

import attrs

from tanagerbend_model import Ran, Refusal, ResultCode, headers
from tanagerbend_timer import Timer

MAX_HOPS: Final = 8
DEFAULT_TENANT: Final = 'none'
TENANT: Final = re.compile('[A-Za-z0-9._-]{1,64}')
MAX_DEADLINE_MS: Final = 3_600_000
MILLISECONDS: Final = 1000
MAX_DIGITS: Final = 9

HeaderPairs = tuple[tuple[str, str], ...]


@attrs.define
class CallTimes:
    """What a daemon measures of a call on its way.

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
        """Add the time until the end of the block."""
        started = timer.now()
        try:
            yield
        finally:
            self.waited += timer.now() - started


@attrs.frozen
class Call:
    """One request of a caller or of an entry daemon.

    Parameters
    ==========

    service, method, path : str
        The path includes the query.
    header_pairs : tuple of pairs of str
        Headers to pass on.
    body : bytes or asynchronous iterator of bytes
        Bytes if the body is small enough to be sent again.
    tenant : str
    rank : int
        Rank of the call that caused this one; 0 if there is none.
    deadline : float
        Monotonic seconds; infinite if the caller set none.
    hops : int
        Calls that led to this one.
    request_id : str
    order_key : str
    instance : str
        Host that the entry daemon chose; empty at the entry daemon.
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

        ``now`` is monotonic seconds, ``hops`` the number to be sent.
        """
        remaining = min((self.deadline - now) * MILLISECONDS, MAX_DEADLINE_MS)
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
    """Answer of a backend server.

    Parameters
    ==========

    status : int
    header_pairs : tuple of pairs of str
    chunks : asynchronous iterator of bytes
        Raises ``ConnectionError`` if the body ends early.
    code : ResultCode
    ran : Ran
    load : str
        Load in percent that the owner daemon reports, empty if unknown.
    """

    status: int
    header_pairs: HeaderPairs
    chunks: AsyncIterator[bytes]
    code: ResultCode = ResultCode.OK
    ran: Ran = Ran.YES
    load: str = ''


@attrs.frozen
class CallLimits:
    """What the headers of a call say about it."""

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
    elif TENANT.fullmatch(tenant) is None:
        return _invalid(headers.TENANT, tenant)
    rank = _number(received, headers.RANK, 9)
    if rank is None:
        return _invalid(headers.RANK, received[headers.RANK])
    hops = _number(received, headers.HOPS, 1000)
    if hops is None:
        return _invalid(headers.HOPS, received[headers.HOPS])
    text = received.get(headers.DEADLINE_MS)
    if text is None:
        return CallLimits(tenant, rank, float('inf'), hops)
    remaining = _number(received, headers.DEADLINE_MS, MAX_DEADLINE_MS)
    if remaining is None:
        return _invalid(headers.DEADLINE_MS, text)
    return CallLimits(tenant, rank, now + remaining / MILLISECONDS, hops)


def _number(
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


def _invalid(name: str, text: str) -> Refusal:
    return Refusal(ResultCode.HEADER_INVALID, f'{name}: {text!r}')
