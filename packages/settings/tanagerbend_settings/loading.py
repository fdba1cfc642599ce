"""Loading of settings from TOML; all faults are reported together."""

import pathlib
import tomllib
import typing
from typing import Any, Final

import attrs

from tanagerbend_model import ResultCode
from tanagerbend_settings.faults import SettingFault, invalid
from tanagerbend_settings.relations import check_relations
from tanagerbend_settings.schema import AccessSettings, Settings

Faults = tuple[SettingFault, ...]
ACCEPTED_TYPES: Final = {float: (int, float), tuple: (list, tuple)}
TYPE_NAMES: Final = {
    str: 'a string in quotes',
    int: 'a whole number',
    float: 'a number',
    tuple: 'a list',
}


def load(text: str) -> Settings | Faults:
    """Return the settings of a daemon, or all faults.

    Examples
    ========

    >>> [fault.key for fault in load('colour = 1')][:2]
    ['colour', 'host']
    """
    document = _parse(text)
    if isinstance(document, tuple):
        return document
    loaded = _load_as(Settings, document)
    relations = check_relations(document)
    match loaded:
        case Settings():
            return relations or loaded
    return loaded + relations


def load_access(text: str) -> AccessSettings | Faults:
    """Return the settings of the command ``tanagerbend``, or all faults."""
    document = _parse(text)
    if isinstance(document, tuple):
        return document
    return _load_as(AccessSettings, document)


def _parse(text: str) -> dict[str, Any] | Faults:
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return (SettingFault('', '', ResultCode.SETTINGS_NOT_TOML, str(error)),)


def _load_as(schema: type, document: dict[str, Any]) -> Any:
    faults: list[SettingFault] = []
    settings = _build_table(schema, document, '', faults)
    return tuple(faults) or settings


def read_text(path: pathlib.Path) -> str | Faults:
    """Return the text of a settings file, or the fault of the file."""
    try:
        return path.read_text(encoding='utf-8')
    except OSError as error:
        reason = error.strerror or type(error).__name__
    except UnicodeDecodeError:
        reason = 'not UTF-8 text'
    code = ResultCode.SETTINGS_UNREADABLE
    return (SettingFault('', str(path), code, reason),)


def _build_table(
    schema: type,
    table: dict[str, Any],
    prefix: str,
    faults: list[SettingFault],
) -> Any:
    fields = attrs.fields_dict(schema)
    for key in sorted(table.keys() - fields.keys()):
        # The value is omitted: it may be a secret under a misspelled key.
        code = ResultCode.SETTING_UNKNOWN
        faults.append(SettingFault(prefix + key, '', code, 'no such setting'))
    previous_faults = len(faults)
    arguments = {
        name: _read_field(field, table, prefix, faults)
        for name, field in fields.items()
        if _is_given(field, table, prefix, faults)
    }
    if len(faults) > previous_faults:
        return None
    return schema(**arguments)


def _is_given(
    field: attrs.Attribute,
    table: dict[str, Any],
    prefix: str,
    faults: list[SettingFault],
) -> bool:
    if field.name in table:
        return True
    if field.default is attrs.NOTHING:
        reason = 'required setting is missing'
        code = ResultCode.SETTING_MISSING
        faults.append(SettingFault(prefix + field.name, '', code, reason))
    return False


def _read_field(
    field: attrs.Attribute,
    table: dict[str, Any],
    prefix: str,
    faults: list[SettingFault],
) -> Any:
    setting = table[field.name]
    key = prefix + field.name
    if attrs.has(field.type):
        if isinstance(setting, dict):
            return _build_table(field.type, setting, f'{key}.', faults)
        # The value is omitted: the text of a table can contain secrets.
        faults.append(invalid(key, '', 'expected a table'))
        return None
    reason = _check_field(field, setting)
    if reason:
        faults.append(invalid(key, _displayed(field, setting), reason))
        return None
    return setting


def _displayed(field: attrs.Attribute, setting: Any) -> str:
    # Omits secrets, and URLs with an '@', which can contain a password.
    text = str(setting)
    return text if field.repr and '@' not in text else ''


def _check_field(field: attrs.Attribute, setting: Any) -> str:
    # Returns the reason why a value is invalid, or an empty string.
    expected = typing.get_origin(field.type) or field.type
    accepted = ACCEPTED_TYPES.get(expected, expected)
    if isinstance(setting, bool) or not isinstance(setting, accepted):
        return f'expected {TYPE_NAMES[expected]}'
    if field.validator is None:
        return ''
    try:
        field.validator(None, field, setting)
    except (ValueError, TypeError) as error:
        return str(error.args[0])
    return ''
