"""Tests of the sub-command ``experiment``."""

import pytest

LOAD = """
title = "tiny"
seconds = 1.0
domains = ["north"]
between_domains = 0.0
to_callers = 0.001
budget = { ratio = 0.2, window = 10.0, extra = 20.0 }
[[services]]
name = "shop"
instances = 1
slots = 1
[[kinds]]
name = "browse"
service = "shop"
rate = 9.0
work = 0.1
objective = 0.3
deadline = 1.0
timeout = 1.0
"""


@pytest.fixture
def load_file(tmp_path):
    """Return the path of a load file of one second."""
    path = tmp_path / 'tiny.toml'
    path.write_text(LOAD)
    return str(path)


def test_figures_of_each_policy_and_group(run, load_file, tmp_path):
    """Guards against a policy or group missing from the output."""
    plot = tmp_path / 'plot.svg'
    status, found, _ = run(
        'experiment',
        load_file,
        '--policy',
        'objective',
        'fifo',
        '--seeds',
        '2',
        '--plot',
        str(plot),
        '--json',
    )
    assert status == 0
    assert {row['policy'] for row in found['rows']} == {'objective', 'fifo'}
    groups = {row['group'] for row in found['rows']}
    assert groups >= {'all', 'kind browse', 'rank 0', 'two worst windows'}
    worth = found['rows'][0]['worth']
    assert worth['low'] <= worth['mean'] <= worth['high']
    assert '<svg' in plot.read_text()


def test_text_output_has_all_figures(run, load_file):
    """Guards against groups or policies missing from the table."""
    status, text, _ = run('experiment', load_file, '--seeds', '1')
    assert status == 0
    assert 'two worst windows' in text
    assert 'strict' in text


@pytest.mark.parametrize('arguments', [('gone.toml',), ('--policy', 'luck')])
def test_invalid_arguments_are_status_2(run, arguments):
    """Guards against ignoring a missing load file or unknown policy."""
    assert run('experiment', *arguments)[0] == 2
