"""Client for the operators' endpoints of the daemons."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, TypeVar

import aiohttp
import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_operator.access import Access

REQUEST_TIMEOUT_SECONDS: Final = 5.0
# A fleet has thousands of daemons; this bounds the open connections.
MAX_CONCURRENT_REQUESTS: Final = 64
FIRST_ERROR_STATUS: Final = 400

Result = TypeVar('Result')


@attrs.define
class DaemonClient:
    """Sends requests to daemons with the operators' token.

    Parameters
    ==========

    session : aiohttp.ClientSession
    """

    session: aiohttp.ClientSession
    request_slots: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(MAX_CONCURRENT_REQUESTS),
    )

    async def request(
        self,
        address: str,
        path: str,
        query: Mapping[str, str] | None = None,
        method: str = 'GET',
    ) -> Any:
        """Return the decoded JSON or the bytes of an answer, or a refusal."""
        try:
            return await self._send(method, address, path, query)
        except TimeoutError:
            reason = (
                f'{address}: no answer within {REQUEST_TIMEOUT_SECONDS:.0f} s'
            )
        except (aiohttp.ClientConnectorError, ConnectionError):
            reason = f'{address}: no connection'
        except (aiohttp.ClientError, OSError, ValueError) as error:
            reason = f'{address}: {type(error).__name__}'
        return Refusal(ResultCode.PEER_UNREACHABLE, reason)

    async def _send(
        self,
        method: str,
        address: str,
        path: str,
        query: Mapping[str, str] | None,
    ) -> Any:
        # The request timeout starts only once a slot has been acquired.
        async with (
            self.request_slots,
            self.session.request(
                method,
                f'http://{address}{path}',
                params=query or {},
            ) as response,
        ):
            return await _decode_response(response)

    async def request_all(
        self,
        addresses: tuple[str, ...],
        path: str,
        query: Mapping[str, str] | None = None,
    ) -> dict[str, Any]:
        """Return the answers of several daemons by address."""
        answers = await asyncio.gather(
            *(self.request(address, path, query) for address in addresses),
        )
        return dict(zip(addresses, answers, strict=True))


async def _decode_response(response: aiohttp.ClientResponse) -> Any:
    if response.content_type != 'application/json':
        return await response.read()
    answer = await response.json()
    if response.status >= FIRST_ERROR_STATUS and 'code' in answer:
        return Refusal(_parse_code(answer['code']), answer['reason'])
    return answer


def _parse_code(number: int) -> ResultCode:
    try:
        return ResultCode(number)
    except ValueError:
        # A daemon of a newer release can return codes unknown to this one.
        return ResultCode.PEER_UNREACHABLE


def run_with_client(
    access: Access,
    operation: Callable[[DaemonClient], Awaitable[Result]],
) -> Result:
    """Run an asynchronous operation with a client and close the client."""

    async def run() -> Result:  # noqa: WPS430 - asyncio.run needs one
        async with aiohttp.ClientSession(
            headers={'Authorization': f'Bearer {access.token}'},
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS),
            connector=aiohttp.TCPConnector(limit=0),
        ) as session:
            return await operation(DaemonClient(session))

    return asyncio.run(run())
