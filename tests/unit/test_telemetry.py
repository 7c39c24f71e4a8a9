"""Tracer creates a span for each hop of a sampled request only."""

import json
from random import Random

from teaselquay.shells import TelemetrySettings, Tracer

_SAMPLED = f'00-{7:032x}-{9:016x}-01'
_UNSAMPLED = f'00-{7:032x}-{9:016x}-00'


def _spans(path) -> list[dict]:
    return [json.loads(line) for line in path.read_text().splitlines()]


def test_hops_of_a_sampled_request_share_a_trace(tmp_path):
    path = tmp_path / 'spans.jsonl'
    settings = TelemetrySettings(trace_file=str(path))
    tracer = Tracer('vm-1', settings, Random(1))
    with tracer.hop('request', _SAMPLED) as outer:
        with tracer.hop('upstream', outer, service='slots') as inner:
            assert inner.startswith(f'00-{7:032x}-')
            assert inner != outer != _SAMPLED
    tracer.close()
    upstream, request = _spans(path)
    assert upstream['name'] == 'upstream'
    assert upstream['attributes'] == {'service': 'slots'}
    assert upstream['parent_id'] == request['context']['span_id']
    assert request['parent_id'] == f'0x{9:016x}'


def test_unsampled_request_makes_no_span(tmp_path):
    path = tmp_path / 'spans.jsonl'
    settings = TelemetrySettings(trace_file=str(path))
    tracer = Tracer('vm-1', settings, Random(1))
    with tracer.hop('request', _UNSAMPLED) as context:
        assert context == _UNSAMPLED
    tracer.close()
    assert _spans(path) == []
