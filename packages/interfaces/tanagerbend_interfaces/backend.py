"""Interface to the backend server on the host of a daemon."""

from collections.abc import AsyncIterator
from typing import Protocol

import attrs

from tanagerbend_model import Refusal


@attrs.frozen
class BackendRequest:
    """Request to a backend server.

    Parameters
    ==========

    method, path : str
        The path includes the query string.
    headers : tuple of pairs of str
    body : asynchronous iterator of bytes
    request_id : str
    send_before : float
        Monotonic time in seconds after which the request must not be sent.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: AsyncIterator[bytes]
    request_id: str
    send_before: float = float('inf')


@attrs.frozen
class BackendResponse:
    """Response of a backend server with its status, headers and body.

    ``chunks`` raises ``ConnectionError`` if the body ends early, so that a
    truncated response is never forwarded as a complete one.
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
        """Send the request once, without retries.

        ``deadline`` is monotonic time in seconds.  ``Refusal.ran`` is
        ``Ran.NO`` only if no byte of the request was written.
        """
