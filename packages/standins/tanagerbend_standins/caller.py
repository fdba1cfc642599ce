"""Callers that send calls and orders through random daemons."""

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

CALL_SECONDS: Final = 30.0
RESEND_SECONDS: Final = 0.1
DECIDED: Final = frozenset(
    (ResultCode.ORDER_OWNER_GONE, ResultCode.ORDER_ANSWER_DROPPED),
)
# Not in any sheet: the refusal tells the version and costs no slot.
NO_SERVICE: Final = 'no-such-service'


@attrs.frozen
class Reply:
    """What a caller got.

    Parameters
    ==========

    status : int
        HTTP status; 0 if no whole answer arrived.
    code : int
        Number of the result code; -1 if there was none.
    ran : Ran
    body : bytes
        Name of the exception if no whole answer arrived.
    seconds : float
    via : str
        Host of the entry daemon.
    order_key : str
        Key for the next attempt that the answer carried, or empty.
    version : str
        Version in force at the entry daemon.
    owner : str
        Daemon that decided about an order, else an empty string.
    return_seconds : int
        When the answer asks to send again, 0 if it does not.
    """

    status: int
    code: int
    ran: Ran
    body: bytes
    seconds: float
    via: str
    order_key: str = ''
    version: str = ''
    owner: str = ''
    return_seconds: int = 0

    @property
    def is_answer(self) -> bool:
        """Whether a backend server's whole answer arrived."""
        return self.status == HTTPStatus.OK and self.code <= 0

    @property
    def is_final(self) -> bool:
        """Whether sending the same order key again can change nothing."""
        if self.is_answer or self.code in DECIDED:
            return True
        is_known = bool(self.owner) and self.ran is not Ran.NO
        return is_known and self.code != ResultCode.ORDER_IN_PROGRESS


@attrs.frozen
class Sent:
    """A call that is sent; ``order`` is the name of the order, if any."""

    service: str
    path: str
    method: str
    tenant: str
    via: str
    order: str


class Caller:
    """Sends calls and orders to the daemons of a fleet.

    Parameters
    ==========

    fleet : Fleet
    seed : int
        For the choice of daemons.
    """

    def __init__(self, fleet: Fleet, seed: int = 1) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)  # noqa: S311
        # Called with ``Sent`` for each call and each sending of an order,
        # but not for requests of order keys.
        self.observers: list[Callable[[Sent], None]] = []
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        )

    def pick(self) -> Node:
        """Return a random node whose daemon runs."""
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
        """Send one call; never raises for a failure of the network.

        Parameters
        ==========

        service, path : str
        body : bytes
            With a body, the method is POST unless it is given.
        node : Node or None
            A random one if None.
        method, order_key, tenant : str
        is_observed : bool
        """
        entry = node or self.pick()
        if not method:
            method = 'POST' if body else 'GET'
        if is_observed:
            host = entry.place.host
            sent = Sent(service, path, method, tenant, host, body.decode())
            for observer in self.observers:
                observer(sent)
        own = {headers.SERVICE: service, headers.TENANT: tenant}
        if order_key:
            own[headers.ORDER_KEY] = order_key
        begun = time.monotonic()
        try:
            async with self.session.request(
                method,
                f'http://{entry.call_address}{path}',
                headers=own,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=CALL_SECONDS),
            ) as response:
                text = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            unsent = isinstance(error, aiohttp.ClientConnectorError)
            ran = Ran.NO if unsent else Ran.UNKNOWN
            seconds = time.monotonic() - begun
            name = type(error).__name__.encode()
            return Reply(0, -1, ran, name, seconds, entry.place.host)
        return _read(response, text, time.monotonic() - begun, entry)

    async def order(self, service: str, path: str, body: bytes) -> Reply:
        """Send an order until its outcome is known or known as unknown.

        Explanation
        ===========

        Each attempt goes through a random daemon.  The key is the one that
        a daemon hands out; without a key an order is sent again only when
        a daemon names a time for it.
        """
        begun = time.monotonic()
        reply = await self.call(service, path, body, is_observed=False)
        while reply.ran is Ran.NO and reply.return_seconds:
            if time.monotonic() - begun > CALL_SECONDS:
                break
            await asyncio.sleep(reply.return_seconds)
            reply = await self.call(service, path, body, is_observed=False)
        key = reply.order_key
        while key and not reply.is_final:
            if time.monotonic() - begun > CALL_SECONDS:
                break
            reply = await self.call(service, path, body, order_key=key)
            if not reply.is_final:
                key = reply.order_key or key
                await asyncio.sleep(RESEND_SECONDS)
        return reply

    async def version_at(self, node: Node) -> str:
        """Return the version in force at a daemon; empty if it has none."""
        reply = await self.call(NO_SERVICE, '/', node=node, is_observed=False)
        return reply.version

    async def status(self, node: Node, path: str = '/status') -> Any:
        """Return the JSON that an operator endpoint answers, or None."""
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
        """Close the connections."""
        await self.session.close()


def _read(
    response: aiohttp.ClientResponse,
    body: bytes,
    seconds: float,
    entry: Node,
) -> Reply:
    received = response.headers
    return Reply(
        response.status,
        int(received.get(headers.RESULT, '-1')),
        Ran(received.get(headers.RAN, 'unknown')),
        body,
        seconds,
        entry.place.host,
        received.get(headers.FRESH_ORDER_KEY, ''),
        received.get(headers.VERSION, ''),
        received.get(headers.ORDER_OWNER, ''),
        int(received.get('Retry-After', '0')),
    )
