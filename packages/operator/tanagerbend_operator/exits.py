"""Exit codes of the command ``tanagerbend``."""

from typing import Final

# Done, and nothing to look at.
FINE: Final = 0
# Done, and the answer is a fault: a sheet with faults, a daemon that lags.
PROBLEM: Final = 1
# The arguments, a file or the access settings are not valid.
USAGE: Final = 2
# No daemon answered, or the token was refused.
NO_ANSWER: Final = 3
# The sheet is valid but has warnings, for example on its edition.
WARNED: Final = 4
