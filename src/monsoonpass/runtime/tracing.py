"""Traces by OpenTelemetry: a span for each hop, W3C trace context."""

import random
import re
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry import trace

_SAMPLED = re.compile(r"^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f][13579bdf]$")


class Span:
    """One hop of a call; one that is not sampled costs almost nothing.

    Attributes:
        traceparent: Context to pass on, or empty.
    """

    def __init__(self, *, span: "trace.Span | None", traceparent: str):
        self._span = span
        self.traceparent = traceparent

    def end(self, **attributes: object) -> None:
        """End the span with its last attributes."""
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
            path: The file, one JSON object a span; empty writes none.
            ratio: Share of calls without a context that are sampled.
        """
        self._ratio = ratio if path else 0.0
        self._file = open(path, "a", encoding="utf-8") if path else None  # noqa: SIM115
        self._spans = (
            Spans(instance=instance, file=self._file) if path else None
        )

    def start(self, name: str, traceparent: str) -> Span:
        """Start a span below a received context, or a new trace.

        Args:
            name: What the hop does.
            traceparent: The context received, or empty.

        Returns:
            The span; end it when the hop is done.
        """
        if self._spans is None:
            return Span(span=None, traceparent=traceparent)
        if traceparent:
            if not _SAMPLED.match(traceparent):
                return Span(span=None, traceparent=traceparent)
        elif random.random() >= self._ratio:
            return Span(span=None, traceparent="")
        return self._spans.start(name, traceparent)

    def close(self) -> None:
        """Close the trace file."""
        if self._file is not None:
            self._file.close()


class Spans:
    """Sampled spans, written to a file.

    The library is loaded only where a trace file is set: it takes a tenth of
    a node's start.
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
        """Start a span below a sampled context, or a new trace."""
        from opentelemetry import context as context_lib

        parent = context_lib.Context()
        if traceparent:
            parent = self._propagator.extract({"traceparent": traceparent})
        span = self._tracer.start_span(name, context=parent)
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, self._trace.set_span_in_context(span))
        return Span(span=span, traceparent=carrier.get("traceparent", ""))
