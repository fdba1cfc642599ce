"""Settings of daemons and of the operators' command, in TOML."""

from tanagerbend_settings.faults import SettingFault
from tanagerbend_settings.loading import load, load_access, read_text
from tanagerbend_settings.schema import (
    AccessSettings,
    AddressSettings,
    HostSettings,
    InstanceSettings,
    OperatorSettings,
    OrderSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
)

__all__ = (
    'AccessSettings',
    'AddressSettings',
    'HostSettings',
    'InstanceSettings',
    'OperatorSettings',
    'OrderSettings',
    'PeerSettings',
    'PlatformSettings',
    'SettingFault',
    'Settings',
    'load',
    'load_access',
    'read_text',
)
