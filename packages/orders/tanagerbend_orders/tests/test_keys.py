"""Order keys."""

import pytest

from tanagerbend_model import Ran, Refusal, ResultCode
from tanagerbend_orders import PermitIssuer


def test_token_fits_into_a_header(issuer, key):
    """Guards against tokens that an HTTP client cannot send."""
    assert key.token.isascii()
    assert key.token.isprintable()
    assert not set(key.token) & set(' ",;')
    assert issuer.read(f'"{key.token}"') == key


@pytest.mark.parametrize('position', [4, 20, -1])
def test_changed_token_is_refused(issuer, key, position):
    """Guards against keys that a caller made or changed."""
    letter = 'A' if key.token[position] != 'A' else 'B'
    token = list(key.token)
    token[position] = letter
    refusal = issuer.read(''.join(token))
    assert refusal.code is ResultCode.ORDER_KEY_INVALID


def test_key_of_another_shared_key_may_have_run(timer, issuer, key):
    """Guards against "not run" for a key issued before a key rotation."""
    rotated = PermitIssuer(b'another shared key', timer)
    assert rotated.read(key.token).ran is Ran.UNKNOWN


@pytest.mark.parametrize('token', ['', 'my-own-key', 'tb1', 'tb1.x.y', 'é'])
def test_text_that_is_no_key_is_refused(issuer, token):
    """Guards against exceptions on values that callers choose."""
    assert isinstance(issuer.read(token), Refusal)
