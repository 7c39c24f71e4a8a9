"""Runs seeds of the soak, and reports what broke a promise."""

import asyncio
import json
import sys
import time
from dataclasses import asdict
from pathlib import Path
from random import SystemRandom
from typing import Any

import click

from soak._checks import answered, violations
from soak._plan import make_plan
from soak._world import World

#: Where logs and reports go, under the current folder.
_FOLDER = Path('soak-runs')
_SEED_BITS = 32
_S_PER_MINUTE = 60


@click.command()
@click.option('--seed', 'seeds', multiple=True, type=int, help='Seeds to run.')
@click.option('--seconds', default=20.0, show_default=True)
@click.option('--vms', default=5, show_default=True, help='Processes.')
@click.option('--minutes', default=0.0, help='Run fresh seeds for so long.')
def main(
    seeds: tuple[int, ...],
    seconds: float,
    vms: int,
    minutes: float,
) -> None:
    """Run the soak with each seed; exit with 1 if a promise was broken.

    Logs of the processes and a report of each seed are kept in soak-runs.
    """
    until = time.monotonic() + minutes * _S_PER_MINUTE
    waiting = list(seeds)
    failed: list[int] = []
    while waiting or time.monotonic() < until:
        fresh = SystemRandom().getrandbits(_SEED_BITS)
        seed = waiting.pop(0) if waiting else fresh
        report = run_seed(seed, seconds, vms, _FOLDER / str(seed))
        if report['violations']:
            failed.append(seed)
        click.echo(_to_text(report))
    click.echo(f'seeds that broke a promise: {failed or "none"}')
    sys.exit(1 if failed else 0)


def run_seed(
    seed: int,
    seconds: float,
    vms: int,
    folder: Path,
) -> dict[str, Any]:
    """Run one seed, keep its logs in `folder`, and return its report."""
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.iterdir():
        old.unlink()
    world = World(seed, seconds, folder)
    record = asyncio.run(world.run(vms))
    plan = make_plan(seed, seconds, vms, len(world.upstreams))
    report = {
        'seed': seed,
        'seconds': seconds,
        'vms': vms,
        'violations': [asdict(found) for found in violations(record)],
        'answers': answered(record.calls),
        'runs': len(record.runs),
        'most_mb': round(record.most_mb, 1),
        'most_files': record.most_files,
        'plan': [_step_text(step) for step in plan],
    }
    path = folder / 'report.json'
    path.write_text(json.dumps(report, indent=2))
    return report


def _step_text(step: Any) -> str:
    where = f'{step.link.value} {step.target}'
    return f'{step.at_s} {step.fault.value} {where} for {step.for_s}'


def _to_text(report: dict[str, Any]) -> str:
    lines = [
        f'seed {report["seed"]}: {len(report["plan"])} faults,'
        f' {report["answers"]} answers, {report["runs"]} runs,'
        f' {report["most_mb"]} MB',
    ]
    for found in report['violations']:
        lines.append(f'  {found["promise"]}: {found["what"]}')
    return '\n'.join(lines)


if __name__ == '__main__':
    main()
