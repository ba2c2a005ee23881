"""Dependencies of the HTTP servers on other parts of the program."""

import attrs

from mulberrydeck.core import gateway as gateways
from mulberrydeck.forward import pool as pools
from mulberrydeck.observability import metrics as metric_sets
from mulberrydeck.observability import traces
from mulberrydeck.settings import declarations


@attrs.frozen
class Dependencies:
    """What the HTTP servers need to handle requests.

    Attributes:
        settings: Settings of this VM.
        gateway: Interface of the core.
        pool: Connections to targets and other VMs.
        metrics: Metrics of this VM.
        tracer: Starts trace spans.
    """

    settings: declarations.Settings
    gateway: gateways.Gateway
    pool: pools.ConnectionPool
    metrics: metric_sets.Metrics
    tracer: traces.Tracer

    def allow_bytes(self, link: str, count: int) -> int:
        """Blocks until a link may carry some bytes, and counts them.

        Args:
            link: `source/destination` regions.
            count: Number of bytes to send.

        Returns:
            Number of bytes that may be sent now, from 1 to `count`.

        Raises:
            errors.LinkBusyError: The link had no quota for too long.
        """
        allowed = self.gateway.allow_bytes(link, count)
        self.metrics.relayed_bytes(link, allowed)
        return allowed


def build(
    settings: declarations.Settings,
    gateway: gateways.Gateway,
    pool: pools.ConnectionPool | None = None,
    metrics: metric_sets.Metrics | None = None,
    tracer: traces.Tracer | None = None,
) -> Dependencies:
    """Returns the dependencies, and creates those that are not given.

    Args:
        settings: Settings of this VM.
        gateway: Interface of the core.
        pool: Connections to targets and other VMs.
        metrics: Metrics of this VM.
        tracer: Starts trace spans.
    """
    if pool is None:
        pool = pools.ConnectionPool(
            settings.source_ip,
            settings.connect_timeout_s,
            settings.idle_timeout_s,
            gateway.now_s,
        )
    metrics = metrics or metric_sets.Metrics()
    tracer = tracer or traces.Tracer(settings)
    if tracer.exporter is not None:
        tracer.exporter.on_drop = metrics.spans_dropped
    return Dependencies(settings, gateway, pool, metrics, tracer)
