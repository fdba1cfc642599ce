"""Client that sends calls and orders through random daemons."""

import asyncio
import random
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

import aiohttp
import attrs

from tanagerbend_model import Ran, ResultCode, headers
from tanagerbend_standins.fleet import TOKEN, Fleet, Node

CALL_TIMEOUT_SECONDS: Final = 30.0
RESEND_PAUSE_SECONDS: Final = 0.1
FINAL_CODES: Final = frozenset(
    (ResultCode.ORDER_OWNER_GONE, ResultCode.ORDER_ANSWER_DROPPED),
)
# Absent from every sheet: a refusal carries the version and uses no slot.
UNKNOWN_SERVICE: Final = 'no-such-service'


@attrs.frozen
class Reply:
    """Result of a call as the caller sees it.

    Parameters
    ==========

    status : int
        HTTP status; 0 if no complete answer arrived.
    code : int
        Number of the result code; -1 if there was none.
    ran : Ran
        Whether the request ran, as the daemon reports it.
    body : bytes
        Name of the exception if no complete answer arrived.
    seconds : float
        Time from sending the call to its result.
    entry_host : str
        Host of the entry daemon.
    order_key : str
        Key that the answer provides for the next attempt, or empty.
    version : str
        Version in force at the entry daemon.
    order_owner : str
        Daemon that decided about an order; empty for other calls.
    retry_after_seconds : int
        Delay after which the answer asks to retry; 0 if it does not.
    """

    status: int
    code: int
    ran: Ran
    body: bytes
    seconds: float
    entry_host: str
    order_key: str = ''
    version: str = ''
    order_owner: str = ''
    retry_after_seconds: int = 0

    @property
    def is_answer(self) -> bool:
        """Whether a complete answer of a backend server arrived."""
        return self.status == HTTPStatus.OK and self.code <= 0

    @property
    def is_final(self) -> bool:
        """Whether sending the same order key again cannot change the result."""
        if self.is_answer or self.code in FINAL_CODES:
            return True
        is_outcome_known = bool(self.order_owner) and self.ran is not Ran.NO
        return is_outcome_known and self.code != ResultCode.ORDER_IN_PROGRESS


@attrs.frozen
class SentCall:
    """Call passed to observers; ``order`` is its body, which names an order."""

    service: str
    path: str
    method: str
    tenant: str
    entry_host: str
    order: str


class Caller:
    """Sends calls and orders to the daemons of a fleet.

    Parameters
    ==========

    fleet : Fleet
    seed : int
        Seed for the choice of daemons.
    """

    def __init__(self, fleet: Fleet, seed: int = 1) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)  # noqa: S311
        # Called with each call and each attempt of an order, but not with
        # requests for order keys.
        self.observers: list[Callable[[SentCall], None]] = []
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        )

    def random_node(self) -> Node:
        """Return a random node with a running daemon."""
        running = [
            node for node in self.fleet.nodes if node.process is not None
        ]
        return self.random.choice(running)

    async def call(
        self,
        service: str,
        path: str,
        body: bytes = b'',
        node: Node | None = None,
        method: str = '',
        order_key: str = '',
        tenant: str = 'caller',
        is_observed: bool = True,
    ) -> Reply:
        """Send one call; network failures are returned, not raised.

        Parameters
        ==========

        service, path : str
        body : bytes
            Request body.
        node : Node or None
            Entry node; None for a random one.
        method : str
            If empty, POST with a body and GET without.
        order_key, tenant : str
        is_observed : bool
            Whether the call is passed to the observers.
        """
        entry_node = node or self.random_node()
        if not method:
            method = 'POST' if body else 'GET'
        if is_observed:
            host = entry_node.place.host
            sent_call = SentCall(
                service, path, method, tenant, host, body.decode()
            )
            for observer in self.observers:
                observer(sent_call)
        request_headers = {headers.SERVICE: service, headers.TENANT: tenant}
        if order_key:
            request_headers[headers.ORDER_KEY] = order_key
        started_at = time.monotonic()
        try:
            async with self.session.request(
                method,
                f'http://{entry_node.call_address}{path}',
                headers=request_headers,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS),
            ) as response:
                answer_body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            is_unsent = isinstance(error, aiohttp.ClientConnectorError)
            ran = Ran.NO if is_unsent else Ran.UNKNOWN
            seconds = time.monotonic() - started_at
            error_name = type(error).__name__.encode()
            return Reply(0, -1, ran, error_name, seconds, entry_node.place.host)
        return _to_reply(
            response, answer_body, time.monotonic() - started_at, entry_node
        )

    async def place_order(self, service: str, path: str, body: bytes) -> Reply:
        """Send an order until its outcome is final.

        Explanation
        ===========

        The outcome can also be final as "unknown".  Each attempt goes
        through a random daemon, with the key that a daemon issued.  An
        order without a key is sent again only if the answer says that it
        did not run and when to retry.
        """
        started_at = time.monotonic()
        reply = await self.call(service, path, body, is_observed=False)
        while reply.ran is Ran.NO and reply.retry_after_seconds:
            if time.monotonic() - started_at > CALL_TIMEOUT_SECONDS:
                break
            await asyncio.sleep(reply.retry_after_seconds)
            reply = await self.call(service, path, body, is_observed=False)
        key = reply.order_key
        while key and not reply.is_final:
            if time.monotonic() - started_at > CALL_TIMEOUT_SECONDS:
                break
            reply = await self.call(service, path, body, order_key=key)
            if not reply.is_final:
                key = reply.order_key or key
                await asyncio.sleep(RESEND_PAUSE_SECONDS)
        return reply

    async def version_at(self, node: Node) -> str:
        """Return the version in force at a daemon, or an empty string."""
        reply = await self.call(
            UNKNOWN_SERVICE, '/', node=node, is_observed=False
        )
        return reply.version

    async def status(self, node: Node, path: str = '/status') -> Any:
        """Return the JSON answer of an operator endpoint, or None."""
        try:
            async with self.session.get(
                f'http://{node.operator_address}{path}',
                headers={'Authorization': f'Bearer {TOKEN}'},
            ) as response:
                if response.status != HTTPStatus.OK:
                    return None
                return await response.json(content_type=None)
        except (aiohttp.ClientError, OSError, ValueError):
            return None

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def _to_reply(
    response: aiohttp.ClientResponse,
    body: bytes,
    seconds: float,
    entry_node: Node,
) -> Reply:
    response_headers = response.headers
    return Reply(
        response.status,
        int(response_headers.get(headers.RESULT, '-1')),
        Ran(response_headers.get(headers.RAN, 'unknown')),
        body,
        seconds,
        entry_node.place.host,
        response_headers.get(headers.FRESH_ORDER_KEY, ''),
        response_headers.get(headers.VERSION, ''),
        response_headers.get(headers.ORDER_OWNER, ''),
        int(response_headers.get('Retry-After', '0')),
    )
