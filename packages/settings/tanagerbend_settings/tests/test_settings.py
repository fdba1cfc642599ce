"""Settings: all faults are reported together, and none has a secret."""

import pathlib

import pytest

from tanagerbend_model import ResultCode
from tanagerbend_settings import Settings, load, load_access, read_text

SECRETS = 'shared key of the fleet', 'token of the operators'
VALID = """
[host]
deployment = "tas-south"
name = "host-1"
service = "pattern"
failure_domain = "kingston"
region = "tas-south"
[addresses]
calls = "10.3.0.1:9001"
peers = "10.3.0.1:9002"
operators = "10.3.0.1:9003"
backend = "10.3.0.1:9004"
[platform]
url = "http://10.3.0.9:8000"
[peers]
shared_key = "shared key of the fleet"
seeds = ["10.3.0.2:9002"]
[operators]
token = "token of the operators"
[instance]
slots = 6
"""


def keys_and_codes(text):
    """Return the key and code of each fault."""
    return [(fault.key, fault.code.name) for fault in load(text)]


def test_valid_settings_load():
    """Guards against checks that reject a correct file."""
    settings = load(VALID)
    assert isinstance(settings, Settings)
    assert settings.peers.seeds == ('10.3.0.2:9002',)


@pytest.mark.parametrize(
    ('before', 'after', 'key', 'code'),
    [
        ('"host-1"', '"host 1"', 'host.name', 'SETTING_INVALID'),
        ('"host-1"', '7', 'host.name', 'SETTING_INVALID'),
        (':9001', ':0', 'addresses.calls', 'SETTING_INVALID'),
        (':9001', ':99999', 'addresses.calls', 'SETTING_INVALID'),
        (':9001', ':x', 'addresses.calls', 'SETTING_INVALID'),
        ('10.3.0.1:9001', '0.0.0.0:9001', 'addresses.calls', 'SETTING_INVALID'),
        (':9002"\nop', ':9001"\nop', 'addresses.peers', 'SETTINGS_DISAGREE'),
        ('10.3.0.9:8000', '10.3.0.1:9003', 'platform.url', 'SETTINGS_DISAGREE'),
        ('http://', 'https://', 'platform.url', 'SETTING_INVALID'),
        ('["10.3.0.2:9002"]', '[7]', 'peers.seeds', 'SETTING_INVALID'),
        ('["10.3.0.2:9002"]', '"x"', 'peers.seeds', 'SETTING_INVALID'),
        ('slots = 6', 'slots = true', 'instance.slots', 'SETTING_INVALID'),
        ('slots = 6', 'slots = 0', 'instance.slots', 'SETTING_INVALID'),
        ('slots = 6', 'slot = 6', 'instance.slot', 'SETTING_UNKNOWN'),
        ('slots = 6', 'queue = inf', 'instance.queue', 'SETTING_INVALID'),
        (
            'slots = 6',
            'drain_seconds = nan',
            'instance.drain_seconds',
            'SETTING_INVALID',
        ),
        (
            'slots = 6',
            'slots = 200',
            'instance.connections',
            'SETTINGS_DISAGREE',
        ),
        ('shared key of the fleet', 'x', 'peers.shared_key', 'SETTING_INVALID'),
        (SECRETS[1], SECRETS[0], 'operators.token', 'SETTINGS_DISAGREE'),
        (SECRETS[1], f'{SECRETS[1]} ', 'operators.token', 'SETTING_INVALID'),
        ('region =', 'area =', 'host.region', 'SETTING_MISSING'),
        ('[host]', '[host', '', 'SETTINGS_NOT_TOML'),
    ],
)
def test_each_fault_is_named(before, after, key, code):
    """Guards against a daemon that starts with invalid settings."""
    assert before in VALID
    assert (key, code) in keys_and_codes(VALID.replace(before, after))


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        ('shared_key =', 'sharedkey ='),
        ('[peers]\nshared_key', 'peers'),
        (SECRETS[1], f'{SECRETS[1]} '),
        (SECRETS[0], f'{SECRETS[0]}\\n'),
        (f'"{SECRETS[1]}"', f'["{SECRETS[1]}"]'),
        ('http://10', f'http://me:{SECRETS[0]}@10'),
    ],
)
def test_faults_hold_no_secret(before, after):
    """Guards against secrets in the log of a failed start."""
    assert before in VALID
    faults = load(VALID.replace(before, after))
    assert isinstance(faults, tuple)
    displayed = ''.join(str(fault) + repr(fault) for fault in faults)
    assert not any(secret in displayed for secret in SECRETS)


def test_all_faults_are_reported_together():
    """Guards against a check that stops at the first fault."""
    broken = VALID.replace('"host-1"', '""').replace('slots = 6', 'queue = 0')
    broken = broken.replace(':9002"\nop', ':9001"\nop')
    keys = [key for key, _ in keys_and_codes(broken)]
    assert keys == ['host.name', 'instance.queue', 'addresses.peers']


def test_unreadable_files_are_faults(tmp_path):
    """Guards against a traceback instead of a reported fault."""
    binary = tmp_path / 'binary.toml'
    binary.write_bytes(b'\xff\xfe')
    for path in (tmp_path / 'absent.toml', tmp_path, binary):
        (fault,) = read_text(pathlib.Path(path))
        assert fault.code is ResultCode.SETTINGS_UNREADABLE
        assert fault.text == str(path)


def test_access_file_of_the_operator_command():
    """Guards against faults of an access file that are not reported."""
    text = 'token = "token of the operators"\ndaemons = ["10.3.0.1:9003"]'
    assert load_access(text).daemons == ('10.3.0.1:9003',)
    assert load_access(f'{text}\ncolour = 1')[0].key == 'colour'
