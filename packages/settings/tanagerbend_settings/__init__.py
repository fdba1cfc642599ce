"""Settings in TOML."""

from tanagerbend_settings.loading import SettingFault, load
from tanagerbend_settings.schema import (
    AddressSettings,
    HostSettings,
    InstanceSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
)

__all__ = (
    'AddressSettings',
    'HostSettings',
    'InstanceSettings',
    'OperatorSettings',
    'PeerSettings',
    'PlatformSettings',
    'SettingFault',
    'Settings',
    'load',
)
