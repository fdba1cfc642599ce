"""Runs the daemon with ``python -m tanagerbend_daemon``."""

from tanagerbend_daemon.command import main

if __name__ == '__main__':
    main()
