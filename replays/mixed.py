"""Prints what each policy does to the kinds of requests that share a service.

Served share and credit by kind, their waits, and the worst-served team.
"""

import click
from tabulate import tabulate

from replays._patterns import MIXED_PATTERNS, Pattern
from replays._policies import POLICIES, Policy
from replays._world import Report, World


def _row(
    name: str, pattern: Pattern, policy: Policy, reports: list[Report]
) -> dict[str, object]:
    count = len(reports)
    row: dict[str, object] = {'pattern': name, 'policy': policy.name}
    late_worth = pattern.late_worth
    worth = sum(item.worth(pattern.kinds, late_worth) for item in reports)
    row['worth'] = round(worth / count, 3)
    row['served'] = round(sum(item.served_share for item in reports) / count, 3)
    for kind in sorted(pattern.kinds, key=lambda kind: kind.priority):
        tallies = [report.kinds[kind.name] for report in reports]
        served = sum(tally.served_share for tally in tallies) / count
        credit = sum(tally.credit(late_worth) for tally in tallies) / count
        wait_s = max(tally.wait_p99_s() for tally in tallies)
        row[f'kind {len(row) - 3}'] = (
            f'{kind.name} {served:.3f} {credit:.3f} {wait_s:.1f}s'
        )
    row['worst_team'] = round(
        min(item.worst_team_share() for item in reports), 3
    )
    row['repeats_10s'] = max(item.most_repeats() for item in reports)
    return row


@click.command()
@click.option('--seeds', default=2, help='Number of seeds, from 1.')
@click.option('--only', default='', help='Patterns whose name has this text.')
def main(seeds: int, only: str) -> None:
    """Replay the patterns of several kinds under each policy."""
    rows = []
    for name, pattern in MIXED_PATTERNS.items():
        if only not in name:
            continue
        for policy in POLICIES:
            reports = [
                World(pattern, seed, policy=policy).play()
                for seed in range(1, seeds + 1)
            ]
            rows.append(_row(name, pattern, policy, reports))
    click.echo(tabulate(rows, headers='keys'))


if __name__ == '__main__':
    main()
