"""Run both deployments and compare expected outcomes with the results."""

import argparse
import asyncio
import pathlib
import sys
import tempfile
import time
from typing import Final

from rich.console import Console
from rich.table import Table

from tanagerbend_standins.demo_plan import DemoPlan, Outcome
from tanagerbend_standins.deployments import CENTRO_MX, TAS_SOUTH
from tanagerbend_standins.fleet import Fleet
from tanagerbend_standins.scenario import Scenario

EXAMPLES_DIRECTORY: Final = pathlib.Path(__file__).parents[3] / 'examples'
TABLE_WIDTH: Final = 140
# Long enough for this process to send calls at three times the capacity.
TAS_SOUTH_WORK_SECONDS: Final = 0.25
CENTRO_MX_WORK_SECONDS: Final = 0.45
PLANS: Final = (
    DemoPlan(
        TAS_SOUTH,
        work_seconds=TAS_SOUTH_WORK_SECONDS,
        urgent_work='colour-profiles',
        least_urgent_work='swatches',
        flooding_work='colour-profiles',
        order_work='print-orders',
    ),
    DemoPlan(
        CENTRO_MX,
        work_seconds=CENTRO_MX_WORK_SECONDS,
        urgent_work='truck-bookings',
        least_urgent_work='prices',
        flooding_work='certificates',
        order_work='glue-orders',
    ),
)


async def run_deployment(
    plan: DemoPlan,
    directory: pathlib.Path,
    trace_directory: pathlib.Path | None,
) -> list[Outcome]:
    """Run the demo of one deployment and stop all its processes."""
    deployment = plan.deployment
    fleet_directory = directory / deployment.name
    fleet_directory.mkdir()
    fleet = Fleet(
        fleet_directory,
        deployment.places,
        deployment.name,
        {'instance': {'connections': deployment.connection_limit}},
        has_log_files=True,
    )
    sheet = (EXAMPLES_DIRECTORY / f'{deployment.name}.csv').read_bytes()
    scenario = Scenario(plan, fleet, sheet, trace_directory)
    try:
        return await scenario.run()
    finally:
        print_step_times(scenario)
        await scenario.close()


def print_step_times(scenario: Scenario) -> None:
    """Print the duration of each step to standard error."""
    step_times = ', '.join(
        f'{name} {seconds:.1f}'
        for name, seconds in scenario.step_seconds.items()
    )
    name = scenario.plan.deployment.name
    sys.stderr.write(f'{name}: seconds by step: {step_times}\n')


def print_table(outcomes: list[Outcome], seconds: float) -> None:
    """Print expected and observed outcomes as a table."""
    table = Table(title=f'Demo, {seconds:.0f} s')
    for name in ('deployment', 'page', 'stated', 'happened', 'met'):
        table.add_column(name, overflow='fold')
    for outcome in outcomes:
        table.add_row(
            outcome.deployment_name,
            outcome.requirement,
            outcome.expected,
            outcome.observed,
            'yes' if outcome.is_met else 'NO',
        )
    Console(width=TABLE_WIDTH).print(table)


async def run_demo(trace_directory: pathlib.Path | None) -> list[Outcome]:
    """Run the demo of both deployments, one after the other."""
    outcomes: list[Outcome] = []
    with tempfile.TemporaryDirectory() as directory:
        for plan in PLANS:
            outcomes.extend(
                await run_deployment(
                    plan, pathlib.Path(directory), trace_directory
                )
            )
    return outcomes


def main() -> int:
    """Run the demo; return 1 if an outcome is not met, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--record',
        type=pathlib.Path,
        help='directory for the recorded traces of this run',
    )
    trace_directory = parser.parse_args().record
    started_at = time.monotonic()
    outcomes = asyncio.run(run_demo(trace_directory))
    print_table(outcomes, time.monotonic() - started_at)
    return 0 if all(outcome.is_met for outcome in outcomes) else 1


if __name__ == '__main__':
    sys.exit(main())
