"""Client of the operators' endpoints of daemons."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, TypeVar

import aiohttp
import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_operator.access import Access

ANSWER_SECONDS: Final = 5.0
# Daemons asked at the same time; a fleet has thousands.
CONNECTIONS: Final = 64
HTTP_ERRORS: Final = 400

Outcome = TypeVar('Outcome')


@attrs.define
class DaemonClient:
    """Asks daemons with the operators' token.

    Parameters
    ==========

    session : aiohttp.ClientSession
    """

    session: aiohttp.ClientSession
    turns: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(CONNECTIONS),
    )

    async def ask(
        self,
        address: str,
        path: str,
        query: Mapping[str, str] | None = None,
        method: str = 'GET',
    ) -> Any:
        """Return the JSON or text of an answer, or a refusal."""
        try:
            return await self._request(method, address, path, query)
        except TimeoutError:
            reason = f'{address}: no answer within {ANSWER_SECONDS:.0f} s'
        except (aiohttp.ClientConnectorError, ConnectionError):
            reason = f'{address}: no connection'
        except (aiohttp.ClientError, OSError, ValueError) as error:
            reason = f'{address}: {type(error).__name__}'
        return Refusal(ResultCode.PEER_UNREACHABLE, reason)

    async def _request(
        self,
        method: str,
        address: str,
        path: str,
        query: Mapping[str, str] | None,
    ) -> Any:
        # Waiting for a turn must not count against the time to answer.
        async with (
            self.turns,
            self.session.request(
                method,
                f'http://{address}{path}',
                params=query or {},
            ) as response,
        ):
            return await _read(response)

    async def ask_all(
        self,
        addresses: tuple[str, ...],
        path: str,
        query: Mapping[str, str] | None = None,
    ) -> dict[str, Any]:
        """Return the answer of each daemon by its address."""
        answers = await asyncio.gather(
            *(self.ask(address, path, query) for address in addresses),
        )
        return dict(zip(addresses, answers, strict=True))


async def _read(response: aiohttp.ClientResponse) -> Any:
    if response.content_type != 'application/json':
        return await response.read()
    answer = await response.json()
    if response.status >= HTTP_ERRORS and 'code' in answer:
        return Refusal(_code(answer['code']), answer['reason'])
    return answer


def _code(number: int) -> ResultCode:
    try:
        return ResultCode(number)
    except ValueError:
        # A newer daemon can have codes that this release does not know.
        return ResultCode.PEER_UNREACHABLE


def run_with(
    access: Access,
    work: Callable[[DaemonClient], Awaitable[Outcome]],
) -> Outcome:
    """Run a coroutine with a client and close the client."""

    async def run() -> Outcome:  # noqa: WPS430 - asyncio.run needs one
        async with aiohttp.ClientSession(
            headers={'Authorization': f'Bearer {access.token}'},
            timeout=aiohttp.ClientTimeout(total=ANSWER_SECONDS),
            connector=aiohttp.TCPConnector(limit=0),
        ) as session:
            return await work(DaemonClient(session))

    return asyncio.run(run())
