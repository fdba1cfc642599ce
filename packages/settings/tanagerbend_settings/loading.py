"""Loading of settings from TOML, with all faults in one run."""

import tomllib
import typing
from typing import Any

import attrs

from tanagerbend_model import ResultCode
from tanagerbend_settings.schema import Settings


@attrs.frozen
class SettingFault:
    """One fault of the settings.

    Parameters
    ==========

    key : str
        Dotted name, for example ``platform.url``.
    text : str
        The value, empty for secrets and missing keys.
    code : ResultCode
    reason : str
    """

    key: str
    text: str
    code: ResultCode
    reason: str


def load(text: str) -> Settings | tuple[SettingFault, ...]:
    """Return the settings, or all faults.

    Examples
    ========

    >>> [fault.key for fault in load('colour = 1')][:2]
    ['colour', 'host']
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return (SettingFault('', '', ResultCode.SETTINGS_NOT_TOML, str(error)),)
    faults: list[SettingFault] = []
    settings = _build(Settings, document, '', faults)
    return tuple(faults) or settings


def _build(
    schema: type,
    table: dict[str, Any],
    prefix: str,
    faults: list[SettingFault],
) -> Any:
    fields = attrs.fields_dict(schema)
    for key in sorted(table.keys() - fields.keys()):
        faults.append(
            SettingFault(
                prefix + key,
                str(table[key]),
                ResultCode.SETTING_UNKNOWN,
                'no such setting',
            ),
        )
    before = len(faults)
    arguments = {
        name: _read(field, table, prefix, faults)
        for name, field in fields.items()
        if _is_given(field, table, prefix, faults)
    }
    if len(faults) > before:
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
        faults.append(
            SettingFault(
                prefix + field.name,
                '',
                ResultCode.SETTING_MISSING,
                'required setting is missing',
            ),
        )
    return False


def _read(
    field: attrs.Attribute,
    table: dict[str, Any],
    prefix: str,
    faults: list[SettingFault],
) -> Any:
    found = table[field.name]
    key = prefix + field.name
    if attrs.has(field.type):
        if isinstance(found, dict):
            return _build(field.type, found, f'{key}.', faults)
        reason = 'expected a table'
    else:
        reason = _check(field, found)
        if not reason:
            return found
    shown = str(found) if field.repr else ''
    faults.append(
        SettingFault(key, shown, ResultCode.SETTING_INVALID, reason),
    )
    return None


def _check(field: attrs.Attribute, found: Any) -> str:
    expected = typing.get_origin(field.type) or field.type
    accepted = {float: (int, float), tuple: (list, tuple)}.get(
        expected,
        expected,
    )
    if isinstance(found, bool) or not isinstance(found, accepted):
        return f'expected {expected.__name__}'
    if field.validator is None:
        return ''
    try:
        field.validator(None, field, found)
    except (ValueError, TypeError) as error:
        return str(error.args[0])
    return ''
