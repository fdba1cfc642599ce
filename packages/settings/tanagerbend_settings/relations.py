"""Relations between settings that are valid one by one."""

from collections.abc import Iterator

import attrs

from tanagerbend_settings.faults import SettingFault, disagreement
from tanagerbend_settings.schema import Settings


def check_relations(settings: Settings) -> tuple[SettingFault, ...]:
    """Return the faults between settings."""
    return tuple(_address_faults(settings)) + tuple(_size_faults(settings))


def _address_faults(settings: Settings) -> Iterator[SettingFault]:
    given = attrs.asdict(settings.addresses)
    url = settings.platform.url
    texts = {f'addresses.{name}': text for name, text in given.items()}
    texts['platform.url'] = url.removeprefix('http://').rstrip('/')
    owners: dict[str, str] = {}
    for key, text in texts.items():
        owner = owners.setdefault(text, key)
        if owner != key:
            yield disagreement(key, text, f'same address as {owner}')


def _size_faults(settings: Settings) -> Iterator[SettingFault]:
    instance = settings.instance
    if instance.connections < instance.slots:
        yield disagreement(
            'instance.connections',
            str(instance.connections),
            f'fewer than the {instance.slots} of instance.slots',
        )
    if settings.peers.shared_key == settings.operators.token:
        yield disagreement(
            'operators.token',
            '',
            'same secret as peers.shared_key',
        )
