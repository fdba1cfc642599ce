"""Generates the reference pages of ``docs/`` from the code.

``python -m tanagerbend_operator.reference DOCS`` writes the pages; a test
checks that they are up to date.
"""

import inspect
import pathlib
import re
from collections.abc import Iterator
from typing import Any, Final

import attrs
import defopt

from tanagerbend_metrics import EVENT_MEANINGS
from tanagerbend_model import ResultCode
from tanagerbend_model.advice import table_row
from tanagerbend_settings import AccessSettings, Settings, validators

PARAMETER_PATTERN: Final = re.compile(
    r'^(\w+) : [^\n]+\n((?:    [^\n]+\n?)+)',
    re.MULTILINE,
)
VALIDATOR_RULES: Final = {
    validators.ip_and_port: '`IPv4:port`',
    validators.reachable_address: '`IPv4:port`, not `0.0.0.0`',
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
        'gives the category: 1 sheet, 2 distribution, 3 routing, 4 admission,',
        '5 orders, 6 answers, 7 control messages, 8 settings, 9 operators.',
        '`-` means that the code concerns no request. The header',
        '`Tanagerbend-Ran` of an answer takes precedence over the column',
        '"request ran". `tanagerbend explain CODE` shows a row of this table.',
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
        'rejected. `tanagerbendd --check SETTINGS` and `tanagerbend check',
        'SETTINGS` list all faults with key, value, reason and code. Secrets,',
        'values of unknown keys and values with "@" are never shown.',
        '',
        'Constraints between settings are checked as well: the addresses of',
        '`[addresses]` and `platform.url` are all different;',
        '`instance.connections` is at least `instance.slots`;',
        '`operators.token` and `peers.shared_key` differ.',
        '',
        *_setting_tables(),
        '## Limits without a setting',
        '',
        'What clients may send and hold is bounded by the memory and the',
        'descriptors of the host and by the configuration in force:',
        '[clients outside the limits](design/clients-outside-limits.md).',
        '',
        '## File of the command `tanagerbend`',
        '',
        'Read from `--access FILE`, else from `tanagerbend.toml` in the',
        'working directory. The environment variable `TANAGERBEND_TOKEN`',
        'takes precedence over `token`, and `--daemon` over `daemons`.',
        '',
        *_setting_rows(AccessSettings),
        '',
    ]
    return '\n'.join(rows)


def _setting_tables() -> Iterator[str]:
    for field in attrs.fields(Settings):
        yield f'## `[{field.name}]`'
        yield ''
        yield from _setting_rows(field.type)
        yield ''


def _setting_rows(schema: type) -> Iterator[str]:
    descriptions = field_descriptions(schema)
    yield '| key | type | default | allowed | meaning |'
    yield '|---|---|---|---|---|'
    for field in attrs.fields(schema):
        cells = (
            f'`{field.name}`',
            getattr(field.type, '__name__', 'list'),
            _format_default(field),
            _format_allowed(field.validator),
            descriptions[field.name],
        )
        yield '| {cells} |'.format(cells=' | '.join(cells))


def field_descriptions(schema: type) -> dict[str, str]:
    """Return the descriptions of the fields from the docstring of a class.

    Examples
    ========

    >>> field_descriptions(AccessSettings)['daemons']
    "`IPv4:port` of operators' addresses."
    """
    text = inspect.cleandoc(schema.__doc__ or '')
    return {
        name: ' '.join(description.split()).replace('``', '`')
        for name, description in PARAMETER_PATTERN.findall(text)
    }


def _format_default(field: attrs.Attribute) -> str:
    if field.default is attrs.NOTHING:
        return 'required'
    is_tuple = isinstance(field.default, tuple)
    return f'`{list(field.default) if is_tuple else field.default}`'


def _format_allowed(validator: Any) -> str:
    options = getattr(validator, 'options', None)
    if options is not None:
        return ', '.join(f'`{option}`' for option in options)
    match validator:
        case validators.Between(lowest=lowest, highest=highest):
            return f'{lowest:g} to {highest:.15g}'
    return VALIDATOR_RULES.get(validator, '-')


def journal_page() -> str:
    """Return ``docs/operators/journal.md``."""
    rows = [
        '# Decision journal',
        '',
        'Each daemon keeps up to 5,000 state changes in memory, with time,',
        'event, subject and reason. When the journal is full, the oldest entry',
        'of the most frequent event is dropped. A restart discards them all.',
        '`GET /journal?since=SECONDS` returns them, `tanagerbend report`',
        'summarises those of the fleet, and each is also written as a log line',
        'to standard error, at most 10 per minute for each event.',
        '',
        '| event | meaning |',
        '|---|---|',
        *(
            f'| `{event}` | {descriptions} |'
            for event, descriptions in EVENT_MEANINGS.items()
        ),
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
