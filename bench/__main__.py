"""Runs all benchmarks, one after the other, each in its own process."""

import pathlib
import subprocess
import sys

# A daemon with a fault, which other benchmarks start.
NOT_BENCHMARKS = frozenset(('cut_daemon',))
ENTRY = "if __name__ == '__main__':"


def main():
    """Run each module that has an entry; return the number of failures."""
    failed = []
    for path in sorted(pathlib.Path(__file__).parent.glob('[!_]*.py')):
        if path.stem not in NOT_BENCHMARKS and ENTRY in path.read_text():
            print(f'== bench.{path.stem}', flush=True)
            command = (sys.executable, '-m', f'bench.{path.stem}')
            if subprocess.run(command, check=False).returncode:
                failed.append(path.stem)
    if failed:
        print(f'failed: {" ".join(failed)}')
    return len(failed)


if __name__ == '__main__':
    sys.exit(main())
