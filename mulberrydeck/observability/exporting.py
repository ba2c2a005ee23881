"""Bounded export of spans by one greenlet, without threads."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import pathlib
from typing import Protocol

import gevent
import geventhttpclient
from geventhttpclient import url as urls
from opentelemetry import context as contexts
from opentelemetry.sdk import trace as sdk_trace

from mulberrydeck.observability import otlp
from mulberrydeck.settings import declarations

MAX_QUEUED_SPANS = 2048
BATCH_SPANS = 256
FLUSH_INTERVAL_S = 1.0
EXPORT_TIMEOUT_S = 5.0


class Destination(Protocol):
    """Destination of finished spans."""

    def write(self, spans: Sequence[sdk_trace.ReadableSpan]) -> None:
        """Writes a batch of spans.

        Raises:
            OSError: The batch was not written.
        """


class JsonLines:
    """Writes spans as JSON lines to a file."""

    def __init__(self, path: str) -> None:
        """Sets the path; the file is opened for each batch.

        Args:
            path: File to append to.
        """
        self.path = pathlib.Path(path)

    def write(self, spans: Sequence[sdk_trace.ReadableSpan]) -> None:
        """Appends a batch.

        Raises:
            OSError: The file cannot be written.
        """
        lines = "".join(f"{span.to_json(indent=None)}\n" for span in spans)
        with self.path.open("a") as file:
            file.write(lines)


class OtlpHttp:
    """Posts spans as OTLP/HTTP protobuf."""

    def __init__(self, url: str) -> None:
        """Prepares the client.

        Args:
            url: Endpoint, such as `http://127.0.0.1:4318/v1/traces`.
        """
        self.url = urls.URL(url)
        self.client = geventhttpclient.HTTPClient.from_url(
            url,
            connection_timeout=EXPORT_TIMEOUT_S,
            network_timeout=EXPORT_TIMEOUT_S,
        )

    def write(self, spans: Sequence[sdk_trace.ReadableSpan]) -> None:
        """Posts a batch.

        Raises:
            OSError: The endpoint was unreachable or rejected the batch.
        """
        response = self.client.post(
            self.url.request_uri,
            body=otlp.encode(spans),
            headers={"Content-Type": "application/x-protobuf"},
        )
        status = response.status_code
        response.read()
        if status >= 300:
            raise OSError(f"the trace endpoint responded with status {status}")


class Exporter(sdk_trace.SpanProcessor):
    """Queues finished spans and writes them in batches.

    Attributes:
        queue: Finished spans; further ones are dropped while it is full.
        dropped: Number of spans dropped so far.
        on_drop: Called with the number of spans at each drop.
        flusher: Greenlet that exports periodically, if started.
    """

    def __init__(self, destination: Destination) -> None:
        """Prepares the queue.

        Args:
            destination: Destination of the batches.
        """
        self.destination = destination
        self.queue: collections.deque[sdk_trace.ReadableSpan] = (
            collections.deque()
        )
        self.dropped = 0
        self.on_drop: Callable[[int], None] | None = None
        self.flusher: gevent.Greenlet | None = None

    def on_start(
        self,
        span: sdk_trace.Span,
        parent_context: contexts.Context | None = None,
    ) -> None:
        """Does nothing; only finished spans are exported."""

    def on_end(self, span: sdk_trace.ReadableSpan) -> None:
        """Queues a finished span, or drops it when the queue is full."""
        if len(self.queue) >= MAX_QUEUED_SPANS:
            self._drop(1)
            return
        self.queue.append(span)

    def start(self) -> None:
        """Starts exporting once per flush interval."""
        self.flusher = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops, after writing the queued spans within the export timeout."""
        if self.flusher is not None:
            self.flusher.kill()
        with gevent.Timeout(EXPORT_TIMEOUT_S, False):
            self.flush()

    def flush(self) -> None:
        """Writes all queued spans; a batch that fails is dropped."""
        while self.queue:
            count = min(BATCH_SPANS, len(self.queue))
            batch = [self.queue.popleft() for _ in range(count)]
            try:
                self.destination.write(batch)
            except Exception:  # Losing spans must not stop the program.
                self._drop(count)

    def _drop(self, count: int) -> None:
        self.dropped += count
        if self.on_drop is not None:
            self.on_drop(count)

    def _run(self) -> None:
        while True:
            gevent.sleep(FLUSH_INTERVAL_S)
            with contextlib.suppress(Exception):
                self.flush()


def make(settings: declarations.Settings) -> Exporter | None:
    """Returns the exporter that the settings select, or None.

    Args:
        settings: Settings of this VM.
    """
    if settings.otlp_url:
        return Exporter(OtlpHttp(settings.otlp_url))
    if settings.trace_path:
        return Exporter(JsonLines(settings.trace_path))
    return None
