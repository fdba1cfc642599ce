"""Mutual authentication of two daemons at the start of a connection."""

import asyncio
import hmac
import secrets
from typing import Final

import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_wire.codec import deserialize, serialize
from tanagerbend_wire.frames import (
    CLIENT,
    SERVER,
    TAG_BYTES,
    Sealer,
    read_block,
    tag_of,
    write_block,
)
from tanagerbend_wire.generated.control import ttypes

NONCE_BYTES: Final = 16
MAX_HELLO_BYTES: Final = 1024
SHOWN_LENGTH: Final = 64


@attrs.frozen
class Identity:
    """Who a daemon is to its peers.

    Parameters
    ==========

    deployment, host : str
    incarnation : int
    key : bytes
        Shared by all daemons of the deployment; never logged.
    """

    deployment: str
    host: str
    incarnation: int
    key: bytes = attrs.field(repr=False)


@attrs.frozen
class Session:
    """An authenticated connection.

    ``hello_bytes`` is the size of the own part of the handshake; that of
    the peer is about the same.
    """

    peer: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    incoming: Sealer
    outgoing: Sealer
    hello_bytes: int


async def connect_session(
    identity: Identity,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> Session | Refusal:
    """Run the handshake of the side that connected."""
    nonce, sent = _send_hello(identity, writer, CLIENT, b'')
    hello = await _read_hello(identity, reader, SERVER, nonce)
    match hello:
        case Refusal():
            return hello
    key = _session_key(identity, nonce, hello.nonce)
    return Session(
        hello.host,
        reader,
        writer,
        Sealer(key, SERVER),
        Sealer(key, CLIENT),
        sent,
    )


async def accept_session(
    identity: Identity,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> Session | Refusal:
    """Run the handshake of the side that was connected to."""
    hello = await _read_hello(identity, reader, CLIENT, b'')
    match hello:
        case Refusal():
            return hello
    nonce, sent = _send_hello(identity, writer, SERVER, hello.nonce)
    key = _session_key(identity, hello.nonce, nonce)
    return Session(
        hello.host,
        reader,
        writer,
        Sealer(key, CLIENT),
        Sealer(key, SERVER),
        sent,
    )


def _session_key(identity: Identity, client: bytes, server: bytes) -> bytes:
    return hmac.digest(identity.key, client + server, 'sha256')


def _send_hello(
    identity: Identity,
    writer: asyncio.StreamWriter,
    direction: bytes,
    challenge: bytes,
) -> tuple[bytes, int]:
    nonce = secrets.token_bytes(NONCE_BYTES)
    payload = serialize(
        ttypes.Hello(
            deployment=identity.deployment,
            host=identity.host,
            incarnation=identity.incarnation,
            nonce=nonce,
        )
    )
    tag = tag_of(identity.key, direction, challenge, payload)
    return nonce, write_block(writer, tag + payload)


async def _read_hello(
    identity: Identity,
    reader: asyncio.StreamReader,
    direction: bytes,
    challenge: bytes,
) -> ttypes.Hello | Refusal:
    block = await read_block(reader, MAX_HELLO_BYTES)
    match block:
        case Refusal():
            return block
    tag, payload = block[:TAG_BYTES], block[TAG_BYTES:]
    try:
        hello = deserialize(ttypes.Hello(), payload)
    except ValueError as error:
        return Refusal(ResultCode.FRAME_MALFORMED, str(error))
    if hello.deployment != identity.deployment:
        return Refusal(
            ResultCode.FOREIGN_DEPLOYMENT,
            f'deployment {str(hello.deployment)[:SHOWN_LENGTH]!r}',
        )
    expected = tag_of(identity.key, direction, challenge, payload)
    if not hmac.compare_digest(tag, expected):
        return Refusal(ResultCode.FRAME_UNAUTHENTICATED, 'wrong hello tag')
    if not hello.host or len(hello.nonce or b'') != NONCE_BYTES:
        return Refusal(ResultCode.FRAME_MALFORMED, 'incomplete hello')
    return hello
