"""Emulated callers: arrivals, exchanges with VMs and targets, one retry."""

from collections.abc import Callable
import itertools
from typing import TYPE_CHECKING

import attrs

from mulberrydeck.emulator import results
from mulberrydeck.emulator import scenario as scenarios
from mulberrydeck.emulator import targets as emulated_targets
from mulberrydeck.platform import headers
from mulberrydeck.steering import effects
from mulberrydeck.steering import events

if TYPE_CHECKING:
    from mulberrydeck.emulator import emulation as emulations

# A refused caller retries once, after at most this fraction of its remaining
# time.
MAX_RETRIES = 1
MAX_RETRY_DELAY_FRACTION = 1 / 3
NOT_RUN_STATUSES = (429, 503)
# The load changes within seconds, so that a rate holds no longer than this.
MAX_RATE_AGE_S = 0.5

_request_numbers = itertools.count(1)


@attrs.frozen
class CallerRequest:
    """A request of a caller.

    Attributes:
        kind: Kind of the request.
        region: Region of the caller.
        account: Client account of the caller.
        object_key: Key of the requested object.
        sent_s: Time at which it was first sent, in seconds.
        work_factor: Its processing time as a multiple of that of others of its
            kind.
        wait: Records whether it waits at a target.
        attempts: Number of times that it was sent.
    """

    kind: scenarios.RequestClass
    region: str
    account: str
    object_key: str
    sent_s: float
    work_factor: float = 1.0
    wait: results.Wait = attrs.field(factory=results.Wait)
    attempts: int = 1

    def completed(
        self, elapsed_s: float, status: int
    ) -> results.CompletedRequest:
        """Returns the result of the request.

        Args:
            elapsed_s: Time until the final response, in seconds.
            status: HTTP status of that response; 0 if there is none.
        """
        succeeded = status == 200
        on_time = succeeded and elapsed_s <= self.kind.goal_s
        value = self.kind.value if on_time else self.kind.late_value
        return results.CompletedRequest(
            kind=self.kind.name,
            region=self.region,
            account=self.account,
            arrived_s=self.sent_s,
            latency_s=elapsed_s,
            status=status,
            on_time=on_time,
            value=value if succeeded else 0.0,
            max_value=self.kind.value,
            waited=self.wait.waited,
            waited_beside_free=self.wait.beside_free_slot,
        )


def start_arrivals(emulation: "emulations.Emulation") -> None:
    """Starts a stream of arrivals for each kind, region and account."""
    regions = emulation.scenario.regions
    accounts = emulation.scenario.single_accounts
    total = sum(account.weight for account in accounts)
    for kind in emulation.scenario.classes:
        for region in regions:
            for account in accounts:
                rate = kind.rate_per_s / len(regions) * account.weight / total
                ArrivalStream(
                    emulation, kind, region, account.name, rate
                ).schedule()


@attrs.define(eq=False)
class ArrivalStream:
    """Poisson arrivals of one kind, region and account.

    Attributes:
        emulation: The emulation to which they belong.
        kind: Kind of the requests.
        region: Region of the callers.
        account: Client account of the callers.
        rate_per_s: Mean rate, in requests per second.
    """

    emulation: "emulations.Emulation"
    kind: scenarios.RequestClass
    region: str
    account: str
    rate_per_s: float

    def schedule(self) -> None:
        """Schedules the next arrival."""
        factor = self.emulation.load_factor(
            self.region, self.account, self.kind.name
        )
        interval_s = self.emulation.arrival_rng.expovariate(
            max(1e-6, self.rate_per_s * factor)
        )
        if interval_s > MAX_RATE_AGE_S:
            # Draws again at the rate of that time, as arrivals have no memory.
            self.emulation.clock.after(MAX_RATE_AGE_S, self._continue)
        else:
            self.emulation.clock.after(interval_s, self._arrive)

    def _continue(self) -> None:
        if self.emulation.clock.now_s <= self.emulation.arrivals_end_s:
            self.schedule()

    def _arrive(self) -> None:
        now_s = self.emulation.clock.now_s
        if now_s > self.emulation.arrivals_end_s:
            return
        key = (
            f"{self.region}-"
            f"{self.emulation.arrival_rng.randrange(self.kind.objects)}"
        )
        request = CallerRequest(
            self.kind,
            self.region,
            self.account,
            key,
            now_s,
            self.emulation.draw_tail_factor(),
        )
        self.emulation.results.started += 1
        Exchange(self.emulation, request).start()
        self.schedule()


