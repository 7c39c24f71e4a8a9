"""The path of a request through separate processes, and malformed input."""

import json
import socket
import time

import pytest

from tests.support.callers import new_key
from tests.support.fleet import Fleet, auth, request, running_fleet, wait_for

pytestmark = pytest.mark.processes


@pytest.fixture(scope='module')
def fleet():
    with running_fleet(vms=3, services={'slots': 2, 'booking': 2}) as running:
        running.do('service slots set floor=0.5')
        running.do('service booking set floor=0.5')
        running.do('route slots set prefix=/slots service=slots timeout_ms=700')
        running.do(
            'route booking set prefix=/booking service=booking'
            ' methods=POST idempotent=false',
        )
        running.wait_owned()
        yield running


@pytest.fixture(scope='module')
def key(fleet):
    return fleet.grant('nadir', 1000, 1000)


def _send_raw(
    fleet: Fleet,
    request_bytes: bytes,
    until_close: bool = True,
) -> bytes:
    with socket.create_connection(('127.0.0.1', fleet.vms[0].data)) as sock:
        sock.settimeout(5)
        sock.sendall(request_bytes)
        answer = b''
        while part := sock.recv(65536):
            answer += part
            if not until_close and b'\r\n\r\n' in answer:
                break
        return answer


def test_lookup_is_answered_through_every_vm(fleet, key):
    for vm in fleet.vms:
        reply = request(vm.data, 'GET', '/slots/7?echo=hi', auth(key))
        assert (reply.status, reply.json()['echo']) == (200, 'hi')


def test_booking_runs_once_and_repeats_are_refused(fleet, key):
    headers = auth(key, **{'Idempotency-Key': new_key()})
    statuses = []
    for vm in fleet.vms:
        reply = request(vm.data, 'POST', '/booking/1', headers, b'{}')
        statuses.append(reply.status)
        time.sleep(0.2)
    assert statuses == [200, 409, 409]
    assert reply.json()['run'] == 'ran'


@pytest.mark.parametrize(
    ('head', 'status'),
    [
        (b'nonsense\r\n\r\n', b' 400 '),
        (b'GET /slots/1 HTTP/1.1\r\nbad header\r\n\r\n', b' 400 '),
        (
            b'POST /slots HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
            b' 400 ',
        ),
        (
            b'POST /slots HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n'
            b'content-length: 4\r\n\r\nabcd',
            b' 400 ',
        ),
        (b'GET /slots HTTP/1.1\r\nconnection: close\r\n\r\n', b' 400 '),
    ],
)
def test_malformed_heads_are_refused(fleet, head, status):
    answer = _send_raw(fleet, head)
    assert status in answer.split(b'\r\n')[0]


def test_oversized_head_is_refused(fleet, key):
    head = b'GET /slots/1 HTTP/1.1\r\nhost: x\r\nx-api-key: %b\r\nx-big: %b'
    request_bytes = head % (key.encode(), b'y' * 200_000) + b'\r\n\r\n'
    try:
        answer = _send_raw(fleet, request_bytes, until_close=False)
    except ConnectionError:
        return
    assert b' 431 ' in answer.split(b'\r\n')[0]
    requests = fleet.ran()
    assert not [item for item in requests if 'x-big' in str(item['headers'])]


def test_endless_head_closes_the_connection(fleet):
    with socket.create_connection(('127.0.0.1', fleet.vms[0].data)) as sock:
        sock.settimeout(5)
        sock.sendall(b'GET /slots/1 HTTP/1.1\r\nx-big: ')
        answer = b''
        try:
            for _ in range(200):
                sock.sendall(b'y' * 10_000)
                time.sleep(0.001)
            answer = sock.recv(1000)
        except ConnectionError:
            return
        assert b' 431 ' in answer


@pytest.mark.parametrize(
    ('method', 'path', 'kind'),
    [
        ('GET', '/nowhere', 'route-unknown'),
        ('DELETE', '/slots/1', 'method-not-allowed'),
        ('POST', '/booking/1', 'idempotency-key-invalid'),
    ],
)
def test_refusals_are_problem_documents(fleet, key, method, path, kind):
    reply = request(fleet.vms[0].data, method, path, auth(key))
    assert reply.headers['content-type'] == 'application/problem+json'
    document = reply.json()
    assert document['type'] == f'urn:teaselquay:problem:{kind}'
    assert document['run'] == 'not-run'
    assert document['status'] == reply.status


@pytest.mark.parametrize('chunked', [True, False])
def test_body_larger_than_allowed_is_refused(fleet, key, chunked):
    size = 2_000_000
    head = (
        f'POST /booking/big HTTP/1.1\r\nhost: x\r\nx-api-key: {key}\r\n'
        f'idempotency-key: {new_key()}\r\n'
    )
    if chunked:
        request_bytes = head.encode() + b'transfer-encoding: chunked\r\n\r\n'
        request_bytes += b'%x\r\n' % size + b'x' * size + b'\r\n0\r\n\r\n'
    else:
        request_bytes = f'{head}content-length: {size}\r\n\r\n'.encode()
    answer = _send_raw(fleet, request_bytes, until_close=False)
    assert b' 413 ' in answer.split(b'\r\n')[0]


