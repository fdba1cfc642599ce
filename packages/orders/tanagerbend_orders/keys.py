"""Order keys: signed tokens that permit one daemon to run one order."""

import base64
import binascii
import hmac
import json
import math
import secrets
from collections.abc import Callable
from typing import Final

import attrs

from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_timer import Timer

TOKEN_PREFIX: Final = 'tb1'
# Prepended to the signed content, so that a tag made with the shared key for
# another purpose is never a valid order key.
SIGNATURE_CONTEXT: Final = b'order-key/'
NONCE_BYTES: Final = 12
MAX_TOKEN_LENGTH: Final = 1024
DEFAULT_LIFETIME_SECONDS: Final = 900.0


@attrs.frozen
class OrderKey:
    """Signed permit to run one order at one incarnation of a daemon.

    Parameters
    ==========

    service, host : str
    incarnation : int
        Incarnation of the only daemon that may run the order.
    expiry : int
        Wall time in seconds since the epoch.
    nonce : str
        Text that is unique within the deployment.
    token : str
        Signed text form, sent as the value of ``Idempotency-Key``.
    """

    service: str
    host: str
    incarnation: int
    expiry: int
    nonce: str
    token: str = attrs.field(repr=False, eq=False)


def _encode_base64(content: bytes) -> str:
    return base64.urlsafe_b64encode(content).rstrip(b'=').decode()


def _decode_base64(text: str) -> bytes:
    padding = '=' * (-len(text) % 4)
    return base64.b64decode(text + padding, altchars=b'-_', validate=True)


class OrderKeyIssuer:
    """Issues and verifies the order keys of a deployment.

    Explanation
    ===========

    Any daemon issues keys for any instance.  A key is accepted only by
    the incarnation that it names, so that two daemons with different views
    of the fleet cannot both run an order.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> issuer = OrderKeyIssuer(b'a shared key', ManualTimer())
    >>> key = issuer.issue('order', 'host-1', 7)
    >>> issuer.read(key.token) == key
    True

    Parameters
    ==========

    shared_key : bytes
    timer : Timer
    lifetime : float
        Seconds until a key expires.
    make_nonce : callable
        Returns text that is unique within the deployment.
    """

    def __init__(
        self,
        shared_key: bytes,
        timer: Timer,
        lifetime: float = DEFAULT_LIFETIME_SECONDS,
        make_nonce: Callable[[], str] = lambda: secrets.token_hex(NONCE_BYTES),
    ) -> None:
        self.shared_key = shared_key
        self.timer = timer
        self.lifetime = lifetime
        self.make_nonce = make_nonce

    def issue(self, service: str, host: str, incarnation: int) -> OrderKey:
        """Return a new key for one incarnation of the daemon of a host."""
        expiry = math.ceil(self.timer.wall() + self.lifetime)
        fields = (service, host, incarnation, expiry, self.make_nonce())
        payload = json.dumps(fields, separators=(',', ':')).encode()
        tag = _encode_base64(self._tag(payload))
        return OrderKey(
            *fields, f'{TOKEN_PREFIX}.{_encode_base64(payload)}.{tag}'
        )

    def read(self, token: str) -> OrderKey | Refusal:
        """Return the key of a token; refuse a token with a wrong signature.

        Explanation
        ===========

        The expiry is not checked here, because only the clock of the owner
        decides it.  A token that was signed with another shared key, such
        as one from before a key rotation, may have been used.  Its refusal
        therefore says that it is unknown whether the order ran.
        """
        token = token.strip().strip('"')
        prefix, _, rest = token.partition('.')
        payload_text, _, tag_text = rest.partition('.')
        if prefix != TOKEN_PREFIX:
            return Refusal(ResultCode.ORDER_KEY_INVALID, 'not an order key')
        if len(token) > MAX_TOKEN_LENGTH:
            return _refuse_invalid('the order key is too long')
        try:
            payload, tag = (
                _decode_base64(payload_text),
                _decode_base64(tag_text),
            )
        except (binascii.Error, ValueError):
            return _refuse_invalid('the order key is not valid base64')
        if not hmac.compare_digest(tag, self._tag(payload)):
            return _refuse_invalid(
                'the signature of the order key does not match'
            )
        return OrderKey(*json.loads(payload), token)

    def _tag(self, payload: bytes) -> bytes:
        return hmac.digest(
            self.shared_key, SIGNATURE_CONTEXT + payload, 'sha256'
        )


def _refuse_invalid(reason: str) -> Refusal:
    return Refusal(ResultCode.ORDER_KEY_INVALID, reason, Ran.UNKNOWN)
