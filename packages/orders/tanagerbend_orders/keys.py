"""Order keys: permits to run one order at one incarnation of a daemon."""

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

PREFIX: Final = 'tb1'
# Separates these tags from other uses of the shared key.
PURPOSE: Final = b'order-key/'
NONCE_BYTES: Final = 12
MAX_TOKEN_LENGTH: Final = 1024
DEFAULT_LIFETIME: Final = 900.0


@attrs.frozen
class OrderKey:
    """A permit to run one order.

    Parameters
    ==========

    service, host : str
    incarnation : int
        Incarnation of the daemon that alone may run the order.
    expiry : int
        Wall time in seconds since the epoch.
    nonce : str
        Makes the key unique.
    token : str
        Printable form, signed; the value of ``Idempotency-Key``.
    """

    service: str
    host: str
    incarnation: int
    expiry: int
    nonce: str
    token: str = attrs.field(repr=False, eq=False)


def _encode(content: bytes) -> str:
    return base64.urlsafe_b64encode(content).rstrip(b'=').decode()


def _decode(text: str) -> bytes:
    padding = '=' * (-len(text) % 4)
    return base64.b64decode(text + padding, altchars=b'-_', validate=True)


class PermitIssuer:
    """Issues and reads the order keys of a deployment.

    Explanation
    ===========

    Any daemon issues keys for any instance.  Only the incarnation that a
    key names accepts it, so that two daemons with different views of the
    fleet cannot both run an order.

    Examples
    ========

    >>> from tanagerbend_timer import ManualTimer
    >>> issuer = PermitIssuer(b'a shared key', ManualTimer())
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
        lifetime: float = DEFAULT_LIFETIME,
        make_nonce: Callable[[], str] = lambda: secrets.token_hex(NONCE_BYTES),
    ) -> None:
        self.shared_key = shared_key
        self.timer = timer
        self.lifetime = lifetime
        self.make_nonce = make_nonce

    def issue(self, service: str, host: str, incarnation: int) -> OrderKey:
        """Return a new key for one incarnation of an instance's daemon."""
        expiry = math.ceil(self.timer.wall() + self.lifetime)
        fields = (service, host, incarnation, expiry, self.make_nonce())
        payload = json.dumps(fields, separators=(',', ':')).encode()
        tag = _encode(self._tag(payload))
        return OrderKey(*fields, f'{PREFIX}.{_encode(payload)}.{tag}')

    def read(self, token: str) -> OrderKey | Refusal:
        """Return the key of a token, or refuse one not issued here.

        Explanation
        ===========

        The expiry is not checked: only the owner's clock counts.  A token
        that was signed with another shared key may have been used, so its
        refusal does not say "not run".
        """
        token = token.strip().strip('"')
        prefix, _, rest = token.partition('.')
        payload_text, _, tag_text = rest.partition('.')
        if prefix != PREFIX:
            return Refusal(ResultCode.ORDER_KEY_INVALID, 'not an order key')
        if len(token) > MAX_TOKEN_LENGTH:
            return _invalid('the order key is too long')
        try:
            payload, tag = _decode(payload_text), _decode(tag_text)
        except (binascii.Error, ValueError):
            return _invalid('the order key is damaged')
        if not hmac.compare_digest(tag, self._tag(payload)):
            return _invalid('signature does not match')
        return OrderKey(*json.loads(payload), token)

    def _tag(self, payload: bytes) -> bytes:
        return hmac.digest(self.shared_key, PURPOSE + payload, 'sha256')


def _invalid(reason: str) -> Refusal:
    return Refusal(ResultCode.ORDER_KEY_INVALID, reason, Ran.UNKNOWN)
