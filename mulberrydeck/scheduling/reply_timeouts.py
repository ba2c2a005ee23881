"""How long this VM waits for replies of schedulers."""

import math

from mulberrydeck.scheduling import state as states
from mulberrydeck.steering import state as steering_states

# Several times the round trip and the time that a busy scheduler takes. Beyond
# this, callers are served better by a choice without it.
REPLY_TIMEOUT_S = 0.1
# The same for a scheduler in another region.
FAR_REPLY_TIMEOUT_S = 0.25
# This long after the expected or longest wait of a queued request, another
# message must have arrived.
QUEUED_TIMEOUT_S = 0.5
# A scheduler that did not reply is not asked for this long; by then, a VM that
# died is nearly known to be dead.
AVOIDED_S = 2.0
# Ticks that are late by more than this show that this VM itself stalled.
MIN_STALL_S = 0.02


def allow_for_own_stall(state: steering_states.State) -> None:
    """Prolongs waits for replies that may have arrived while this VM stalled.

    After a stall, the timer may expire before messages are read.
    """
    client = state.slot_client
    late_s = state.now_s - client.ticked_s - state.settings.tick_interval_s
    client.ticked_s = state.now_s
    if MIN_STALL_S < late_s < math.inf:
        for asked in client.asked.values():
            asked.reply_by_s += late_s
            asked.decide_by_s += late_s


def is_late(state: steering_states.State, asked: states.AskedSlot) -> bool:
    """Returns whether a scheduler's next reply is late.

    Requests that go first prolong a wait in the queue, so that a long one alone
    does not show that the scheduler has failed. It counts only while the
    scheduler is avoided for another reason.

    Args:
        state: State of this VM.
        asked: The request for a slot.
    """
    if not asked.is_queued or (
        asked.scheduler in state.slot_client.avoided_until_s
    ):
        return state.now_s > asked.reply_by_s
    return state.now_s > asked.decide_by_s


def avoid(state: steering_states.State, name: str) -> None:
    """Asks other schedulers instead of this one for some time.

    Each scheduler then misses what the others grant, so that each gets a new
    list of the slots in use.

    Args:
        state: State of this VM, changed in place.
        name: Name of the scheduler that is not asked.
    """
    state.slot_client.avoided_until_s[name] = state.now_s + AVOIDED_S
    state.slot_client.introduced.clear()
