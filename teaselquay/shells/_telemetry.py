"""Metrics, traces and the format of logs."""

import json
import logging as std_logging
import sys
from contextlib import contextmanager
from random import Random
from typing import TYPE_CHECKING, Iterator

from absl import flags, logging
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
)

from teaselquay.decisions import Problem
from teaselquay.shells._settings import TelemetrySettings

if TYPE_CHECKING:
    from opentelemetry import trace
    from opentelemetry.sdk.trace import TracerProvider

_LATENCIES_S = (
    0.001,
    0.002,
    0.003,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)
_SAMPLED = 1
_QUIET_LOGGERS = ('transitions', 'uvicorn', 'uvicorn.error')
_TRACE_BITS = 128
_SPAN_BITS = 64


class Metrics:
    """All metrics of one process, in a registry of its own."""

    def __init__(self) -> None:
        """Register the metrics."""
        self.registry = CollectorRegistry()
        self.requests = Counter(
            'teaselquay_requests',
            'Requests by route and status.',
            ('route', 'status'),
            registry=self.registry,
        )
        self.refusals = Counter(
            'teaselquay_refusals',
            'Refused requests by kind, and whether they ran.',
            ('kind', 'run'),
            registry=self.registry,
        )
        self.duration_s = Histogram(
            'teaselquay_request_duration_seconds',
            'Time from the head of a request to the end of its answer.',
            ('route',),
            buckets=_LATENCIES_S,
            registry=self.registry,
        )
        self.attempts = Counter(
            'teaselquay_attempts',
            'Attempts at upstreams by service and outcome.',
            ('service', 'outcome'),
            registry=self.registry,
        )
        self.retries = Counter(
            'teaselquay_retries',
            'Attempts after a failed one.',
            registry=self.registry,
        )
        self.hedges = Counter(
            'teaselquay_hedges',
            'Attempts beside a slow one.',
            registry=self.registry,
        )
        self.placement_s = Histogram(
            'teaselquay_placement_seconds',
            'Time until an upstream was chosen for an attempt.',
            buckets=_LATENCIES_S,
            registry=self.registry,
        )
        self.evidence_age_s = Histogram(
            'teaselquay_evidence_age_seconds',
            'Age of what was believed of the chosen upstream.',
            buckets=_LATENCIES_S,
            registry=self.registry,
        )
        self.loop_late_s = Histogram(
            'teaselquay_timer_late_seconds',
            'How late timers fire, which is how long the loop was busy.',
            buckets=_LATENCIES_S,
            registry=self.registry,
        )

    def count_answer(self, route: str, status: int, elapsed_s: float) -> None:
        """Count a request that was answered with `status`, 0 for none."""
        self.requests.labels(route=route, status=status).inc()
        self.duration_s.labels(route=route).observe(elapsed_s)

    def count_refusal(self, refusal: Problem) -> None:
        """Count a request that was refused or failed."""
        self.refusals.labels(
            kind=refusal.kind.value,
            run=refusal.run.value,
        ).inc()

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, registry=self.registry)


class NodeMetrics(Metrics):
    """The metrics of a process that owns partitions."""

    def __init__(self) -> None:
        """Register the metrics."""
        super().__init__()
        self.freshness_s = self._gauge(
            'teaselquay_configuration_age_seconds',
            'Age of the evidence that the configuration is current.',
        )
        self.revision = self._gauge(
            'teaselquay_configuration_revision',
            'Revision of the replica.',
        )
        self.faults = self._gauge(
            'teaselquay_configuration_faults',
            'Stored values that do not parse.',
        )
        self.partitions = self._gauge(
            'teaselquay_owned_partitions',
            'Partitions that this process owns.',
        )
        self.store_calls = self._gauge(
            'teaselquay_store_calls',
            'Calls to the store since the start.',
        )
        self.peer_octets = self._gauge(
            'teaselquay_peer_bytes',
            'Bytes sent to and received from peers since the start.',
        )


class Tracer:
    """Makes a span for each hop of the sampled requests."""

    def __init__(
        self,
        vm: str,
        settings: TelemetrySettings,
        random: Random,
    ) -> None:
        """Export to the file in `settings`, or nowhere."""
        self._share = settings.trace_share
        self._random = random
        self._provider: 'TracerProvider | None' = None
        if settings.trace_file:
            self._provider = _file_provider(vm, settings.trace_file)

    def traceparent(self, received: bytes | None) -> str:
        """Return the W3C trace context that goes on to the next hop.

        A caller's decision to sample stands; otherwise a share is sampled.
        """
        if received:
            return received.decode('latin-1')
        sampled = int(self._random.random() < self._share)
        trace_id = self._random.getrandbits(_TRACE_BITS)
        span_id = self._random.getrandbits(_SPAN_BITS)
        return f'00-{trace_id:032x}-{span_id:016x}-{sampled:02x}'

    @contextmanager
    def hop(
        self,
        name: str,
        traceparent: str,
        **attributes: str,
    ) -> Iterator[str]:
        """Yield the trace context within a span called `name`."""
        if self._provider is None or not _is_sampled(traceparent):
            yield traceparent
            return
        from opentelemetry.propagate import extract

        tracer = self._provider.get_tracer('teaselquay')
        parent = extract({'traceparent': traceparent})
        with tracer.start_as_current_span(
            name,
            context=parent,
            attributes=attributes,
        ) as span:
            yield _format_context(span.get_span_context())

    def close(self) -> None:
        """Export what is left."""
        if self._provider is not None:
            self._provider.shutdown()


class _JsonFormatter(std_logging.Formatter):
    """Formats each record as one line of JSON."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the record as JSON."""
        message = record.getMessage()
        part, _, text = message.partition(': ')
        document = {
            'time': record.created,
            'level': record.levelname.lower(),
            'part': part,
            'message': text,
        }
        if record.exc_info:
            document['exception'] = self.formatException(record.exc_info)
        return json.dumps(document)


def configure_logs(vm: str, settings: TelemetrySettings) -> None:
    """Log to the standard error stream in the chosen format."""
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    for name in _QUIET_LOGGERS:
        std_logging.getLogger(name).setLevel(std_logging.WARNING)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    if settings.log_format == 'json':
        handler.setFormatter(_JsonFormatter())
    logging.use_absl_handler()


def _file_provider(vm: str, trace_file: str) -> 'TracerProvider':
    # The library takes a third of the time that a process needs to start,
    # so it is loaded only where traces are kept.
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.export import (
        BatchSpanProcessor,
        ConsoleSpanExporter,
    )

    resource = Resource.create(
        {'service.name': 'teaselquay', 'host.name': vm},
    )
    provider = TracerProvider(resource=resource)
    exporter = ConsoleSpanExporter(
        out=open(trace_file, 'a'),  # noqa: SIM115
        formatter=lambda span: span.to_json(indent=None) + '\n',
    )
    provider.add_span_processor(BatchSpanProcessor(exporter))
    return provider


def _is_sampled(traceparent: str) -> bool:
    return traceparent.endswith(f'-{_SAMPLED:02x}')


def _format_context(context: 'trace.SpanContext') -> str:
    return f'00-{context.trace_id:032x}-{context.span_id:016x}-{_SAMPLED:02x}'
