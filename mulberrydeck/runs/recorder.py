"""Claims single runs and records their outcomes in the platform's object API.

When the response to a write is lost, the object is read back. A claim that was
made but must not be used is deleted. Outcomes that could not be recorded are
retried in the background.
"""

import collections
import time

import attrs
import gevent
from returns import result

from mulberrydeck import errors
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import gateway
from mulberrydeck.platformapi import client
from mulberrydeck.platformapi import names
from mulberrydeck.platformapi import resolve
from mulberrydeck.runs import claims

RECORD_RETRY_INTERVAL_S = 1.0
MAX_PENDING_RECORDS = 10_000
MAX_RECORD_RETRIES = 1000


@attrs.frozen
class ClaimResult:
    """Result of the claim of a single run.

    Attributes:
        outcome: How the claim was decided.
        status: HTTP status of the earlier run if finished, else 0.
    """

    outcome: events.ClaimOutcome
    status: int = 0


@attrs.define
class PendingRecord:
    """An outcome that is not recorded yet.

    Attributes:
        effect: The outcome to record.
        retries: Number of retries so far.
    """

    effect: effects.RecordRun
    retries: int = 0


class RunRecorder:
    """Claims single runs and records their outcomes.

    Attributes:
        objects: Client of the platform's object API.
        vm_name: Name of this VM.
        incarnation: Identifier of this process.
        pending: Outcomes that are not recorded yet.
        dropped_records: Number of outcomes dropped while too many were pending.
    """

    def __init__(
        self, objects: client.ObjectClient, vm_name: str, incarnation: str
    ) -> None:
        self.objects = objects
        self.vm_name = vm_name
        self.incarnation = incarnation
        self.pending: collections.deque[PendingRecord] = collections.deque()
        self.dropped_records = 0
        self._record_greenlet = None

    def claim(self, effect: effects.ClaimRun) -> ClaimResult:
        """Claims a run; blocks the greenlet until the claim is decided."""
        record = claims.ClaimRecord(
            vm=self.vm_name,
            incarnation=self.incarnation,
            request_id=effect.request_id,
            attempt=effect.attempt,
            state=claims.STARTED,
            status=0,
            created_s=time.time(),
        )
        key = names.run_claim(effect.account, effect.run_id)
        write_result = self._put(key, record, client.ABSENT_VERSION)
        if _is_conflict(write_result):
            return self._compare_with_existing(key, record)
        return self._interpret_write(effect, write_result)

    def _put(
        self, key: str, record: claims.ClaimRecord, expected_version: int
    ) -> result.Result[int, errors.MulberrydeckError]:
        return resolve.put_and_resolve(
            self.objects, key, claims.encode(record), expected_version
        )

    def _interpret_write(
        self,
        effect: effects.ClaimRun,
        write_result: result.Result[int, errors.MulberrydeckError],
    ) -> ClaimResult:
        match write_result:
            case result.Success(_):
                return ClaimResult(events.ClaimOutcome.WON)
            case result.Failure(errors.PlatformOutcomeUnknownError()):
                release = effects.RecordRun(
                    effect.request_id, effect.account, effect.run_id, 0
                )
                self._enqueue(release)
                return ClaimResult(events.ClaimOutcome.UNKNOWN)
            case result.Failure(errors.ConflictError()):
                return ClaimResult(events.ClaimOutcome.TAKEN)
        return ClaimResult(events.ClaimOutcome.UNAVAILABLE)

    def _compare_with_existing(
        self, key: str, record: claims.ClaimRecord
    ) -> ClaimResult:
        match self.objects.get(key):
            case result.Success(stored):
                existing = claims.decode(stored.content)
            case _:
                return ClaimResult(events.ClaimOutcome.UNAVAILABLE)
        if existing.state == claims.FINISHED:
            return ClaimResult(events.ClaimOutcome.FINISHED, existing.status)
        if existing.is_same_claim(record):
            return ClaimResult(events.ClaimOutcome.WON)
        if not existing.is_replaced_by(record):
            return ClaimResult(events.ClaimOutcome.TAKEN)
        match self._put(key, record, stored.version):
            case result.Success(_):
                return ClaimResult(events.ClaimOutcome.WON)
        return ClaimResult(events.ClaimOutcome.TAKEN)

    def record(self, effect: effects.RecordRun) -> None:
        """Records the outcome of a run, with retries in the background."""
        if not self._try_record(effect):
            self._enqueue(effect)

    def _enqueue(self, effect: effects.RecordRun) -> None:
        if len(self.pending) >= MAX_PENDING_RECORDS:
            self.dropped_records += 1
            return
        self.pending.append(PendingRecord(effect))
        if self._record_greenlet is None or self._record_greenlet.dead:
            self._record_greenlet = gevent.spawn(self._record_pending)

    def _record_pending(self) -> None:
        while self.pending:
            gevent.sleep(RECORD_RETRY_INTERVAL_S)
            for _ in range(len(self.pending)):
                item = self.pending.popleft()
                item.retries += 1
                done = self._try_record(item.effect)
                if not done and item.retries < MAX_RECORD_RETRIES:
                    self.pending.append(item)

    def _try_record(self, effect: effects.RecordRun) -> bool:
        """Tries to record an outcome; returns whether no retry is needed."""
        key = names.run_claim(effect.account, effect.run_id)
        match self.objects.get(key):
            case result.Success(stored):
                existing = claims.decode(stored.content)
            case result.Failure(errors.NotFoundError()):
                return True
            case _:
                return False
        if not self._is_own_claim(existing, effect):
            return True
        if effect.status == 0:
            delete_result = self.objects.delete(key, stored.version)
            return isinstance(delete_result, result.Success)
        finished = attrs.evolve(
            existing, state=claims.FINISHED, status=effect.status
        )
        write_result = self.objects.put(
            key, claims.encode(finished), stored.version
        )
        return isinstance(write_result, result.Success)

    def _is_own_claim(
        self, existing: claims.ClaimRecord, effect: effects.RecordRun
    ) -> bool:
        return (
            existing.incarnation == self.incarnation
            and existing.request_id == effect.request_id
            and existing.state == claims.STARTED
        )

    def outcome(self, account: str, run_id: str) -> gateway.RunOutcome:
        """Returns the outcome of a run as recorded in the platform."""
        match self.objects.get(names.run_claim(account, run_id)):
            case result.Success(stored):
                record = claims.decode(stored.content)
                return gateway.RunOutcome(record.state, record.status)
            case result.Failure(errors.NotFoundError()):
                return gateway.RunOutcome("absent")
        return gateway.RunOutcome("unavailable")


def _is_conflict(write_result: result.Result) -> bool:
    match write_result:
        case result.Failure(errors.ConflictError()):
            return True
    return False
