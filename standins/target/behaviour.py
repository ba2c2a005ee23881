"""Behaviour of a target stand-in, and its log of runs."""

import collections
import random
import time

import attrs

RUNS_KEPT = 200_000
ALWAYS = -1


@attrs.define
class Behaviour:
    """How a target handles requests; every field can change at run time.

    Attributes:
        slots: Requests that run at once; more are shed.
        leaving: Whether the target reports that it is leaving.
        work_s: Work time of a request that sets none, in seconds.
        cold_s: Time after the start in which work is slower, in seconds.
        cold_factor: Factor on the work time while the target is cold.
        report_healthy: Health to report; None reports the actual health.
        report_used: Used slots to report; None reports the actual number.
        report_lag_s: Age of the reported load, in seconds.
        status_hangs: Whether status requests get no response.
        fail_ratio: Share of runs that end with status 500 after their work.
        seed: Seed of the choice of failing runs.
        fault: Fault of the response: empty, `reset` (no response after the
            complete request body was read), `truncate`, `hang`, `overlong` or
            `unavailable` (status 503 after the work).
        fault_count: Number of further runs with the fault; -1 means all.
    """

    slots: int = 4
    leaving: bool = False
    work_s: float = 0.005
    cold_s: float = 0.0
    cold_factor: float = 4.0
    report_healthy: bool | None = None
    report_used: int | None = None
    report_lag_s: float = 0.0
    status_hangs: bool = False
    fail_ratio: float = 0.0
    seed: int = 1
    fault: str = ""
    fault_count: int = ALWAYS


@attrs.define
class Run:
    """One request that reached the target.

    Attributes:
        index: Position in the log.
        target: Name of the target.
        start_s: Time of arrival on the machine's monotonic clock, in seconds.
        end_s: Time of the end on the same clock; 0 while it runs.
        request_id: Value of `Mulberrydeck-Request-Id`.
        account: Value of `Mulberrydeck-Account`.
        run_id: Value of `Mulberrydeck-Run-Id`.
        method: HTTP method.
        path: Path and query.
        headers: All headers as name and value, in order of arrival.
        concurrent: Requests running when it arrived, itself included.
        leaving: Whether the target was leaving when it arrived.
        outcome: `running`, `done`, `shed` (not run), `cancelled`,
            `deadline`, `failed`, or the name of the fault.
        received_bytes: Length of the body that was read.
    """

    index: int
    target: str
    start_s: float
    request_id: str
    account: str
    run_id: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    concurrent: int
    leaving: bool
    outcome: str = "running"
    end_s: float = 0.0
    received_bytes: int = 0


class TargetState:
    """A target's slots, run log and load history.

    Attributes:
        name: Name of the target.
        behaviour: Current behaviour.
        used: Slots in use.
        runs: Log of every request that arrived.
        started_s: Monotonic time of the start, in seconds.
    """

    def __init__(self, name: str, behaviour: Behaviour):
        self.name = name
        self.behaviour = behaviour
        self.used = 0
        self.runs: collections.deque[Run] = collections.deque(maxlen=RUNS_KEPT)
        self.arrived = 0
        self.started_s = time.monotonic()
        self.loads = collections.deque([(0.0, 0)], maxlen=4096)
        self.random = random.Random(behaviour.seed)

    def change(self, behaviour: Behaviour) -> None:
        """Replaces the behaviour."""
        if behaviour.seed != self.behaviour.seed:
            self.random = random.Random(behaviour.seed)
        self.behaviour = behaviour

    def restart(self) -> None:
        """Makes the target cold, as after a restart."""
        self.started_s = time.monotonic()

    def acquire_slot(self, run: Run) -> bool:
        """Logs a request and takes a slot; returns whether one was free."""
        self.runs.append(run)
        if self.used >= self.behaviour.slots:
            self.finish(run, "shed")
            return False
        self.used += 1
        run.concurrent = self.used
        self.loads.append((time.monotonic(), self.used))
        return True

    def release_slot(self, run: Run, outcome: str) -> None:
        """Frees the slot of a request."""
        self.used -= 1
        self.loads.append((time.monotonic(), self.used))
        self.finish(run, outcome)

    def finish(self, run: Run, outcome: str) -> None:
        """Writes the end of a request into the log."""
        run.end_s = time.monotonic()
        run.outcome = outcome

    def work_s(self, requested_s: float | None) -> float:
        """Returns the work time of a request that starts now, in seconds."""
        base_s = self.behaviour.work_s if requested_s is None else requested_s
        age_s = time.monotonic() - self.started_s
        is_cold = age_s < self.behaviour.cold_s
        return base_s * (self.behaviour.cold_factor if is_cold else 1.0)

    def fails(self) -> bool:
        """Returns whether the next run fails."""
        return self.random.random() < self.behaviour.fail_ratio

    def next_fault(self) -> str:
        """Returns the fault of the next run and counts it; empty if none."""
        behaviour = self.behaviour
        if not behaviour.fault or behaviour.fault_count == 0:
            return ""
        if behaviour.fault_count != ALWAYS:
            behaviour.fault_count -= 1
        return behaviour.fault

    def report(self) -> dict[str, object]:
        """Returns the status that the target reports, correct or not."""
        behaviour = self.behaviour
        healthy = behaviour.report_healthy
        used = behaviour.report_used
        return {
            "healthy": True if healthy is None else healthy,
            "leaving": behaviour.leaving,
            "slots": behaviour.slots,
            "used": self.lagged_load() if used is None else used,
        }

    def lagged_load(self) -> int:
        """Returns the used slots as of the reporting lag."""
        as_of_s = time.monotonic() - self.behaviour.report_lag_s
        for since_s, used in reversed(self.loads):
            if since_s <= as_of_s:
                return used
        return self.loads[0][1]
