"""Prometheus metrics, OpenTelemetry traces and log formats."""

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

_LATENCY_BUCKETS_S = (
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
_SAMPLED_FLAG = 1
_QUIET_LOGGERS = ('transitions', 'uvicorn', 'uvicorn.error')
_TRACE_ID_BITS = 128
_SPAN_ID_BITS = 64
#: Priorities with series of their own; less urgent ones count as 'other'.
_MAX_LABELLED_PRIORITIES = 8


class Metrics:
    """Metrics of one process, in a registry of their own."""

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
            buckets=_LATENCY_BUCKETS_S,
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
        self.placements = Counter(
            'teaselquay_placements',
            'Attempts that were placed, and requests refused without one.',
            ('priority', 'result'),
            registry=self.registry,
        )
        self.waits_s = Histogram(
            'teaselquay_wait_seconds',
            'Time that requests waited before placement was asked again.',
            ('reason',),
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.placement_s = Histogram(
            'teaselquay_placement_seconds',
            'Time until an upstream was chosen for an attempt.',
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.evidence_age_s = Histogram(
            'teaselquay_evidence_age_seconds',
            'Age of what was believed of the chosen upstream.',
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.loop_late_s = Histogram(
            'teaselquay_timer_late_seconds',
            'How late timers fire, which is how long the loop was busy.',
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def count_answer(self, route: str, status: int, elapsed_s: float) -> None:
        """Count a finished request; `status` is 0 if it had no answer."""
        self.requests.labels(route=route, status=status).inc()
        self.duration_s.labels(route=route).observe(elapsed_s)

    def count_placement(self, priority: int, result: str) -> None:
        """Count a placement, or a refusal for the reason `result`."""
        is_labelled = priority < _MAX_LABELLED_PRIORITIES
        label = str(priority) if is_labelled else 'other'
        self.placements.labels(priority=label, result=result).inc()

    def count_refusal(self, refusal: Problem) -> None:
        """Count a request that was refused or failed."""
        self.refusals.labels(
            kind=refusal.kind.value,
            run=refusal.run.value,
        ).inc()

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, registry=self.registry)


class NodeMetrics(Metrics):
    """Metrics of a process that owns partitions."""

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
    """Creates a span for each hop of a sampled request."""

    def __init__(
        self,
        vm: str,
        settings: TelemetrySettings,
        random: Random,
    ) -> None:
        """Export spans to the trace file in `settings`, if there is one."""
        self._sample_rate = settings.trace_share
        self._random = random
        self._provider: 'TracerProvider | None' = None
        if settings.trace_file:
            self._provider = _create_file_provider(vm, settings.trace_file)

    def traceparent(self, received: bytes | None) -> str:
        """Return the W3C trace context for the next hop.

        A trace context that was received is passed on with its sampling
        decision; new requests are sampled at the configured rate.
        """
        if received:
            return received.decode('latin-1')
        sampled = int(self._random.random() < self._sample_rate)
        trace_id = self._random.getrandbits(_TRACE_ID_BITS)
        span_id = self._random.getrandbits(_SPAN_ID_BITS)
        return f'00-{trace_id:032x}-{span_id:016x}-{sampled:02x}'

    @contextmanager
    def hop(
        self,
        name: str,
        traceparent: str,
        **attributes: str,
    ) -> Iterator[str]:
        """Yield the trace context of a new span called `name`.

        An unsampled request gets no span, and its context is yielded as is.
        """
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
        """Export the remaining spans and shut down."""
        if self._provider is not None:
            self._provider.shutdown()


class _JsonFormatter(std_logging.Formatter):
    """Formats each log record as one line of JSON."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Return `record` as a JSON object."""
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
    """Configure logging to standard error in the format of `settings`."""
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    for name in _QUIET_LOGGERS:
        std_logging.getLogger(name).setLevel(std_logging.WARNING)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    if settings.log_format == 'json':
        handler.setFormatter(_JsonFormatter())
    logging.use_absl_handler()


def _create_file_provider(vm: str, trace_file: str) -> 'TracerProvider':
    # Importing the SDK takes a third of the start time of a process, so it
    # is imported only if traces are exported.
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
    return traceparent.endswith(f'-{_SAMPLED_FLAG:02x}')


def _format_context(context: 'trace.SpanContext') -> str:
    return (
        f'00-{context.trace_id:032x}-{context.span_id:016x}-{_SAMPLED_FLAG:02x}'
    )
