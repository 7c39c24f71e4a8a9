"""Prints the measures of both deployments and checks their bounds."""

import json
import sys
from pathlib import Path

import click
from tabulate import tabulate

from scenarios._deployments import DEPLOYMENTS, Deployment
from scenarios._measures import (
    detection,
    fairness,
    false_ejections,
    static_share_refusals,
    wrongful_refusals,
)

_BOUNDS = json.loads(Path(__file__).with_name('bounds.json').read_text())
_Row = tuple[str, str, str, float, float | None]


def _rows(deployment: Deployment, seeds: int) -> list[_Row]:
    name = deployment.name
    ours = detection(deployment, 'teaselquay', seeds)
    base = detection(deployment, 'consecutive', 1)
    ejected, vm_hours = false_ejections(deployment, 1)
    fair = fairness(deployment, 1)
    calm = wrongful_refusals(deployment, 1, kills=False)
    kills = wrongful_refusals(deployment, 1, kills=True)
    static = static_share_refusals(deployment, 1)
    worst = _BOUNDS['detection_worst_s']
    return [
        (name, 'detection p50, s', 'teaselquay', ours.quantile(0.5), None),
        (name, 'detection p99, s', 'teaselquay', ours.quantile(0.99), None),
        (name, 'detection worst, s', 'teaselquay', max(ours.times_s), worst),
        (name, 'detection p50, s', 'consecutive', base.quantile(0.5), None),
        (name, 'detection worst, s', 'consecutive', max(base.times_s), None),
        (
            name,
            'false ejections per VM-hour',
            'teaselquay',
            ejected / vm_hours,
            _BOUNDS['false_ejections'],
        ),
        (
            name,
            'wrongful refusals per 10,000, calm',
            'teaselquay',
            calm,
            _BOUNDS['wrongful_calm_per_10000'],
        ),
        (
            name,
            'wrongful refusals per 10,000, kills',
            'teaselquay',
            kills,
            _BOUNDS['wrongful_kills_per_10000'],
        ),
        (
            name,
            'wrongful refusals per 10,000, calm',
            'static 1/N',
            static,
            None,
        ),
        (
            name,
            'worst team: success missed',
            'teaselquay',
            1 - fair.worst_success,
            round(1 - _BOUNDS['worst_team_success'], 6),
        ),
        (
            name,
            'worst team: p99 against calm',
            'teaselquay',
            fair.worst_p99_ratio,
            _BOUNDS['worst_team_p99_ratio'],
        ),
    ]


@click.command()
@click.option('--seeds', default=5, help='Runs of each fault and service.')
def main(seeds: int) -> None:
    """Run all scenarios; exit with 1 if one is beyond its bound."""
    failed = 0
    table = []
    for deployment in DEPLOYMENTS:
        for name, measure, who, value, bound in _rows(deployment, seeds):
            held = bound is None or value <= bound
            failed += not held
            verdict = '' if bound is None else 'held' if held else 'BROKEN'
            limit = '' if bound is None else bound
            table.append((name, measure, who, f'{value:.3g}', limit, verdict))
    headers = ('deployment', 'measure', 'who', 'value', 'bound', 'verdict')
    click.echo(tabulate(table, headers=headers))
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
