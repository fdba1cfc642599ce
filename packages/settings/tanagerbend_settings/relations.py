"""Relations between settings, checked whatever else is at fault."""

from collections.abc import Iterator
from typing import Any

from tanagerbend_settings.faults import SettingFault, disagreement
from tanagerbend_settings.schema import InstanceSettings

Document = dict[str, Any]


def check_relations(document: Document) -> tuple[SettingFault, ...]:
    """Return the faults between settings.

    Examples
    ========

    >>> document = {'instance': {'slots': 200}}
    >>> [fault.key for fault in check_relations(document)]
    ['instance.connections']

    Parameters
    ==========

    document : dict
        As read from TOML; settings that are missing or have a wrong
        type are passed over.
    """
    return tuple(
        (
            *_address_faults(document),
            *_size_faults(document),
            *_secret_faults(document),
        ),
    )


def _table(document: Document, name: str) -> Document:
    found = document.get(name)
    return found if isinstance(found, dict) else {}


def _address_faults(document: Document) -> Iterator[SettingFault]:
    texts = {
        f'addresses.{name}': text
        for name, text in _table(document, 'addresses').items()
    }
    url = _table(document, 'platform').get('url')
    if isinstance(url, str):
        texts['platform.url'] = url.removeprefix('http://').rstrip('/')
    owners: dict[str, str] = {}
    for key, text in texts.items():
        if not isinstance(text, str):
            continue
        owner = owners.setdefault(text, key)
        if owner != key:
            shown = '' if '@' in text else text
            yield disagreement(key, shown, f'same address as {owner}')


def _size_faults(document: Document) -> Iterator[SettingFault]:
    given = _table(document, 'instance')
    defaults = InstanceSettings()
    connections = given.get('connections', defaults.connections)
    slots = given.get('slots', defaults.slots)
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
