"""Shows that each proof fails while its mechanism is switched off.

Each mutation changes one line in a copy of the tree and runs one proof
there, which must fail.
"""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import click

from tests.support.gateway_mutations import GATEWAY_MUTATIONS
from tests.support.mutation import Mutation
from tests.support.node_mutations import NODE_MUTATIONS

_ROOT = Path(__file__).resolve().parents[2]
_TIMEOUT_S = 300
#: The tests' list of what is expected to fail.
_KNOWN_RED = 'KNOWN-RED.txt'


def survives(mutation: Mutation) -> bool:
    """Return whether the proof passes in spite of the mutation."""
    proof = mutation.proof
    if '/' not in proof:
        proof = f'promises/{proof}'
    if mutation.test:
        proof = f'{proof}::{mutation.test}'
    with tempfile.TemporaryDirectory() as folder:
        for name in ('teaselquay', 'tests', 'pyproject.toml', _KNOWN_RED):
            source = _ROOT / name
            target = Path(folder) / name
            if source.is_dir():
                shutil.copytree(source, target)
            else:
                shutil.copy(source, target)
        path = Path(folder) / 'teaselquay' / mutation.file
        text = path.read_text()
        if mutation.old not in text:
            raise click.ClickException(f'{mutation.old!r} is not there')
        path.write_text(text.replace(mutation.old, mutation.new))
        done = subprocess.run(
            [
                sys.executable,
                '-m',
                'pytest',
                '-x',
                '-q',
                f'tests/{proof}',
            ],
            cwd=folder,
            capture_output=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
        return done.returncode == 0


@click.command()
@click.option('--proof', default='', help='Only mutations of this proof.')
def main(proof: str) -> None:
    """Run every mutation and print whether its proof noticed."""
    missed = 0
    for mutation in (*NODE_MUTATIONS, *GATEWAY_MUTATIONS):
        if proof not in mutation.proof + mutation.mechanism:
            continue
        survived = survives(mutation)
        missed += survived
        verdict = 'NOT NOTICED' if survived else 'noticed'
        click.echo(
            f'{mutation.proof}: without "{mutation.mechanism}": ', nl=False
        )
        click.echo(verdict)
    sys.exit(1 if missed else 0)


if __name__ == '__main__':
    main()
