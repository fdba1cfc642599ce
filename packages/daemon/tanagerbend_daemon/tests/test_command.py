"""The command ``tanagerbendd``: check of the settings, exit codes."""

import socket
import subprocess
import sys

import pytest

from tanagerbend_daemon.command import run
from tanagerbend_daemon.tests.test_operators import SETTINGS, SHARED_KEY


@pytest.mark.parametrize(
    ('text', 'status', 'message'),
    [
        (SETTINGS, 0, ''),
        (SETTINGS.replace('region', 'area'), 2, 'host.region: required'),
        ('[host', 2, 'code 804 SETTINGS_NOT_TOML'),
        ('\x00', 2, 'code 804 SETTINGS_NOT_TOML'),
        (None, 2, 'code 806 SETTINGS_UNREADABLE'),
    ],
)
def test_check_reports_faults(tmp_path, capsys, text, status, message):
    """Guards against invalid settings that raise or start the daemon."""
    path = tmp_path / 'host-1.toml'
    if text is not None:
        path.write_text(text)
    assert run(path, check=True) == status
    output = capsys.readouterr()
    assert message in output.err
    assert output.out == ''
    assert SHARED_KEY not in output.err


def test_address_in_use_is_reported(tmp_path, used_address):
    """Guards against a start that hangs or ends in a traceback."""
    path = tmp_path / 'host-1.toml'
    path.write_text(SETTINGS.replace('127.0.0.1:9003', used_address))
    ended = subprocess.run(
        [sys.executable, '-m', 'tanagerbend_daemon', path],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert ended.returncode == 1
    assert 'cannot start' in ended.stderr
    assert 'Traceback' not in ended.stderr
    assert ended.stdout == ''


@pytest.fixture
def used_address():
    """Return an address that another process listens on."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        yield '127.0.0.1:{}'.format(listener.getsockname()[1])
