"""The command that compares policies."""

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
def load(tmp_path):
    """Path of a load of one second."""
    path = tmp_path / 'tiny.toml'
    path.write_text(LOAD)
    return str(path)


def test_figures_of_each_policy_and_group(run, load, tmp_path):
    """Guards against a policy or group that is left out."""
    plot = tmp_path / 'plot.svg'
    status, found, _ = run(
        'experiment',
        load,
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


def test_table_for_people(run, load):
    """Guards against a table without the figures."""
    status, text, _ = run('experiment', load, '--seeds', '1')
    assert status == 0
    assert 'two worst windows' in text
    assert 'strict' in text


@pytest.mark.parametrize('arguments', [('gone.toml',), ('--policy', 'luck')])
def test_what_is_not_valid_is_named(run, arguments):
    """Guards against an experiment on nothing."""
    assert run('experiment', *arguments)[0] == 2