class Exchange:
    """A request in flight through a VM and targets."""

    def __init__(
        self, emulation: "emulations.Emulation", request: CallerRequest
    ) -> None:
        self.emulation = emulation
        self.request = request
        self.request_id = f"r{next(_request_numbers)}"
        self.job: emulated_targets.Job | None = None
        self.finished = False
        regional_vms = [
            vm for vm in emulation.vms.values() if vm.region == request.region
        ]
        self.vm = emulation.rng.choice(
            regional_vms or list(emulation.vms.values())
        )
        emulation.exchanges[self.request_id] = self

    def start(self) -> None:
        """Sends the request to a VM."""
        self.emulation.clock.after(
            self.emulation.scenario.caller_s, self._arrive
        )

    def _arrive(self) -> None:
        now_s = self.emulation.clock.now_s
        remaining_s = self.request.sent_s + self.request.kind.deadline_s - now_s
        event = events.RequestArrived(
            now_s,
            self.request_id,
            self.emulation.host,
            f"/{self.request.kind.name}/1",
            self.request.account,
            self.request.object_key,
            max(0.001, remaining_s),
        )
        self.emulation.submit(self.vm, event)

    def apply(self, decision: effects.Decision) -> None:
        """Carries out a decision of the VM."""
        match decision:
            case effects.Forward():
                self._forward(decision)
            case effects.Deliver():
                self._handle_final_response(200, None)
            case effects.Refuse():
                self._handle_final_response(
                    decision.status, decision.retry_after_s
                )

    def _forward(self, decision: effects.Forward) -> None:
        target = self.emulation.targets[decision.target]
        region = self.emulation.scenario.region_by_zone[target.entry.zone]
        delay_s = self.emulation.one_way_delay_s(self.vm.region, region)
        self.emulation.results.attempts += 1
        self.emulation.results.remote_attempts += region != self.vm.region

        def on_done() -> None:
            load = target.reported_load()
            self._report_later(delay_s, events.Outcome.ANSWERED, 200, load, job)

        def arrive() -> None:
            if not target.try_accept(job):
                self.emulation.results.target_rejections += 1
                load = target.reported_load()
                self._report_later(
                    delay_s, events.Outcome.REJECTED, 503, load, job
                )

        job = emulated_targets.Job(
            self.request.kind,
            self.request.object_key,
            on_done,
            self.request.wait,
            self.request.work_factor,
        )
        self.job = job
        self.emulation.clock.after(delay_s, arrive)
        remaining_s = decision.deadline_s - self.emulation.clock.now_s
        self.emulation.clock.after(remaining_s, self._expiry_callback(job))

    def _expiry_callback(self, job: emulated_targets.Job) -> Callable[[], None]:
        def expire() -> None:
            if self.job is job and not job.cancelled:
                job.cancelled = True
                self._report(events.Outcome.EXPIRED, 0, None)

        return expire

    def _report_later(
        self,
        delay_s: float,
        outcome: events.Outcome,
        status: int,
        load: headers.TargetLoad,
        job: emulated_targets.Job,
    ) -> None:
        def report() -> None:
            if self.job is job and not job.cancelled:
                self._report(outcome, status, load)

        self.emulation.clock.after(delay_s, report)

    def _report(
        self,
        outcome: events.Outcome,
        status: int,
        load: headers.TargetLoad | None,
    ) -> None:
        self.job = None
        now_s = self.emulation.clock.now_s
        event = events.AttemptEnded(
            now_s,
            self.request_id,
            outcome,
            status,
            reported_load=load.running + load.waiting if load else None,
            reported_speed=load.speed if load else None,
        )
        self.emulation.submit(self.vm, event)

    def _handle_final_response(
        self, status: int, retry_after_s: float | None
    ) -> None:
        self.finished = True
        now_s = self.emulation.clock.now_s
        closed = events.RequestClosed(now_s, self.request_id)
        self.emulation.clock.after(0.0, lambda: self._close(closed))
        elapsed_s = (
            now_s + self.emulation.scenario.caller_s - self.request.sent_s
        )
        remaining_s = self.request.kind.deadline_s - elapsed_s
        may_retry = status in NOT_RUN_STATUSES and remaining_s > 0
        if may_retry and self.request.attempts <= MAX_RETRIES:
            pause_s = min(
                retry_after_s or 0.0, remaining_s * MAX_RETRY_DELAY_FRACTION
            )
            request = attrs.evolve(
                self.request, attempts=self.request.attempts + 1
            )
            self.emulation.clock.after(
                pause_s + self.emulation.scenario.caller_s,
                lambda: Exchange(self.emulation, request).start(),
            )
            return
        self.emulation.results.completed.append(
            self.request.completed(elapsed_s, status)
        )

    def _close(self, closed: events.RequestClosed) -> None:
        self.emulation.submit(self.vm, closed)
        del self.emulation.exchanges[self.request_id]
