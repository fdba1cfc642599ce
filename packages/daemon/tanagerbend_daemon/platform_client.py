"""Configuration service and host list over HTTP."""

import json
import re
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final

import aiohttp

from tanagerbend_interfaces import Host, HostListing, Published, Unchanged
from tanagerbend_model import Refusal, ResultCode

REVISION_HEADER: Final = 'Platform-Revision'
# 18 digits always fit into 64 bits.
REVISION_PATTERN: Final = re.compile('[0-9]{1,18}')
NO_VALUE_STATUSES: Final = frozenset(
    (HTTPStatus.NOT_MODIFIED, HTTPStatus.NOT_FOUND)
)
# Exceptions of parsing a value that is not a host list; deep nesting
# raises RecursionError.
MALFORMED_ERRORS: Final = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    RecursionError,
)
# Replaces an entry that cannot be parsed; the roster refuses and counts it.
UNREADABLE: Final = Host('', '', '', '', '', '')
READ_TIMEOUT_SECONDS: Final = 5.0
MAX_VALUE_BYTES: Final = 1024 * 1024


class HttpConfigurationService:
    """Reads and watches keys of the configuration service.

    Parameters
    ==========

    session : aiohttp.ClientSession
    url : str
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip('/')

    async def read(self, key: str) -> Published | Unchanged | Refusal:
        """Return the current value."""
        return await self._get(key, {}, READ_TIMEOUT_SECONDS)

    async def watch(
        self,
        key: str,
        after: int,
        wait: float,
    ) -> Published | Unchanged | Refusal:
        """Wait up to ``wait`` seconds for a revision other than ``after``."""
        query = {'after': str(after), 'wait': str(wait)}
        return await self._get(key, query, wait + READ_TIMEOUT_SECONDS)

    async def _get(
        self,
        key: str,
        query: Mapping[str, str],
        seconds: float,
    ) -> Published | Unchanged | Refusal:
        try:
            async with self.session.get(
                f'{self.url}/keys/{key}',
                params=query,
                timeout=aiohttp.ClientTimeout(total=seconds),
            ) as response:
                return await self._parse(key, response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = f'{type(error).__name__} while reading {key!r}'
            return Refusal(ResultCode.SERVICE_UNAVAILABLE, reason)

    async def _parse(
        self,
        key: str,
        response: aiohttp.ClientResponse,
    ) -> Published | Unchanged | Refusal:
        if response.status in NO_VALUE_STATUSES:
            return Unchanged(key)
        revision = response.headers.get(REVISION_HEADER, '')
        if response.status != HTTPStatus.OK or not REVISION_PATTERN.fullmatch(
            revision
        ):
            reason = f'status {response.status} for {key!r}'
            return Refusal(ResultCode.SERVICE_UNAVAILABLE, reason)
        content = await response.content.read(MAX_VALUE_BYTES + 1)
        while len(content) <= MAX_VALUE_BYTES and not response.content.at_eof():
            content += await response.content.read(MAX_VALUE_BYTES)
        return Published(key, int(revision), content)


class HttpHostList:
    """Reads the host list from its key of the configuration service.

    Explanation
    ===========

    The value is a JSON object with a list ``hosts`` of objects that have
    the fields of ``Host``.  A malformed list is refused as a whole; a
    malformed entry is replaced by ``UNREADABLE``, so that the roster
    counts it and uses the other entries.
    """

    def __init__(self, service: HttpConfigurationService, key: str) -> None:
        self.service = service
        self.key = key

    async def read(self) -> HostListing | Refusal:
        """Return the current list; empty if none was ever published."""
        answer = await self.service.read(self.key)
        match answer:
            case Unchanged():
                return HostListing(0, ())
        return self._parse(answer)

    async def watch(
        self,
        after: int,
        wait: float,
    ) -> HostListing | Unchanged | Refusal:
        """Wait for a revision other than ``after``."""
        answer = await self.service.watch(self.key, after, wait)
        match answer:
            case Unchanged():
                return answer
        return self._parse(answer)

    def _parse(self, answer: Published | Refusal) -> HostListing | Refusal:
        match answer:
            case Refusal():
                return answer
        try:
            entries = json.loads(answer.content)['hosts']
            hosts = [_parse_entry(entry) for entry in entries]
        except MALFORMED_ERRORS as error:
            reason = f'malformed host list: {type(error).__name__}'
            return Refusal(ResultCode.SERVICE_UNAVAILABLE, reason)
        return HostListing(answer.revision, tuple(hosts))


def _parse_entry(entry: Mapping[str, Any]) -> Host:
    try:
        return _parse_host(entry)
    except MALFORMED_ERRORS:
        return UNREADABLE


def _parse_host(entry: Mapping[str, Any]) -> Host:
    return Host(
        host=str(entry['host']),
        service=str(entry['service']),
        failure_domain=str(entry['failure_domain']),
        region=str(entry['region']),
        call_address=str(entry['call_address']),
        peer_address=str(entry['peer_address']),
        leaving=bool(entry.get('leaving', False)),
    )
