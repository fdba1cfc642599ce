"""Checks that ``docs/`` matches the code and its examples work."""

import ast
import datetime
import pathlib
import re
import shlex

import pytest

from tanagerbend_metrics import EVENT_MEANINGS, Event
from tanagerbend_metrics.names import LABEL_NAMES
from tanagerbend_model import Ran, ResultCode
from tanagerbend_model.advice import ADVICE
from tanagerbend_operator import command, reference

ROOT = pathlib.Path(__file__).parents[4]
DOCS = ROOT / 'docs'
REGENERATE_HINT = 'run `python -m tanagerbend_operator.reference docs`'
CONSOLE_BLOCK = re.compile(r'```console\n(.*?)```', re.DOTALL)


@pytest.mark.parametrize('name', reference.PAGES)
def test_reference_pages_are_up_to_date(name):
    """Guards against a code, setting or event missing from its page."""
    assert (DOCS / name).read_text() == reference.PAGES[name](), REGENERATE_HINT


def test_every_code_and_event_is_explained():
    """Guards against a code or event without a description."""
    assert set(ADVICE) == set(ResultCode)
    assert set(EVENT_MEANINGS) == set(Event)


def calls_of(name):
    """Yield each call of a method with this name, and its file name."""
    for path in (ROOT / 'packages').rglob('*.py'):
        if 'tests' not in path.parts:
            for node in ast.walk(ast.parse(path.read_text())):
                if getattr(getattr(node, 'func', None), 'attr', '') == name:
                    yield node, path.name


def test_every_label_of_a_counter_has_a_name():
    """Guards against metrics with the generic label name "label"."""
    labelled = {
        node.args[0].value
        for node, _ in calls_of('count')
        if len(node.args) > 1 and isinstance(node.args[0], ast.Constant)
    }
    assert 'retries' in labelled
    assert labelled <= set(LABEL_NAMES)


def refusal_calls():
    """Yield code, literal ``ran`` and file of each ``Refusal`` call."""
    for path in (ROOT / 'packages').rglob('*.py'):
        if 'tests' in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if getattr(getattr(node, 'func', None), 'id', '') != 'Refusal':
                continue
            code = getattr(node.args[0], 'attr', '') if node.args else ''
            given = [*node.args[2:], *(word.value for word in node.keywords)]
            rans = [getattr(part, 'attr', '') for part in given] or ['NO']
            if code in ResultCode.__members__ and rans[0] in Ran.__members__:
                yield ResultCode[code], Ran[rans[0]].value, path.name


def test_ran_column_agrees_with_the_code():
    """Guards against a table that says "not run" where this is unknown."""
    checked = list(refusal_calls())
    assert (ResultCode.QUEUE_FULL, 'no', 'fifo.py') in checked
    contradictions = [
        (code.name, ran, name)
        for code, ran, name in checked
        if ADVICE[code].ran != '-' and ran not in ADVICE[code].ran.split(' or ')
    ]
    assert contradictions == []


def journal_events():
    """Return the event literals passed to ``record_event``, with file names."""
    return {
        part.value: name
        for node, name in calls_of('record_event')
        if name not in {'journal.py', 'logs.py'} and node.args
        for part in ast.walk(node.args[0])
        if isinstance(part, ast.Constant)
    }


def test_every_journal_event_is_documented():
    """Guards against journal events missing from the documentation."""
    events = journal_events()
    assert 'version_adopted' in events
    unknown = {
        event: path for event, path in events.items() if event not in set(Event)
    }
    assert unknown == {}


def console_examples():
    """Yield the command and the output of each console block."""
    for path in sorted(DOCS.rglob('*.md')):
        for block in CONSOLE_BLOCK.findall(path.read_text()):
            command_line, _, output = block.partition('\n')
            yield pytest.param(
                command_line, output, id=f'{path.stem}: {command_line}'
            )


@pytest.mark.parametrize(('command_line', 'output'), list(console_examples()))
def test_documented_commands_give_documented_output(
    command_line, output, monkeypatch, capsys
):
    """Guards against documented examples that no longer work."""
    prompt, *arguments = shlex.split(command_line)
    assert prompt == '$'
    monkeypatch.chdir(DOCS / 'operators' / 'examples')
    monkeypatch.setattr(
        'tanagerbend_operator.check.today',
        lambda: datetime.date(2026, 12, 4),
    )
    monkeypatch.setattr('sys.argv', arguments)
    with pytest.raises(SystemExit):
        command.main()
    assert capsys.readouterr().out == output


def test_every_ignored_linter_rule_is_documented():
    """Guards against linter rules that are disabled without a reason."""
    setup = (ROOT / 'setup.cfg').read_text()
    options = ''.join(
        line
        for line in setup.splitlines(keepends=True)
        if not line.lstrip().startswith('#')
    )
    codes = set(re.findall(r'\b[A-Z]{1,3}[0-9]{3}\b', options))
    assert 'WPS365' in codes
    documented = set(
        re.findall(r'\b[A-Z]{1,3}[0-9]{3}\b', (DOCS / 'style.md').read_text())
    )
    assert codes == documented


def test_links_of_the_guide_are_valid():
    """Guards against broken links and pages missing from the index."""
    guide = DOCS / 'operators'
    for path in (*guide.glob('*.md'), DOCS / 'style.md'):
        for target in re.findall(r'\]\(([^)#:]+)\)', path.read_text()):
            assert (path.parent / target).exists(), f'{path.name}: {target}'
    index = (guide / 'README.md').read_text()
    assert all(f'(F{number}.md)' in index for number in range(1, 11))
    assert all(
        f'`{name}' in (guide / 'binaries.md').read_text()
        for name in command.COMMANDS
        if name != 'check'
    )


def logged_events():
    """Return the event literals of log lines written on a platform."""
    proxy = ROOT / 'packages/proxy/tanagerbend_proxy'
    found = set()
    for module in ('entry.py', 'request_lines.py'):
        text = (proxy / module).read_text()
        found |= set(re.findall("'(request_[a-z_]+)'", text))
    for name in ('write', 'notify'):
        for node, path in calls_of(name):
            if path in {'logs.py', 'output.py'} or not node.args:
                continue
            found |= {
                part.value
                for part in ast.walk(node.args[0])
                if isinstance(part, ast.Constant)
                and re.fullmatch('[a-z]+(_[a-z]+)+', str(part.value))
            }
    return found


def test_every_log_event_is_documented():
    """Guards against undocumented log events and obsolete entries."""
    rows = re.findall(
        '^\\| `([a-z_]+)` \\|', (DOCS / 'logs.md').read_text(), re.M
    )
    assert 'request_refused' in rows
    events = logged_events()
    assert {row for row in rows if row.count('_')} == events | {
        'settings_rejected',
        'settings_reloaded',
    }
