"""Metrics of the scheduler of a VM, read when they are requested."""

from collections.abc import Iterator

from prometheus_client import core as prometheus

from mulberrydeck.scheduling import state as states


class SchedulerCollector:
    """Reports the slots of each service that a VM schedules.

    Attributes:
        scheduler: State of the scheduler.
    """

    def __init__(self, scheduler: states.Scheduler) -> None:
        self.scheduler = scheduler

    def collect(self) -> Iterator[prometheus.Metric]:
        """Yields the metrics."""
        slots = _gauge("slots", "Slots of the targets that may be granted.")
        granted = _gauge("granted", "Slots that VMs use.")
        waiting = _gauge("waiting", "Requests that wait for a slot.")
        refused = prometheus.CounterMetricFamily(
            "mulberrydeck_scheduler_refused",
            "Requests for a slot that were refused.",
            labels=["service"],
        )
        for service, schedule in self.scheduler.services.items():
            slots.add_metric([service], schedule.slots)
            in_use = sum(len(t.grants) for t in schedule.targets.values())
            granted.add_metric([service], in_use)
            waiting.add_metric([service], schedule.waits)
            refused.add_metric([service], schedule.refused)
        yield from (slots, granted, waiting, refused)


def _gauge(name: str, text: str) -> prometheus.GaugeMetricFamily:
    return prometheus.GaugeMetricFamily(
        f"mulberrydeck_scheduler_{name}", text, labels=["service"]
    )
