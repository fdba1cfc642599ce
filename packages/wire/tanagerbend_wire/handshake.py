"""Mutual authentication of two daemons at the start of a connection."""

import asyncio
import hmac
import secrets
from typing import Final

import attrs

from tanagerbend_model import Refusal, ResultCode
from tanagerbend_wire.codec import deserialize, serialize
from tanagerbend_wire.frames import (
    CLIENT_TO_SERVER,
    SERVER_TO_CLIENT,
    TAG_BYTES,
    FrameAuthenticator,
    read_block,
    compute_tag,
    write_block,
)
from tanagerbend_wire.generated.control import ttypes

NONCE_BYTES: Final = 16
MAX_HELLO_BYTES: Final = 1024
MAX_SHOWN_CHARS: Final = 64


@attrs.frozen
class Identity:
    """Identity and key with which a daemon authenticates to its peers.

    Parameters
    ==========

    deployment, host : str
    incarnation : int
        Start time of the process in nanoseconds since the epoch.
    key : bytes
        Shared by all daemons of the deployment; left out of ``repr`` so
        that it is never logged.
    """

    deployment: str
    host: str
    incarnation: int
    key: bytes = attrs.field(repr=False)


@attrs.frozen
class Session:
    """An authenticated connection.

    Parameters
    ==========

    peer : str
        Host of the peer.
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter
    incoming, outgoing : FrameAuthenticator
        Verifies received frames and authenticates sent ones.
    sent_hello_bytes : int
        Size of the hello sent to the peer; the received one is about as
        large.
    """

    peer: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    incoming: FrameAuthenticator
    outgoing: FrameAuthenticator
    sent_hello_bytes: int


async def connect_session(
    identity: Identity,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> Session | Refusal:
    """Run the client side of the handshake."""
    nonce, sent_hello_bytes = _send_hello(
        identity, writer, CLIENT_TO_SERVER, b''
    )
    hello = await _read_hello(identity, reader, SERVER_TO_CLIENT, nonce)
    match hello:
        case Refusal():
            return hello
    key = _session_key(identity, nonce, hello.nonce)
    return Session(
        hello.host,
        reader,
        writer,
        FrameAuthenticator(key, SERVER_TO_CLIENT),
        FrameAuthenticator(key, CLIENT_TO_SERVER),
        sent_hello_bytes,
    )


async def accept_session(
    identity: Identity,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> Session | Refusal:
    """Run the server side of the handshake."""
    hello = await _read_hello(identity, reader, CLIENT_TO_SERVER, b'')
    match hello:
        case Refusal():
            return hello
    nonce, sent_hello_bytes = _send_hello(
        identity, writer, SERVER_TO_CLIENT, hello.nonce
    )
    key = _session_key(identity, hello.nonce, nonce)
    return Session(
        hello.host,
        reader,
        writer,
        FrameAuthenticator(key, CLIENT_TO_SERVER),
        FrameAuthenticator(key, SERVER_TO_CLIENT),
        sent_hello_bytes,
    )


def _session_key(
    identity: Identity, client_nonce: bytes, server_nonce: bytes
) -> bytes:
    return hmac.digest(identity.key, client_nonce + server_nonce, 'sha256')


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
    tag = compute_tag(identity.key, direction, challenge, payload)
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
            f'peer of deployment {str(hello.deployment)[:MAX_SHOWN_CHARS]!r}',
        )
    expected = compute_tag(identity.key, direction, challenge, payload)
    if not hmac.compare_digest(tag, expected):
        return Refusal(ResultCode.FRAME_UNAUTHENTICATED, 'invalid tag of hello')
    if not hello.host or len(hello.nonce or b'') != NONCE_BYTES:
        return Refusal(
            ResultCode.FRAME_MALFORMED, 'hello without host or valid nonce'
        )
    return hello
