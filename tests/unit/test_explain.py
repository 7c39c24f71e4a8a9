"""Explanation of a failed request and of the state of a VM from logs."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from teaselquay.__main__ import main

REQUEST = '2923e156a8e0badb'


def _line(time: float, event: str, vm: str, **fields: object) -> str:
    document = {'time': time, 'event': event, 'vm': vm, 'incarnation': 1}
    return json.dumps({**document, **fields}, separators=(',', ':'))


#: Lines of each VM's log, with a request whose upstream broke the connection.
LOGS = {
    'vm-1.log': [
        _line(100, 'process.started', 'vm-1'),
        _line(101, 'configuration.applied', 'vm-1', version=7),
        _line(150, 'configuration.applied', 'vm-1', version=8),
        _line(199, 'peer.lost', 'vm-1', peer='vm-3'),
        _line(
            200.2,
            'attempt.failed',
            'vm-1',
            request=REQUEST,
            upstream='up-9',
            outcome='broken',
            placed_by='vm-2',
        ),
        _line(
            200.21,
            'request.failed',
            'vm-1',
            request=REQUEST,
            team='acme',
            status=502,
            after_s=0.21,
        ),
        _line(205, 'request.late', 'vm-1', request='other', suppressed=4),
        _line(240, 'configuration.applied', 'vm-1', version=9),
    ],
    'vm-2.log': [
        _line(199, 'upstream.suspected', 'vm-9', upstream='up-9', after=0.9),
        'Traceback (most recent call last):',
        _line(120, 'configuration.applied', 'vm-2', version=7),
        _line(150, 'upstream.suspected', 'vm-2', upstream='up-9', after=0.9),
        _line(195, 'upstream.suspected', 'vm-2', upstream='up-9', after=0.6),
        _line(199, 'upstream.suspected', 'vm-2', upstream='up-8', after=0.6),
        _line(200.2, 'upstream.suspected', 'vm-2', upstream='up-9', after=0.9),
        'sim 3.2 vm-2| '
        + _line(200.3, 'upstream.removed', 'vm-2', upstream='up-9'),
        '{"time":200.25,"event":"upstream.removed","vm":"vm-2","upstr',
    ],
}


@pytest.fixture(name='files')
def _files(tmp_path: Path) -> list[str]:
    paths = []
    for name, lines in LOGS.items():
        path = tmp_path / name
        path.write_text('\n'.join(lines) + '\n')
        paths.append(str(path))
    return paths


def _run_explain(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, ['explain', *arguments])
    return result.exit_code, result.output


def _explain(*arguments: str) -> dict:
    code, output = _run_explain(*arguments, '--json')
    assert code == 0
    return json.loads(output)


def test_request_is_explained_with_the_state_that_affected_it(files: list[str]):
    explanation = _explain(*files, '--request', REQUEST)
    shown = [(line['time'], line['event']) for line in explanation['lines']]
    assert shown == [
        (120, 'configuration.applied'),
        (150, 'configuration.applied'),
        (195, 'upstream.suspected'),
        (199, 'peer.lost'),
        (200.2, 'attempt.failed'),
        (200.2, 'upstream.suspected'),
        (200.21, 'request.failed'),
        (200.3, 'upstream.removed'),
    ]
    assert explanation['began'] == pytest.approx(200)


def test_missing_and_unreadable_lines_are_reported(files: list[str]):
    missing = _explain(*files, '--request', REQUEST)['missing']
    assert any(text.startswith('4 lines were left out') for text in missing)
    assert any('1 lines could not be read' in text for text in missing)
    missing = _explain(files[0], '--request', REQUEST)['missing']
    assert any('in force on vm-2' in text for text in missing)


def test_unknown_request_exits_with_code_1(files: list[str]):
    code, output = _run_explain(*files, '--request', 'nobody')
    assert code == 1
    assert 'no line names the request' in output


def test_table_shows_seconds_since_the_start_of_the_request(files: list[str]):
    code, output = _run_explain(*files, '--request', REQUEST)
    assert code == 0
    row = next(row for row in output.splitlines() if 'request.failed' in row)
    assert row.startswith('+0.210')
    assert 'status=502' in row


def test_rate_refusal_is_shown_with_the_coordinators_quota_line(tmp_path: Path):
    path = tmp_path / 'all.log'
    lines = [
        _line(9.9, 'quota.exceeded', 'vm-5', team='acme', heard_share=0.1),
        _line(9.9, 'quota.exceeded', 'vm-5', team='other', heard_share=0.1),
        _line(10, 'request.refused', 'vm-1', request='r-1', team='acme'),
        _line(30, 'quota.exceeded', 'vm-5', team='acme', heard_share=1),
    ]
    path.write_text('\n'.join(lines))
    explanation = _explain(str(path), '--request', 'r-1')
    assert [line['time'] for line in explanation['lines']] == [9.9, 10]


def test_vm_is_explained_with_the_last_line_about_each_subject(
    files: list[str],
):
    explanation = _explain(*files, '--vm', 'vm-1', '--at', '199.5')
    shown = [(line['time'], line['event']) for line in explanation['lines']]
    assert shown == [
        (100, 'process.started'),
        (150, 'configuration.applied'),
        (199, 'peer.lost'),
        (200.2, 'attempt.failed'),
        (200.21, 'request.failed'),
    ]


def test_vm_without_a_time_is_a_usage_error(files: list[str]):
    code, output = _run_explain(*files, '--vm', 'vm-1')
    assert code == 2
    assert 'give --request ID' in output
