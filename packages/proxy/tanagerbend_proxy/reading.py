"""Reads the bodies of requests within the limits of size, time and memory."""

import asyncio
import math
import sys

from aiohttp import web

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_proxy.body_memory import HeldBody, refuse_for_memory


def refuse_body(max_bytes: int) -> Refusal:
    """Refuse a body of more than ``max_bytes`` bytes."""
    reason = f'body of more than {max_bytes} bytes'
    return Refusal(ResultCode.BODY_TOO_LARGE, reason)


async def read_body(
    http: web.BaseRequest,
    held: HeldBody,
    max_bytes: int = sys.maxsize,
    seconds_left: float = math.inf,
) -> bytes | Refusal:
    """Read a body of at most ``max_bytes`` bytes.

    It is refused before it is read if its length is known and there is no
    memory for it, and ended if no byte arrives for the idle time of the
    memory or if its sender has given up, after ``seconds_left``.
    """
    if not http.body_exists:
        return b''
    declared = http.content_length or 0
    if declared > max_bytes:
        return refuse_body(max_bytes)
    if not held.reserve(declared):
        return refuse_for_memory(held)
    ends = asyncio.get_running_loop().time() + seconds_left
    try:
        async with asyncio.timeout(None) as limit:
            with held.reading(limit):
                return await _read_parts(http, max_bytes, held, limit, ends)
    except TimeoutError:
        if held.gave_way:
            return refuse_for_memory(held)
        reason = f'body of {held.received} bytes did not end in time'
        return Refusal(ResultCode.DEADLINE_PASSED, reason)


async def _read_parts(
    http: web.BaseRequest,
    max_bytes: int,
    held: HeldBody,
    limit: asyncio.Timeout,
    ends: float,
) -> bytes | Refusal:
    parts = []
    loop = asyncio.get_running_loop()
    idle_seconds = held.memory.idle_seconds
    limit.reschedule(min(loop.time() + idle_seconds, ends))
    async for part in http.content.iter_any():
        parts.append(part)
        is_within_memory = held.add(len(part))
        if held.received > max_bytes:
            return refuse_body(max_bytes)
        if not is_within_memory:
            return refuse_for_memory(held)
        limit.reschedule(min(loop.time() + idle_seconds, ends))
    return b''.join(parts)
