"""Exit codes of the command ``tanagerbend``."""

from typing import Final

# Completed, and no fault was found.
OK: Final = 0
# Completed, and found a fault, such as an invalid sheet or a lagging daemon.
FAULT_FOUND: Final = 1
# The arguments, a file or the access settings are not valid.
USAGE_ERROR: Final = 2
# No daemon answered, or the token was refused.
NO_ANSWER: Final = 3
# The sheet is valid but has warnings, for example about its edition.
WARNINGS: Final = 4
