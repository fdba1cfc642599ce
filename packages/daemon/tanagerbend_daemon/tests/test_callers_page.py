"""Examples of the page for callers, run against real daemons."""

import asyncio
import os
import pathlib
import re
import sys

from tanagerbend_standins import Fleet, Placement

SHEET = (
    b'service,work,rank,method,path,order\n'
    b'booking,trucks,1,POST,/trucks,yes\nbooking,stock,5,GET,/stock,no\n'
)
PLACES = [
    Placement(f'host-{number}', 'booking', 'leon', 'centro-mx')
    for number in (1, 2)
]
PAGE = pathlib.Path(__file__).parents[4] / 'docs' / 'callers.md'


async def test_examples_for_callers_run(tmp_path):
    """Guards against examples that fail with an ordinary HTTP client."""
    blocks = re.findall('```python\n(.*?)```', PAGE.read_text(), re.DOTALL)
    fleet = Fleet(tmp_path, PLACES, 'centro-mx')
    await fleet.start(SHEET)
    addresses = ' '.join(node.call_address for node in fleet.nodes)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        '\n'.join(blocks),
        env={**os.environ, 'DAEMONS': addresses},
        stdout=asyncio.subprocess.PIPE,
    )
    printed, _ = await process.communicate()
    lines = printed.decode().splitlines()
    runs = sum(
        (node.backend.run_counts_by_body for node in fleet.nodes),
        start=type(fleet.nodes[0].backend.run_counts_by_body)(),
    )
    await fleet.close()
    assert [line.split(' ran')[0][:12] for line in lines] == [
        "asked 200 b'",
        'ordered 200 ',
        'before unkno',
        'same answer ',
    ]
    assert lines[2:] == ['before unknown 508', 'same answer True']
    assert (runs[b'truck 7'], runs[b'truck 8']) == (1, 1)
