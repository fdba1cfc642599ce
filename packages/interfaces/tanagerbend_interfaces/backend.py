"""Interface to the backend server beside a daemon."""

from collections.abc import AsyncIterator
from typing import Protocol

import attrs

from tanagerbend_model import Refusal


@attrs.frozen
class BackendRequest:
    """A request for a backend server.

    Parameters
    ==========

    method, path : str
        The path includes the query.
    headers : tuple of pairs of str
    body : asynchronous iterator of bytes
    request_id : str
    send_before : float
        Monotonic seconds; later the request must not be written any more.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: AsyncIterator[bytes]
    request_id: str
    send_before: float = float('inf')


@attrs.frozen
class BackendResponse:
    """Status, headers and body of an answer.

    ``chunks`` raises ``ConnectionError`` if the body ends early, so that a
    truncated answer is never passed off as whole.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: AsyncIterator[bytes]


class BackendServer(Protocol):
    """The backend server, reached over HTTP."""

    async def exchange(
        self,
        request: BackendRequest,
        deadline: float,
    ) -> BackendResponse | Refusal:
        """Send the request once, never again.

        ``deadline`` is monotonic seconds.  ``Refusal.ran`` is ``Ran.NO``
        only if no byte of the request was written.
        """
