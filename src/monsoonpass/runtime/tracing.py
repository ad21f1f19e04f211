"""OpenTelemetry tracing: a span for each hop of a call, W3C trace context."""

import random
import re
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry import trace

_SAMPLED_TRACEPARENT = re.compile(
    r"^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f][13579bdf]$"
)


class Span:
    """The span of one hop of a call, which may be unsampled.

    An unsampled span only passes on the trace context.

    Attributes:
        traceparent: Value of the traceparent header for the next hop, or
            empty.
    """

    def __init__(self, *, span: "trace.Span | None", traceparent: str):
        self._span = span
        self.traceparent = traceparent

    def end(self, **attributes: object) -> None:
        """Set attributes and end the span; does nothing if it is unsampled."""
        if self._span is None:
            return
        for name, value in attributes.items():
            self._span.set_attribute(f"monsoonpass.{name}", value)
        self._span.end()


class Tracer:
    """Starts spans and writes the sampled ones to a file."""

    def __init__(self, *, instance: str, path: str, ratio: float):
        """Open the trace file.

        Args:
            instance: Name of the instance, in every span.
            path: File to append to, with one JSON object for each span;
                empty to disable tracing.
            ratio: Share of the calls without a trace context that is sampled,
                from 0 to 1.
        """
        self._ratio = ratio if path else 0.0
        self._file = open(path, "a", encoding="utf-8") if path else None  # noqa: SIM115
        self._sampled_tracer = (
            SampledTracer(instance=instance, file=self._file) if path else None
        )

    def start(self, name: str, traceparent: str) -> Span:
        """Start a span in the trace of a received context, or in a new trace.

        Args:
            name: Name of the span.
            traceparent: Received value of the traceparent header, or empty.

        Returns:
            The span, which the caller must end.
        """
        if self._sampled_tracer is None:
            return Span(span=None, traceparent=traceparent)
        if traceparent:
            if not _SAMPLED_TRACEPARENT.match(traceparent):
                return Span(span=None, traceparent=traceparent)
        elif random.random() >= self._ratio:
            return Span(span=None, traceparent="")
        return self._sampled_tracer.start(name, traceparent)

    def close(self) -> None:
        """Close the trace file."""
        if self._file is not None:
            self._file.close()


class SampledTracer:
    """Starts sampled spans and exports them to a file.

    The OpenTelemetry SDK is imported only when a trace file is set, because
    the import takes a tenth of a node's start time.
    """

    def __init__(self, *, instance: str, file: Any):
        from opentelemetry import trace
        from opentelemetry.sdk import resources
        from opentelemetry.sdk import trace as sdk_trace
        from opentelemetry.sdk.trace import export
        from opentelemetry.trace.propagation import tracecontext

        self._trace = trace
        self._propagator = tracecontext.TraceContextTextMapPropagator()
        resource = resources.Resource.create(
            {"service.name": "monsoonpass", "service.instance.id": instance}
        )
        provider = sdk_trace.TracerProvider(resource=resource)
        exporter = export.ConsoleSpanExporter(
            out=file,
            formatter=lambda span: span.to_json(indent=None) + "\n",
        )
        provider.add_span_processor(export.SimpleSpanProcessor(exporter))
        self._tracer = provider.get_tracer("monsoonpass")

    def start(self, name: str, traceparent: str) -> Span:
        """Start a span in the trace of a sampled context, or in a new trace."""
        from opentelemetry import context as context_lib

        parent = context_lib.Context()
        if traceparent:
            parent = self._propagator.extract({"traceparent": traceparent})
        span = self._tracer.start_span(name, context=parent)
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, self._trace.set_span_in_context(span))
        return Span(span=span, traceparent=carrier.get("traceparent", ""))
