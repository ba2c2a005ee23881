"""Makes and settles claims in the platform's object API.

A lost answer is resolved by reading the object back. A claim that was made but
must not be used is deleted; one that could not be settled is tried again in
the background.
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

SETTLE_INTERVAL_S = 1.0
MAX_UNSETTLED = 10_000
MAX_SETTLE_ATTEMPTS = 1000


@attrs.frozen
class ClaimResult:
    """Result of a claim.

    Attributes:
        state: What was found.
        status: HTTP status of the earlier run if finished, else 0.
    """

    state: events.ClaimState
    status: int = 0


@attrs.define
class Unsettled:
    """A claim whose end is not recorded yet.

    Attributes:
        effect: What to record.
        attempts: How often it was tried.
    """

    effect: effects.RecordRun
    attempts: int = 0


class RunRecorder:
    """Carries out claims and records their outcome.

    Attributes:
        objects: Client of the platform.
        vm_name: Name of this VM.
        incarnation: Identifier of this process.
        unsettled: Outcomes that are not recorded yet.
        dropped: Outcomes given up because too many were waiting.
    """

    def __init__(
        self, objects: client.ObjectClient, vm_name: str, incarnation: str
    ) -> None:
        self.objects = objects
        self.vm_name = vm_name
        self.incarnation = incarnation
        self.unsettled: collections.deque[Unsettled] = collections.deque()
        self.dropped = 0
        self._settler = None

    def claim(self, effect: effects.Claim) -> ClaimResult:
        """Claims a run; blocks the greenlet until it is decided."""
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
        written = self._put(key, record, client.ABSENT_VERSION)
        if _is_conflict(written):
            return self._judge_existing(key, record)
        return self._judge_written(effect, written)

    def _put(
        self, key: str, record: claims.ClaimRecord, expected_version: int
    ) -> result.Result[int, errors.MulberrydeckError]:
        return resolve.put_and_resolve(
            self.objects, key, claims.encode(record), expected_version
        )

    def _judge_written(
        self,
        effect: effects.Claim,
        written: result.Result[int, errors.MulberrydeckError],
    ) -> ClaimResult:
        match written:
            case result.Success(_):
                return ClaimResult(events.ClaimState.WON)
            case result.Failure(errors.PlatformOutcomeUnknownError()):
                release = effects.RecordRun(
                    effect.request_id, effect.account, effect.run_id, 0
                )
                self._remember(release)
                return ClaimResult(events.ClaimState.UNKNOWN)
            case result.Failure(errors.ConflictError()):
                return ClaimResult(events.ClaimState.TAKEN)
        return ClaimResult(events.ClaimState.UNAVAILABLE)

    def _judge_existing(
        self, key: str, record: claims.ClaimRecord
    ) -> ClaimResult:
        match self.objects.get(key):
            case result.Success(stored):
                existing = claims.decode(stored.content)
            case _:
                return ClaimResult(events.ClaimState.UNAVAILABLE)
        if existing.state == claims.FINISHED:
            return ClaimResult(events.ClaimState.FINISHED, existing.status)
        if existing.is_same_claim(record):
            return ClaimResult(events.ClaimState.WON)
        if not existing.is_replaced_by(record):
            return ClaimResult(events.ClaimState.TAKEN)
        match self._put(key, record, stored.version):
            case result.Success(_):
                return ClaimResult(events.ClaimState.WON)
        return ClaimResult(events.ClaimState.TAKEN)

    def record(self, effect: effects.RecordRun) -> None:
        """Records the end of a run, now or in the background."""
        if not self._settle(effect):
            self._remember(effect)

    def _remember(self, effect: effects.RecordRun) -> None:
        if len(self.unsettled) >= MAX_UNSETTLED:
            self.dropped += 1
            return
        self.unsettled.append(Unsettled(effect))
        if self._settler is None or self._settler.dead:
            self._settler = gevent.spawn(self._settle_all)

    def _settle_all(self) -> None:
        while self.unsettled:
            gevent.sleep(SETTLE_INTERVAL_S)
            for _ in range(len(self.unsettled)):
                item = self.unsettled.popleft()
                item.attempts += 1
                done = self._settle(item.effect)
                if not done and item.attempts < MAX_SETTLE_ATTEMPTS:
                    self.unsettled.append(item)

    def _settle(self, effect: effects.RecordRun) -> bool:
        """Returns whether nothing more has to be recorded."""
        key = names.run_claim(effect.account, effect.run_id)
        match self.objects.get(key):
            case result.Success(stored):
                existing = claims.decode(stored.content)
            case result.Failure(errors.NotFoundError()):
                return True
            case _:
                return False
        if not self._is_own(existing, effect):
            return True
        if effect.status == 0:
            removed = self.objects.delete(key, stored.version)
            return isinstance(removed, result.Success)
        finished = attrs.evolve(
            existing, state=claims.FINISHED, status=effect.status
        )
        written = self.objects.put(key, claims.encode(finished), stored.version)
        return isinstance(written, result.Success)

    def _is_own(
        self, existing: claims.ClaimRecord, effect: effects.RecordRun
    ) -> bool:
        return (
            existing.incarnation == self.incarnation
            and existing.request_id == effect.request_id
            and existing.state == claims.STARTED
        )

    def outcome(self, account: str, run_id: str) -> gateway.RunOutcome:
        """Returns what the platform knows of a run."""
        match self.objects.get(names.run_claim(account, run_id)):
            case result.Success(stored):
                found = claims.decode(stored.content)
                return gateway.RunOutcome(found.state, found.status)
            case result.Failure(errors.NotFoundError()):
                return gateway.RunOutcome("absent")
        return gateway.RunOutcome("unavailable")


def _is_conflict(written: result.Result) -> bool:
    match written:
        case result.Failure(errors.ConflictError()):
            return True
    return False
