"""Runs each benchmark in its own process, one after the other."""

import pathlib
import subprocess
import sys

# A daemon with injected network faults, which other benchmarks start.
NOT_BENCHMARKS = frozenset(('cut_daemon',))
MAIN_GUARD = "if __name__ == '__main__':"


def main():
    """Run each module with a main guard; return the number of failures."""
    failed = []
    for path in sorted(pathlib.Path(__file__).parent.glob('[!_]*.py')):
        if path.stem not in NOT_BENCHMARKS and MAIN_GUARD in path.read_text():
            print(f'== bench.{path.stem}', flush=True)
            command = (sys.executable, '-m', f'bench.{path.stem}')
            if subprocess.run(command, check=False).returncode:
                failed.append(path.stem)
    if failed:
        print(f'failed: {" ".join(failed)}')
    return len(failed)


if __name__ == '__main__':
    sys.exit(main())
