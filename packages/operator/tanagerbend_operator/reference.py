"""Reference pages of ``docs/`` that are generated from the code.

``python -m tanagerbend_operator.reference DOCS`` writes them; a test
compares them with the code.
"""

import inspect
import pathlib
import re
from collections.abc import Iterator
from typing import Any, Final

import attrs
import defopt

from tanagerbend_metrics import MEANINGS
from tanagerbend_model import ResultCode
from tanagerbend_model.advice import table_row
from tanagerbend_settings import AccessSettings, Settings, validators

PARAMETER: Final = re.compile(
    r'^(\w+) : [^\n]+\n((?:    [^\n]+\n?)+)',
    re.MULTILINE,
)
RULES: Final = {
    validators.ip_and_port: '`IPv4:port`',
    validators.reachable: '`IPv4:port`, not `0.0.0.0`',
    validators.addresses: 'list of `IPv4:port`',
    validators.http_url: '`http://IPv4:port`',
    validators.name: 'letters, digits, `.`, `_`, `-`; at most 63',
    validators.key: 'letters, digits, `.`, `_`, `-`; at most 128',
    validators.secret: 'printable ASCII, at least 16 characters',
}


def result_code_page() -> str:
    """Return ``docs/result-codes.md``."""
    rows = [
        '# Result codes',
        '',
        'A refusal carries the number, the name, a reason and whether the',
        'request ran. Numbers are stable across releases; the hundreds digit',
        'names the subject: 1 sheet, 2 distribution, 3 routing, 4 admission,',
        '5 orders, 6 answers, 7 control messages, 8 settings, 9 operators.',
        '`-` stands where there is no request. The header `Tanagerbend-Ran`',
        'of an answer goes before the column "request ran" here.',
        '`tanagerbend explain CODE` shows a row of this table.',
        '',
        '| code | name | meaning | request ran | what to do |',
        '|---|---|---|---|---|',
        *map(table_row, ResultCode),
        '',
    ]
    return '\n'.join(rows)


def configuration_page() -> str:
    """Return ``docs/configuration.md``."""
    rows = [
        '# Configuration',
        '',
        '`tanagerbendd SETTINGS` reads one TOML file; unknown keys are',
        'refused. `tanagerbendd --check SETTINGS` and `tanagerbend check',
        'SETTINGS` list all faults with key, value, reason and code. Values of',
        'secrets, of unknown keys and of texts with "@" are never shown.',
        '',
        'Relations that are checked as well: no two addresses of',
        '`[addresses]` and `platform.url` are equal; `instance.connections`',
        'is at least `instance.slots`; `operators.token` and',
        '`peers.shared_key` differ.',
        '',
        *_tables(),
        '## File of the command `tanagerbend`',
        '',
        'Read from `--access FILE`, else from `tanagerbend.toml` in the',
        'working directory. The environment variable `TANAGERBEND_TOKEN`',
        'goes before `token`, and `--daemon` before `daemons`.',
        '',
        *_setting_rows(AccessSettings),
        '',
    ]
    return '\n'.join(rows)


def _tables() -> Iterator[str]:
    for field in attrs.fields(Settings):
        yield f'## `[{field.name}]`'
        yield ''
        yield from _setting_rows(field.type)
        yield ''


def _setting_rows(schema: type) -> Iterator[str]:
    told = described(schema)
    yield '| key | type | default | allowed | meaning |'
    yield '|---|---|---|---|---|'
    for field in attrs.fields(schema):
        cells = (
            f'`{field.name}`',
            getattr(field.type, '__name__', 'list'),
            _default(field),
            _allowed(field.validator),
            told[field.name],
        )
        yield '| {cells} |'.format(cells=' | '.join(cells))


def described(schema: type) -> dict[str, str]:
    """Return the description of each field from the docstring.

    Examples
    ========

    >>> described(AccessSettings)['daemons']
    "`IPv4:port` of operators' addresses."
    """
    text = inspect.cleandoc(schema.__doc__ or '')
    return {
        name: ' '.join(description.split()).replace('``', '`')
        for name, description in PARAMETER.findall(text)
    }


def _default(field: attrs.Attribute) -> str:
    if field.default is attrs.NOTHING:
        return 'required'
    is_tuple = isinstance(field.default, tuple)
    return f'`{list(field.default) if is_tuple else field.default}`'


def _allowed(validator: Any) -> str:
    options = getattr(validator, 'options', None)
    if options is not None:
        return ', '.join(f'`{option}`' for option in options)
    match validator:
        case validators.Between(lowest=lowest, highest=highest):
            return f'{lowest:g} to {highest:.15g}'
    return RULES.get(validator, '-')


def journal_page() -> str:
    """Return ``docs/operators/journal.md``."""
    rows = [
        '# Decision journal',
        '',
        'Each daemon keeps 5,000 changes of state in memory, with time, event,',
        'subject and reason; when it is full, the oldest entry of the most',
        'frequent event goes. A restart discards all of them. `GET',
        '/journal?since=SECONDS` returns them, `tanagerbend report` puts those',
        'of the fleet on one page, and each becomes a log line on standard',
        'error, at most 10 a minute for each event.',
        '',
        '| event | meaning |',
        '|---|---|',
        *(f'| `{event}` | {told} |' for event, told in MEANINGS.items()),
        '',
    ]
    return '\n'.join(rows)


PAGES: Final = {
    'result-codes.md': result_code_page,
    'configuration.md': configuration_page,
    'operators/journal.md': journal_page,
}


def write(docs: pathlib.Path) -> None:
    """Write the reference pages.

    :param docs: folder ``docs`` of the repository.
    """
    for name, page in PAGES.items():
        (docs / name).write_text(page())


if __name__ == '__main__':
    defopt.run(write)
