"""Emulated callers: arrivals, exchanges with VMs and targets, one retry."""

from collections.abc import Callable
import itertools
from typing import TYPE_CHECKING

import attrs

from mulberrydeck.emulator import results
from mulberrydeck.emulator import scenario as scenarios
from mulberrydeck.emulator import targets as emulated
from mulberrydeck.steering import effects
from mulberrydeck.steering import events

if TYPE_CHECKING:
    from mulberrydeck.emulator import day as days

# Callers come back once, after at most this part of the time they have left.
RETRIES = 1
RETRY_PART = 1 / 3
NOT_RUN_STATUSES = (429, 503)

_numbers = itertools.count(1)


@attrs.frozen
class Wish:
    """What one caller wants.

    Attributes:
        kind: Kind of the request.
        region: Region of the caller.
        account: Its client account.
        object_key: Object that it concerns.
        sent_s: When it was first sent, in seconds.
        tries: Times that it was sent.
    """

    kind: scenarios.RequestClass
    region: str
    account: str
    object_key: str
    sent_s: float
    tries: int = 1


def start(day: "days.Day") -> None:
    """Starts a stream of arrivals for each kind, region and account."""
    regions = sorted(set(day.scenario.region_by_zone.values()))
    total = sum(account.weight for account in day.scenario.accounts)
    for kind in day.scenario.classes:
        for region in regions:
            for account in day.scenario.accounts:
                rate = kind.rate_per_s / len(regions) * account.weight / total
                Stream(day, kind, region, account.name, rate).schedule()


@attrs.define(eq=False)
class Stream:
    """Poisson arrivals of one kind, region and account.

    Attributes:
        day: The day that is played.
        kind: Kind of the requests.
        region: Region of the callers.
        account: Their client account.
        rate_per_s: Mean rate.
    """

    day: "days.Day"
    kind: scenarios.RequestClass
    region: str
    account: str
    rate_per_s: float

    def schedule(self) -> None:
        """Schedules the next arrival."""
        factor = self.day.load_factor(self.region, self.account)
        pause_s = self.day.arrivals.expovariate(
            max(1e-6, self.rate_per_s * factor)
        )
        self.day.clock.after(pause_s, self._arrive)

    def _arrive(self) -> None:
        now_s = self.day.clock.now_s
        if now_s > self.day.ends_s:
            return
        key = f"{self.region}-{self.day.arrivals.randrange(self.kind.objects)}"
        wish = Wish(self.kind, self.region, self.account, key, now_s)
        Exchange(self.day, wish).start()
        self.schedule()


class Exchange:
    """A request on its way through a VM and targets."""

    def __init__(self, day: "days.Day", wish: Wish) -> None:
        self.day = day
        self.wish = wish
        self.request_id = f"r{next(_numbers)}"
        self.job: emulated.Job | None = None
        near = [vm for vm in day.vms.values() if vm.region == wish.region]
        self.vm = day.rng.choice(near or list(day.vms.values()))
        day.exchanges[self.request_id] = self

    def start(self) -> None:
        """Sends the request to a VM."""
        self.day.clock.after(self.day.scenario.caller_s, self._arrive)

    def _arrive(self) -> None:
        now_s = self.day.clock.now_s
        left_s = self.wish.sent_s + self.wish.kind.deadline_s - now_s
        event = events.RequestArrived(
            now_s,
            self.request_id,
            self.day.host,
            f"/{self.wish.kind.name}/1",
            self.wish.account,
            self.wish.object_key,
            max(0.001, left_s),
        )
        self.day.submit(self.vm, event)

    def decided(self, decision: effects.Decision) -> None:
        """Carries out what the VM decided."""
        match decision:
            case effects.Forward():
                self._forward(decision)
            case effects.Deliver():
                self._answer(200, None)
            case effects.Refuse():
                self._answer(decision.status, decision.retry_after_s)

    def _forward(self, decision: effects.Forward) -> None:
        target = self.day.targets[decision.target]
        region = self.day.scenario.region_by_zone[target.entry.zone]
        delay_s = self.day.one_way_s(self.vm.region, region)

        def done() -> None:
            load = target.load
            self._later(delay_s, events.Outcome.ANSWERED, 200, load, job)

        def arrive() -> None:
            if not target.offer(job):
                self._later(
                    delay_s, events.Outcome.REJECTED, 503, target.load, job
                )

        job = emulated.Job(self.wish.kind, self.wish.object_key, done)
        self.job = job
        self.day.clock.after(delay_s, arrive)
        left_s = decision.deadline_s - self.day.clock.now_s
        self.day.clock.after(left_s, self._expiry(job))

    def _expiry(self, job: emulated.Job) -> Callable[[], None]:
        def expire() -> None:
            if self.job is job and not job.cancelled:
                job.cancelled = True
                self._report(events.Outcome.EXPIRED, 0, None)

        return expire

    def _later(
        self,
        delay_s: float,
        outcome: events.Outcome,
        status: int,
        load: int,
        job: emulated.Job,
    ) -> None:
        def report() -> None:
            if self.job is job and not job.cancelled:
                self._report(outcome, status, load)

        self.day.clock.after(delay_s, report)

    def _report(
        self, outcome: events.Outcome, status: int, load: int | None
    ) -> None:
        self.job = None
        now_s = self.day.clock.now_s
        event = events.AttemptEnded(
            now_s, self.request_id, outcome, status, load
        )
        self.day.submit(self.vm, event)

    def _answer(self, status: int, retry_after_s: float | None) -> None:
        now_s = self.day.clock.now_s
        closed = events.RequestClosed(now_s, self.request_id)
        self.day.clock.after(0.0, lambda: self._close(closed))
        taken_s = now_s + self.day.scenario.caller_s - self.wish.sent_s
        left_s = self.wish.kind.deadline_s - taken_s
        may_return = status in NOT_RUN_STATUSES and left_s > 0
        if may_return and self.wish.tries <= RETRIES:
            pause_s = min(retry_after_s or 0.0, left_s * RETRY_PART)
            wish = attrs.evolve(self.wish, tries=self.wish.tries + 1)
            self.day.clock.after(
                pause_s + self.day.scenario.caller_s,
                lambda: Exchange(self.day, wish).start(),
            )
            return
        on_time = status == 200 and taken_s <= self.wish.kind.goal_s
        ended = results.Ended(
            self.wish.kind.name,
            self.wish.region,
            self.wish.account,
            self.wish.sent_s,
            taken_s,
            status,
            on_time,
        )
        self.day.results.ended.append(ended)

    def _close(self, closed: events.RequestClosed) -> None:
        self.day.submit(self.vm, closed)
        del self.day.exchanges[self.request_id]
