"""Runs the operator command with ``python -m tanagerbend_operator``."""

from tanagerbend_operator.command import main

if __name__ == '__main__':
    main()