def test_request_is_cancelled_upstream_when_the_caller_disconnects(fleet, key):
    for name in ('slots-1', 'slots-2'):
        fleet.faults(name, hang_share=1.0)
    before = sum(
        fleet.counts(name).get('cancelled', 0)
        for name in ('slots-1', 'slots-2')
    )
    try:
        head = f'GET /slots/1 HTTP/1.1\r\nhost: x\r\nx-api-key: {key}\r\n\r\n'
        address = ('127.0.0.1', fleet.vms[0].data)
        with socket.create_connection(address) as sock:
            sock.sendall(head.encode())
            time.sleep(0.2)
        wait_for(
            lambda: (
                sum(
                    fleet.counts(name).get('cancelled', 0)
                    for name in ('slots-1', 'slots-2')
                )
                > before
            ),
            3,
            'cancellation',
        )
    finally:
        for name in ('slots-1', 'slots-2'):
            fleet.faults(name, hang_share=0.0)


def test_request_that_crashes_upstreams_is_quarantined(fleet, key):
    for name in ('slots-1', 'slots-2'):
        fleet.faults(name, crash_on='poison')
    kinds = []
    for index in range(8):
        vm = fleet.vms[index % 3]
        reply = request(vm.data, 'GET', '/slots/poison', auth(key))
        kinds.append(reply.json()['type'].rpartition(':')[2])
        time.sleep(0.4)
    crashed = sum(
        fleet.counts(name).get('crashed', 0) for name in ('slots-1', 'slots-2')
    )
    # Other requests are still served by the same upstreams.
    other = request(fleet.vms[1].data, 'GET', '/slots/1', auth(key))
    assert kinds[-1] == 'request-quarantined'
    assert crashed <= 6
    assert other.status == 200
    for name in ('slots-1', 'slots-2'):
        fleet.faults(name, crash_on='')


def test_request_that_succeeded_is_not_quarantined_for_broken_upstreams(
    fleet,
    key,
):
    names = ('slots-1', 'slots-2')
    for vm in fleet.vms:
        assert request(vm.data, 'GET', '/slots/hot', auth(key)).status == 200
    for name in names:
        fleet.faults(name, break_share=1.0, path='/slots/hot')
    for _ in range(3):
        for vm in fleet.vms:
            request(vm.data, 'GET', '/slots/hot', auth(key))
    for name in names:
        fleet.faults(name, break_share=0.0, path='/')
    time.sleep(1)
    kinds = set()
    for vm in fleet.vms:
        reply = request(vm.data, 'GET', '/slots/hot', auth(key))
        kinds.add(reply.json().get('type', '').rpartition(':')[2])
    assert 'request-quarantined' not in kinds


def test_operator_drains_and_undrains_a_vm(fleet, key):
    vm = fleet.vms[2]
    fleet.do('drain vm vm-3')
    wait_for(lambda: not vm.is_ready(), 10, 'not ready')
    wait_for(
        lambda: fleet.do('show vm vm-3', vm)['rows'][0]['partitions'] == 0,
        10,
        'no partitions',
    )
    assert request(vm.data, 'GET', '/slots/1', auth(key)).status == 200
    fleet.do('undrain vm vm-3')
    wait_for(vm.is_ready, 10, 'ready again')
    assert fleet.ctl('drain vm vm-9').status == 404


def test_trace_context_is_propagated_to_the_upstream(fleet, key):
    parent = f'00-{7:032x}-{9:016x}-01'
    headers = auth(key, traceparent=parent)
    request(fleet.vms[0].data, 'GET', '/slots/traced', headers)
    seen = [i for i in fleet.ran() if i['path'] == '/slots/traced']
    sent = dict(seen[0]['headers'])['traceparent']
    assert sent.startswith(f'00-{7:032x}-')


def test_metrics_name_their_units(fleet, key):
    request(fleet.vms[0].data, 'GET', '/slots/1', auth(key))
    text = request(fleet.vms[0].admin, 'GET', '/metrics').body.decode()
    for name in (
        'teaselquay_request_duration_seconds_bucket',
        'teaselquay_configuration_age_seconds',
        'teaselquay_peer_bytes',
    ):
        assert name in text


def test_operators_must_be_authenticated(fleet):
    reply = request(
        fleet.vms[0].admin,
        'POST',
        '/v1/command',
        {'Authorization': 'Bearer wrong'},
        json.dumps({'command': 'show fleet'}).encode(),
    )
    assert reply.status == 401


def test_command_errors_name_the_position(fleet):
    reply = fleet.ctl('team nadir sit rate=5')
    assert reply.status == 400
    assert reply.json()['column'] == 12
    assert 'set' in reply.json()['message']
    reply = fleet.ctl('team nadir set rate=-5')
    assert (reply.status, reply.json()['error']) == (422, 'invalid')
    reply = fleet.ctl('team nadir set colour=5')
    assert 'colour' in reply.json()['message']
    reply = fleet.ctl('route new set prefix=/new service=missing')
    assert reply.status == 404


def test_why_explains_an_ejected_upstream(fleet, key):
    fleet.faults('slots-1', fail_share=1.0)
    try:
        for _ in range(60):
            for vm in fleet.vms:
                request(vm.data, 'GET', '/slots/1', auth(key))
        row = wait_for(
            lambda: next(
                (
                    row
                    for vm in fleet.vms
                    for row in fleet.do('why slots-1', vm)['rows']
                    if row['use'] == 'ejected'
                ),
                None,
            ),
            5,
            'the ejection',
        )
    finally:
        fleet.faults('slots-1', fail_share=0.0)
    assert row['because']
