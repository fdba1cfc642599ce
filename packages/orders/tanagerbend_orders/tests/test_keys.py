"""Tests of signing, parsing and refusing order keys."""

import pytest

from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_orders import OrderKeyIssuer


def test_token_fits_into_a_header(issuer, key):
    """Guards against tokens that are not valid in an HTTP header."""
    assert key.token.isascii()
    assert key.token.isprintable()
    assert not set(key.token) & set(' ",;')
    assert issuer.read(f'"{key.token}"') == key


@pytest.mark.parametrize('position', [4, 20, -1])
def test_changed_token_is_refused(issuer, key, position):
    """Guards against accepting a key that a caller forged or changed."""
    replacement = 'A' if key.token[position] != 'A' else 'B'
    token = list(key.token)
    token[position] = replacement
    refusal = issuer.read(''.join(token))
    assert refusal.code is ResultCode.ORDER_KEY_INVALID


def test_key_signed_with_another_shared_key_has_unknown_outcome(
    timer, issuer, key
):
    """Guards against reporting "not run" for a key from before a rotation."""
    rotated = OrderKeyIssuer(b'another shared key', timer)
    assert rotated.read(key.token).ran is Ran.UNKNOWN


@pytest.mark.parametrize('token', ['', 'my-own-key', 'tb1', 'tb1.x.y', 'é'])
def test_malformed_key_is_refused(issuer, token):
    """Guards against exceptions on arbitrary header values."""
    assert isinstance(issuer.read(token), Refusal)
