"""Versions, sheets, work classes, result codes and headers."""

import lazy_loader

# A module is loaded when one of its names is first used.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        'acceptance': ('Accepted', 'Rejected', 'accept'),
        'codes': ('Ran', 'ResultCode'),
        'difference': ('Difference', 'difference'),
        'faults': ('Fault',),
        'refusal': ('Refusal',),
        'version': ('Version', 'digest_of', 'short_digest'),
        'work': ('LOWEST_RANK', 'URGENT_RANK', 'Sheet', 'WorkClass'),
    },
)
