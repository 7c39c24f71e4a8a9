"""Measures all slopes; writes JSON, a table and one plot each."""

import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
import matplotlib as mpl
import numpy as np
from matplotlib import pyplot
from tabulate import tabulate

from slopes._fleet import measure_fleet
from slopes._process import measure_process
from slopes._node import (
    in_process,
    measure_evidence,
    measure_lending,
)

mpl.use('svg')
# The same input gives the same file.
mpl.rcParams['svg.hashsalt'] = 'teaselquay'

_NODES = (16, 48, 96, 192)
_DESIGN_NODES = 630
_TEAMS = (1000, 10_000, 20_000, 29_000)
_ROUTES = 4400
_RATES = (27, 54, 108)
_ACTIVE_TEAMS = (8, 32, 108)
_SERVERS = (2000, 5000, 9200)
_KEYS = (2000, 5000, 10_000)


def _fit(xs: list[float], ys: list[float]) -> dict[str, float]:
    """Return a line through the points, with its standard error."""
    matrix = np.vstack([xs, np.ones(len(xs))]).T
    (slope, base), residuals, _, _ = np.linalg.lstsq(matrix, ys, rcond=None)
    freedom = max(1, len(xs) - 2)
    error = float(np.sqrt(residuals[0] / freedom)) if len(residuals) else 0.0
    return {'slope': float(slope), 'base': float(base), 'error': error}


def _plot(
    folder: Path,
    name: str,
    rows: list[dict[str, Any]],
    x_name: str,
    y_name: str,
) -> dict[str, float]:
    xs = [row[x_name] for row in rows]
    ys = [row[y_name] for row in rows]
    fit = _fit(xs, ys)
    figure, axes = pyplot.subplots(figsize=(5, 3.2))
    axes.plot(xs, ys, 'o', label='measured')
    axes.plot(xs, [fit['slope'] * x + fit['base'] for x in xs], label='fit')
    axes.set_xlabel(x_name)
    axes.set_ylabel(y_name)
    axes.set_title(name)
    axes.legend()
    figure.tight_layout()
    figure.savefig(folder / f'{name}.svg', metadata={'Date': None})
    pyplot.close(figure)
    return fit


def _measure(design: bool) -> dict[str, list[dict[str, Any]]]:
    sizes = (*_NODES, _DESIGN_NODES) if design else _NODES
    return {
        'fleet': [asdict(measure_fleet(nodes)) for nodes in sizes],
        'memory': [
            {'teams': teams, 'mb': in_process(f'grow({teams}, {_ROUTES})')}
            for teams in _TEAMS
        ],
        'evidence': [asdict(measure_evidence(rate)) for rate in _RATES],
        'lending': [asdict(measure_lending(t)) for t in _ACTIVE_TEAMS],
        'process': [asdict(measure_process())],
        'health': [
            {'servers': servers, 'mb': in_process(f'grow_health({servers})')}
            for servers in _SERVERS
        ],
        'ledger': [
            {'keys': keys, 'mb': in_process(f'grow_ledger({keys})')}
            for keys in _KEYS
        ],
    }


_PLOTS = (
    ('fleet-bytes', 'fleet', 'nodes', 'octets_s'),
    ('fleet-messages', 'fleet', 'nodes', 'messages_s'),
    ('fleet-cpu', 'fleet', 'nodes', 'core_percent'),
    ('fleet-store-calls', 'fleet', 'nodes', 'store_calls_s'),
    ('fleet-spread', 'fleet', 'nodes', 'spread_worst_s'),
    ('memory', 'memory', 'teams', 'mb'),
    ('evidence', 'evidence', 'rate', 'octets_s'),
    ('lending', 'lending', 'teams', 'octets_s'),
    ('ledger', 'ledger', 'keys', 'mb'),
    ('health', 'health', 'servers', 'mb'),
)


@click.command()
@click.option('--out', default='docs/slopes', type=click.Path(path_type=Path))
@click.option('--design/--no-design', default=False, help='Add 630 nodes.')
def main(out: Path, design: bool) -> None:
    """Measure, and write the results to OUT."""
    out.mkdir(parents=True, exist_ok=True)
    results = _measure(design)
    fits = {}
    for name, group, x_name, y_name in _PLOTS:
        fits[name] = _plot(out, name, results[group], x_name, y_name)
    document = {'results': results, 'fits': fits}
    text = json.dumps(document, indent=2) + '\n'
    (out / 'slopes.json').write_text(text)
    for group, rows in results.items():
        click.echo(f'\n{group}')
        click.echo(tabulate(rows, headers='keys', floatfmt='.3g'))
    rows = [{'fit': name, **fit} for name, fit in fits.items()]
    click.echo('\n' + tabulate(rows, headers='keys', floatfmt='.3g'))


if __name__ == '__main__':
    main()
