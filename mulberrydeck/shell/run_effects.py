"""Executes the effects that claim and record single runs."""

import gevent

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.runs import recorder
from mulberrydeck.shell import runtime as runtime_module


def register_run_effects(
    runtime: runtime_module.Runtime, runs: recorder.RunRecorder
) -> None:
    """Registers handlers that claim and record runs in separate greenlets."""

    def claim(effect: effects.ClaimRun) -> None:
        claim_result = runs.claim(effect)
        event = events.ClaimDecided(
            runtime.now_s(),
            effect.request_id,
            claim_result.outcome,
            effect.account,
            effect.run_id,
            claim_result.status,
        )
        runtime.submit(event)

    def spawn_claim(effect: effects.ClaimRun) -> None:
        gevent.spawn(claim, effect)

    def spawn_record(effect: effects.RecordRun) -> None:
        gevent.spawn(runs.record, effect)

    runtime.handlers[effects.ClaimRun] = spawn_claim
    runtime.handlers[effects.RecordRun] = spawn_record
