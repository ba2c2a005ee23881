"""Prometheus metrics of one VM."""

from collections.abc import Callable

import prometheus_client

from mulberrydeck.core import gateway as gateways
from mulberrydeck.observability import fairness

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    10.0,
    60.0,
)


class Metrics:
    """All metrics of the process, in a separate registry.

    Attributes:
        registry: Registry of the metrics.
        served_ratios: Recent ratio of served requests per client account.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.served_ratios = fairness.ServedRatios()
        self.latency_children: dict[str, prometheus_client.Histogram] = {}
        self._declare_requests()
        self._declare_state()
        self._declare_internals()
        prometheus_client.ProcessCollector(registry=self.registry)

    def responded(self, service: str, account: str, seconds: float) -> None:
        """Records a request to which a target responded.

        Args:
            service: Name of the service.
            account: Client account, or empty on open routes.
            seconds: Time from its arrival to the end of its response.
        """
        child = self.latency_children.get(service)
        if child is None:
            child = self.latency.labels(service)
            self.latency_children[service] = child
        child.observe(seconds)
        if account:
            self.served_ratios.served(account)

    def refused(self, kind: str, account: str) -> None:
        """Counts a refused request.

        Args:
            kind: Kind of the problem.
            account: Client account, or empty if unknown.
        """
        self.refusals.labels(kind, account).inc()
        if account:
            self.served_ratios.refused(account)

    def relayed_bytes(self, link: str, count: int) -> None:
        """Counts bytes sent over a link between regions.

        Args:
            link: `source/destination` regions.
            count: Number of bytes.
        """
        self.link_bytes.labels(link).inc(count)

    def drained(self, seconds: float) -> None:
        """Records a finished drain.

        Args:
            seconds: Time from the start of the drain to its last request.
        """
        self.drain_time.observe(seconds)

    def peer_message(self, direction: str, size: int) -> None:
        """Counts a message between VMs.

        Args:
            direction: `in` or `out`.
            size: Encoded size in bytes.
        """
        self.peer_messages.labels(direction).inc()
        self.peer_bytes.labels(direction).inc(size)

    def peer_malformed(self) -> None:
        """Counts a peer message that was dropped as malformed."""
        self.malformed.inc()

    def spans_dropped(self, count: int) -> None:
        """Counts trace spans that were dropped.

        Args:
            count: Number of spans.
        """
        self.dropped_spans.inc(count)

    def watch_in_flight(self, server: str, count: Callable[[], int]) -> None:
        """Registers the number of requests in progress, read at each scrape.

        Args:
            server: `caller` or `relay`.
            count: Function that returns the number of requests.
        """
        self.in_flight.labels(server).set_function(count)

    def set_status(self, status: gateways.Status) -> None:
        """Sets the gauges from the status of the core."""
        self.config_version.set(status.config_version)
        self.keys_version.set(status.keys_version)
        self.platform_age.set(status.platform_age_s)
        for quota in status.quotas:
            units = self.lease_units.labels
            units(quota.resource, "own").set(quota.own_units)
            units(quota.resource, "lent").set(quota.lent_units)
            units(quota.resource, "borrowed").set(quota.borrowed_units)
            self.lease_tokens.labels(quota.resource).set(quota.tokens)
        for target in status.targets:
            self.used_slots.labels(target.name).set(target.used_slots)
            self.usable_slots.labels(target.name).set(target.usable_slots)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        self.lowest_served_ratio.set(self.served_ratios.lowest())
        return prometheus_client.generate_latest(self.registry)

    def _declare_requests(self) -> None:
        self.latency = prometheus_client.Histogram(
            "mulberrydeck_request_seconds",
            "Time from arrival to the end of the answer.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.in_flight = self._gauge(
            "requests_in_flight", "Requests in progress.", "server"
        )
        self.refusals = self._counter(
            "refusals", "Requests refused.", "kind", "account"
        )
        self.lowest_served_ratio = self._gauge(
            "worst_account_served_ratio",
            "Served part of the requests of the worst-served account.",
        )
        self.link_bytes = self._counter(
            "link_bytes", "Bytes relayed over a link.", "link"
        )

    def _declare_state(self) -> None:
        self.config_version = self._gauge(
            "config_version", "Applied configuration version."
        )
        self.keys_version = self._gauge(
            "keys_version", "Applied keyring version."
        )
        self.platform_age = self._gauge(
            "platform_age_seconds", "Time since the platform last answered."
        )
        self.lease_units = self._gauge(
            "lease_units", "Quota units of this VM.", "resource", "part"
        )
        self.lease_tokens = self._gauge(
            "lease_tokens", "Tokens that can be spent now.", "resource"
        )
        self.used_slots = self._gauge(
            "target_used_slots", "Slots in use by this VM.", "target"
        )
        self.usable_slots = self._gauge(
            "target_usable_slots", "Slots this VM may use.", "target"
        )

    def _declare_internals(self) -> None:
        self.drain_time = prometheus_client.Histogram(
            "mulberrydeck_drain_seconds",
            "Time from the start of a drain to its last request.",
            buckets=(0.1, 0.5, 1.0, 3.0, 10.0, 30.0, 120.0, 600.0),
            registry=self.registry,
        )
        self.peer_messages = self._counter(
            "peer_messages", "Messages between VMs.", "direction"
        )
        self.peer_bytes = self._counter(
            "peer_bytes", "Bytes of messages between VMs.", "direction"
        )
        self.malformed = self._counter(
            "peer_malformed", "Peer messages dropped as malformed."
        )
        self.dropped_spans = self._counter(
            "trace_spans_dropped", "Trace spans dropped when export is behind."
        )

    def _gauge(self, name: str, text: str, *labels: str) -> object:
        return prometheus_client.Gauge(
            f"mulberrydeck_{name}", text, labels, registry=self.registry
        )

    def _counter(self, name: str, text: str, *labels: str) -> object:
        return prometheus_client.Counter(
            f"mulberrydeck_{name}", text, labels, registry=self.registry
        )
