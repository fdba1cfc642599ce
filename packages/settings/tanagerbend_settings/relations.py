"""Relations between settings, checked even if others are invalid."""

from collections.abc import Iterator
from typing import Any

from tanagerbend_settings.faults import SettingFault, disagreement
from tanagerbend_settings.schema import InstanceSettings

Document = dict[str, Any]


def check_relations(document: Document) -> tuple[SettingFault, ...]:
    """Return the faults of settings that contradict each other.

    Examples
    ========

    >>> document = {'instance': {'slots': 200}}
    >>> [fault.key for fault in check_relations(document)]
    ['instance.connections']

    Parameters
    ==========

    document : dict
        Parsed TOML; settings that are missing or have a wrong type are
        skipped.
    """
    return tuple(
        (
            *_address_faults(document),
            *_connection_faults(document),
            *_secret_faults(document),
        ),
    )


def _table(document: Document, name: str) -> Document:
    table = document.get(name)
    return table if isinstance(table, dict) else {}


def _address_faults(document: Document) -> Iterator[SettingFault]:
    texts = {
        f'addresses.{name}': text
        for name, text in _table(document, 'addresses').items()
    }
    url = _table(document, 'platform').get('url')
    if isinstance(url, str):
        texts['platform.url'] = url.removeprefix('http://').rstrip('/')
    # Setting in which each address first occurs.
    first_keys: dict[str, str] = {}
    for key, text in texts.items():
        if not isinstance(text, str):
            continue
        first_key = first_keys.setdefault(text, key)
        if first_key != key:
            displayed = '' if '@' in text else text
            yield disagreement(key, displayed, f'same address as {first_key}')


def _connection_faults(document: Document) -> Iterator[SettingFault]:
    instance = _table(document, 'instance')
    defaults = InstanceSettings()
    connections = instance.get('connections', defaults.connections)
    slots = instance.get('slots', defaults.slots)
    are_numbers = isinstance(connections, int) and isinstance(slots, int)
    if are_numbers and connections < slots:
        yield disagreement(
            'instance.connections',
            str(connections),
            f'fewer than the {slots} of instance.slots',
        )


def _secret_faults(document: Document) -> Iterator[SettingFault]:
    token = _table(document, 'operators').get('token')
    shared_key = _table(document, 'peers').get('shared_key')
    if isinstance(token, str) and token == shared_key:
        reason = 'same secret as peers.shared_key'
        yield disagreement('operators.token', '', reason)
