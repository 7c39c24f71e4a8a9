"""Command `explain`."""

import json
import sys
from pathlib import Path
from typing import Any, Callable

import click
from tabulate import tabulate

from teaselquay.explain._lines import LogFiles
from teaselquay.explain._story import Explanation, RequestExplainer, VmExplainer

_EXIT_NO_LINES = 1
#: All lines within this time before or after `--at` are shown.
_DEFAULT_AROUND_S = 1.0
#: Passes over the files to explain a request: one finds its own lines, one the
#: lines that are related to them.
_REQUEST_PASSES = 2


def _vm_options(command: Callable[..., None]) -> Callable[..., None]:
    """Return `command` with the options that select a VM and a time."""
    options = (
        click.option('--vm', help='The VM whose state to show, with --at.'),
        click.option(
            '--at',
            type=float,
            help='Seconds since the epoch, as logged.',
        ),
        click.option(
            '--around',
            default=_DEFAULT_AROUND_S,
            show_default=True,
            help='Show all lines within this many seconds of --at.',
        ),
    )
    for option in reversed(options):
        command = option(command)
    return command


@click.command(
    epilog='Example: teaselquay explain vm-*.log --request 6422e9d08dc9c94f',
)
@click.argument(
    'files',
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
@click.option('--request', help='The id of the request to explain.')
@_vm_options
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def explain(
    files: tuple[Path, ...],
    request: str | None,
    vm: str | None,
    at: float | None,
    around: float,
    as_json: bool,
) -> None:
    """Explain a request, or the state of a VM, from the logs in FILES.

    Exits with 1 if no line was found.
    """
    if request:
        explanation = _explain_request(files, request)
    elif vm and at is not None:
        explanation = _explain_vm(files, VmExplainer(vm, at, around))
    else:
        raise click.UsageError('give --request ID, or --vm NAME with --at T')
    click.echo(_to_json(explanation) if as_json else _to_text(explanation))
    if not explanation.lines:
        sys.exit(_EXIT_NO_LINES)


def _explain_request(files: tuple[Path, ...], request_id: str) -> Explanation:
    logs = LogFiles(files)
    with _progress(logs, _REQUEST_PASSES) as bar:
        logs.on_progress = bar.update
        explainer = RequestExplainer.from_lines(
            request_id, logs.lines_containing((request_id,))
        )
        unreadable = logs.unreadable
        if explainer.own_lines:
            for line in logs.lines_containing(explainer.search_terms()):
                explainer.add_context(line)
            unreadable += logs.unreadable
    return explainer.finish(unreadable)


def _explain_vm(files: tuple[Path, ...], explainer: VmExplainer) -> Explanation:
    logs = LogFiles(files)
    with _progress(logs, 1) as bar:
        logs.on_progress = bar.update
        for line in logs.lines_containing(explainer.search_terms()):
            explainer.add(line)
    return explainer.finish(logs.unreadable)


def _progress(logs: LogFiles, passes: int) -> Any:
    """Return a progress bar, hidden if stderr is not a terminal."""
    return click.progressbar(
        length=logs.total_bytes * passes,
        label='reading',
        file=sys.stderr,
        hidden=not sys.stderr.isatty(),
    )


def _to_text(explanation: Explanation) -> str:
    rows = [
        (
            f'{line.time - explanation.began:+.3f}',
            line.vm,
            line.event,
            ' '.join(f'{name}={line.fields[name]}' for name in line.fields),
        )
        for line in explanation.lines
    ]
    headers = ('seconds', 'vm', 'event', 'what')
    parts = [
        f'{explanation.title}, seconds from {explanation.began:.3f}',
        tabulate(rows, headers, tablefmt='plain', disable_numparse=True),
        *(f'missing: {text}' for text in explanation.missing),
    ]
    return '\n'.join(parts)


def _to_json(explanation: Explanation) -> str:
    document = {
        'title': explanation.title,
        'began': explanation.began,
        'lines': [
            {
                'time': line.time,
                'vm': line.vm,
                'incarnation': line.incarnation,
                'event': line.event,
                **line.fields,
            }
            for line in explanation.lines
        ],
        'missing': explanation.missing,
    }
    return json.dumps(document, indent=2)
