"""Prints what becomes of each load pattern, against baselines."""

import click
from tabulate import tabulate

from replays._patterns import PATTERNS
from replays._world import World

_WAYS: dict[str, dict[str, bool]] = {
    'waiting': {},
    'refuse at once': {'can_wait': False},
    'random upstream': {'can_wait': False, 'is_random': True},
}


@click.command()
@click.option('--seed', default=1, help='Seed of the random choices.')
def main(seed: int) -> None:
    """Replay every pattern and print one table."""
    rows = []
    for name, pattern in PATTERNS.items():
        for way, options in _WAYS.items():
            report = World(pattern, seed, **options).play()
            rows.append(
                {
                    'pattern': name,
                    'way': way,
                    'served': round(report.served_share, 3),
                    'credit': round(report.credit(pattern.late_worth), 3),
                    'late': report.late,
                    'refused': report.refused,
                    'failed': report.failed,
                    'wait_p99_s': round(report.wait_p99_s(), 2),
                    'repeats_10s': report.most_repeats(),
                    'remote': round(report.remote_share, 3),
                    'unevenness': round(report.unevenness(), 2),
                    'limit': round(report.worst_limit(), 2),
                }
            )
    click.echo(tabulate(rows, headers='keys'))


if __name__ == '__main__':
    main()
