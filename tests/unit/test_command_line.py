"""Tests of the command line: settings, exit codes, help and parsing."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from teaselquay import __version__
from teaselquay.__main__ import main
from teaselquay.operators import FailureKind, Verb, parse_command
from teaselquay.shells import Settings

VALID_SETTINGS = {
    'vm': 'vm-1',
    'zone': 'a',
    'listen': {
        'data': '127.0.0.1:8080',
        'admin': '127.0.0.1:8081',
        'peer': '127.0.0.1:8082',
    },
    'platform': {'store': ['127.0.0.1:2379'], 'vm_list': '127.0.0.1:2380'},
    'security': {
        'fleet_secret': 'sixteen bytes or more',
        'operator_token_sha256': '0' * 64,
    },
}


def _run_check(tmp_path, document) -> tuple[int, str]:
    path = tmp_path / 'vm.json'
    text = document if isinstance(document, str) else json.dumps(document)
    path.write_text(text)
    result = CliRunner().invoke(main, ['check', str(path)])
    return result.exit_code, result.output


def test_valid_settings_pass(tmp_path):
    assert _run_check(tmp_path, VALID_SETTINGS)[0] == 0


@pytest.mark.parametrize('name', ['nadir', 'al-wusta'])
def test_documented_deployment_settings_pass(name):
    root = Path(__file__).resolve().parents[2]
    path = root / 'docs' / 'settings' / f'{name}.json'
    result = CliRunner().invoke(main, ['check', str(path)])
    assert result.exit_code == 0


@pytest.mark.parametrize(
    ('change', 'path', 'expected'),
    [
        ({'colour': 'red'}, 'colour', 'Extra inputs'),
        ({'zone': ''}, 'zone', 'at least 1'),
        ({'policy': {'freshness_s': -1}}, 'policy.freshness_s', 'greater'),
        ({'policy': {'loan_ms': 5}}, 'policy.loan_ms', 'Extra inputs'),
        (
            {'platform': {'store': [], 'vm_list': '127.0.0.1:1'}},
            'platform.store',
            'at least 1',
        ),
        (
            {'platform': {'store': ['nowhere'], 'vm_list': '127.0.0.1:1'}},
            'platform.store.0',
            'IP number and a port',
        ),
        ({'security': {}}, 'security.fleet_secret', 'required'),
    ],
)
def test_settings_faults_name_path_and_expected_value(
    tmp_path,
    change,
    path,
    expected,
):
    code, output = _run_check(tmp_path, {**VALID_SETTINGS, **change})
    assert code == 2
    assert path in output
    assert expected in output


def test_invalid_json_names_the_line(tmp_path):
    code, output = _run_check(tmp_path, '{"vm": ')
    assert code == 2
    assert 'line 1' in output


def test_serve_with_invalid_settings_exits_with_2(tmp_path):
    path = tmp_path / 'vm.json'
    path.write_text('{}')
    result = CliRunner().invoke(main, ['serve', str(path)])
    assert result.exit_code == 2


def test_version_and_help():
    runner = CliRunner()
    assert __version__ in runner.invoke(main, ['--version']).output
    for command in ('serve', 'check', 'ctl'):
        help_text = runner.invoke(main, [command, '--help']).output
        assert 'Example' in help_text


@pytest.mark.parametrize(
    ('text', 'verb'),
    [
        ('show fleet', Verb.SHOW_FLEET),
        ('team a set rate=5.5 burst=10', Verb.SET_TEAM),
        ('key grant a', Verb.GRANT),
        (f'key withdraw a {"0" * 64}', Verb.WITHDRAW),
        ('route r set prefix=/a/b service=s methods=GET,POST', Verb.SET_ROUTE),
        ('service s set floor=0.5', Verb.SET_SERVICE),
        ('drain upstream up-1', Verb.DRAIN),
        ('why up-1', Verb.WHY),
    ],
)
def test_commands_parse(text, verb):
    assert parse_command(text).unwrap().verb is verb


def test_syntax_fault_names_column_and_options():
    fault = parse_command('drain upstreem up-1').failure()
    assert fault.column == 7
    assert fault.found == 'upstreem'
    assert 'upstream' in fault.expected


def _setting_paths(model, prefix='') -> list[str]:
    paths = []
    for name, info in model.model_fields.items():
        field_type = info.annotation
        if hasattr(field_type, 'model_fields'):
            paths.extend(_setting_paths(field_type, f'{prefix}{name}.'))
        else:
            paths.append(f'{prefix}{name}')
    return paths


def test_every_setting_and_exit_code_is_on_the_operators_page():
    root = Path(__file__).resolve().parents[2]
    page = (root / 'docs' / 'OPERATING.md').read_text()
    missing = [
        path for path in _setting_paths(Settings) if f'`{path}`' not in page
    ]
    assert not missing
    for kind in FailureKind:
        assert f'| {kind.exit_code} |' in page
