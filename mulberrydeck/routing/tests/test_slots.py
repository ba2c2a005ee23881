"""Tests of slot admission, queueing and target health, in simulated time."""

import hypothesis
from hypothesis import strategies

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.forward import outcomes
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.routing import choice
from mulberrydeck.routing import queueing
from mulberrydeck.routing import reducer
from mulberrydeck.routing import slots
from mulberrydeck.routing import state as routing_state
from mulberrydeck.routing import target_state
from mulberrydeck.routing.tests import fakes

ANSWERED = outcomes.AttemptOutcome.ANSWERED
NOT_RUN = outcomes.AttemptOutcome.NOT_RUN
UNKNOWN = outcomes.AttemptOutcome.UNKNOWN


def fill(state, now_s, count, account="a", prefix="r"):
    for number in range(count):
        result, _ = reducer.acquire(
            state, now_s, "s", account, f"{prefix}{number}"
        )
        assert isinstance(result, routing_state.Acquired)


def test_slots_are_never_exceeded_and_freed_ones_go_to_waiting_requests():
    state = fakes.warm_owner(fakes.FakeCompiled((fakes.target("t", 3),)))
    fill(state, 100.0, 3)
    result, _ = reducer.acquire(state, 100.0, "s", "a", "late")
    assert isinstance(result, routing_state.Queued)
    raised = reducer.release(state, 100.1, "r0", ANSWERED, 200, 0.1)
    decided = events.SlotDecided(100.1, "late", "t", "127.0.0.1:80")
    assert raised == [quota_effects.Raise(decided)]
    assert state.targets["t"].used == 3


def test_a_wait_that_times_out_ends_without_a_slot():
    state = fakes.warm_owner(fakes.FakeCompiled((fakes.target("t", 1),)))
    fill(state, 100.0, 1)
    reducer.acquire(state, 100.0, "s", "a", "late")
    assert reducer.tick(state, 100.2)[1:] == []
    refused = [
        item
        for item in reducer.tick(state, 100.3)
        if isinstance(item, quota_effects.Raise)
    ]
    assert refused == [quota_effects.Raise(events.SlotDecided(100.3, "late"))]


def test_slots_freed_during_a_stall_go_to_requests_that_waited_through_it():
    state = fakes.warm_owner(fakes.FakeCompiled((fakes.target("t", 2),)))
    fill(state, 100.0, 2)
    for name in ("w0", "w1", "w2"):
        reducer.acquire(state, 100.0, "s", "a", name)
    resumed_s = 100.5
    raised = [
        item.event
        for number in range(2)
        for item in reducer.release(
            state, resumed_s, f"r{number}", ANSWERED, 200, 0.5
        )
    ]
    result, more = reducer.acquire(state, resumed_s, "s", "a", "new")
    raised += [item.event for item in more]
    assert isinstance(result, routing_state.Queued)
    decided = [(event.request_id, event.target) for event in raised]
    assert decided == [("w0", "t"), ("w1", "t")]
    refused = [
        item.event.request_id
        for item in reducer.tick(state, resumed_s)
        if isinstance(item, quota_effects.Raise)
    ]
    assert refused == ["w2"]


def test_an_expired_grant_admits_no_request():
    state = fakes.warm_owner(fakes.FakeCompiled((fakes.target("t"),)))
    result, _ = reducer.acquire(state, 105.0, "s", "a", "r")
    assert isinstance(result, routing_state.Full)


def test_a_new_owner_subtracts_the_slots_that_others_use():
    state = fakes.warm_owner(fakes.FakeCompiled((fakes.target("t", 4),)))
    state.targets["t"].awaits_report = True
    fakes.poll_all(state, 100.0, used=3)
    fill(state, 100.0, 1)
    result, _ = reducer.acquire(state, 100.0, "s", "a", "late")
    assert isinstance(result, routing_state.Queued)


def test_a_poll_that_predates_ownership_is_discarded():
    state = fakes.warm_owner(fakes.FakeCompiled((fakes.target("t", 4),)))
    reducer.tick(state, 101.0)
    target_state.begin_ownership(state.targets["t"])
    fakes.poll_all(state, 101.1, used=0)
    assert slots.free_and_usable(state, 101.1, "s") == (0, 0)
    assert effects.PollTarget("t", "127.0.0.1:80") in reducer.tick(state, 101.1)
    fakes.poll_all(state, 101.2, used=3)
    assert slots.free_and_usable(state, 101.2, "s") == (1, 1)


def test_callers_that_disconnect_do_not_affect_a_target():
    state = fakes.warm_owner(fakes.FakeCompiled((fakes.target("t", 4),)))
    for number in range(40):
        reducer.acquire(state, 100.0, "s", "a", f"r{number}")
        reducer.cancel(state, 100.0, f"r{number}")
    assert slots.free_and_usable(state, 100.0, "s") == (4, 4)


def test_slots_ramp_up_from_one():
    compiled = fakes.FakeCompiled((fakes.target("t", 6),))
    state = fakes.warm_owner(compiled)
    state.targets["t"].warmup_started_s = 100.0
    usable = [slots.free_and_usable(state, at, "s")[1] for at in (100, 101.5)]
    assert usable == [1, 3]


def test_a_drained_target_is_used_briefly_without_an_alternative():
    state = fakes.warm_owner(fakes.FakeCompiled((fakes.target("t"),)))
    drained = fakes.FakeCompiled((fakes.target("t", draining=True),))
    reducer.configure(state, 100.0, drained)
    assert choice.choose(state, 100.5, "s") == choice.Local()
    result, _ = reducer.acquire(state, 100.5, "s", "a", "r")
    assert isinstance(result, routing_state.Acquired)
    assert choice.choose(state, 101.5, "s") is None
    result, _ = reducer.acquire(state, 101.5, "s", "a", "r2")
    assert isinstance(result, routing_state.Full)


def test_leaving_targets_get_no_new_requests():
    compiled = fakes.FakeCompiled((fakes.target("t"),))
    state = fakes.warm_owner(compiled)
    fakes.poll_all(state, 100.0, leaving=True)
    assert isinstance(
        reducer.acquire(state, 100.0, "s", "a", "r")[0], routing_state.Full
    )
    state = fakes.warm_owner(compiled)
    drained = fakes.FakeCompiled((fakes.target("t", draining=True),))
    reducer.configure(state, 100.0, drained)
    assert isinstance(
        reducer.acquire(state, 100.0, "s", "a", "r")[0], routing_state.Full
    )
    state = fakes.warm_owner(compiled)
    reducer.configure(state, 100.0, fakes.FakeCompiled())
    assert isinstance(
        reducer.acquire(state, 100.0, "s", "a", "r")[0], routing_state.Full
    )


def test_a_removed_target_keeps_its_used_slots_until_idle():
    compiled = fakes.FakeCompiled((fakes.target("t", 2),))
    state = fakes.warm_owner(compiled)
    fill(state, 100.0, 2)
    reducer.configure(state, 100.0, fakes.FakeCompiled())
    reducer.configure(state, 100.0, compiled)
    result, _ = reducer.acquire(state, 100.0, "s", "a", "late")
    assert isinstance(result, routing_state.Queued)


def test_one_account_cannot_starve_the_others():
    state = fakes.warm_owner(fakes.FakeCompiled((fakes.target("t", 1),)))
    fill(state, 100.0, 1, "flood")
    for number in range(30):
        reducer.acquire(state, 100.0, "s", "flood", f"flood{number}")
    result, _ = reducer.acquire(state, 100.0, "s", "small", "small0")
    assert isinstance(result, routing_state.Queued)
    served = []
    active = "r0"
    for _ in range(2):
        raised = reducer.release(state, 100.01, active, ANSWERED, 200, 0.0)
        active = raised[0].event.request_id
        served.append(active)
    assert "small0" in served


def test_a_full_queue_rejects_at_once_with_a_retry_time():
    state = fakes.warm_owner(fakes.FakeCompiled((fakes.target("t", 1),)))
    fill(state, 100.0, 1)
    results = [
        reducer.acquire(state, 100.0, "s", "a", f"q{number}")[0]
        for number in range(slots.MIN_QUEUE_LENGTH + 1)
    ]
    mean_hold_s = state.services["s"].mean_hold_s
    expected_s = (1 + slots.MIN_QUEUE_LENGTH) * mean_hold_s
    assert results[-1] == routing_state.Full(expected_s)


def test_a_shed_request_lowers_the_usable_slots_temporarily():
    state = fakes.warm_owner(fakes.FakeCompiled((fakes.target("t", 4),)))
    fill(state, 100.0, 3)
    reducer.release(state, 100.0, "r0", NOT_RUN, 503, 0.0)
    assert slots.free_and_usable(state, 100.0, "s") == (0, 2)
    assert slots.free_and_usable(state, 102.0, "s") == (2, 4)


def test_an_unreachable_target_gets_no_probation():
    state = fakes.warm_owner(fakes.FakeCompiled((fakes.target("t", 4),)))
    state.targets["t"].ejected_until_s = 99.0
    assert slots.free_and_usable(state, 100.0, "s") == (1, 1)
    state.targets["t"].failed_polls = target_state.FAILED_POLLS_LIMIT
    assert slots.free_and_usable(state, 100.0, "s") == (0, 0)


def test_unreachable_targets_are_the_last_resort():
    compiled = fakes.FakeCompiled((fakes.target("t", 4),))
    state = fakes.warm_owner(compiled)
    target = state.targets["t"]
    target_state.begin_ownership(target)
    for _ in range(target_state.FAILED_POLLS_LIMIT):
        reducer.handle_poll_result(
            state, 100.0, events.TargetPolled(100.0, "t", None)
        )
    assert reducer.service_loads(state, 100.0) == ()
    assert choice.choose(state, 100.0, "s") == choice.Local()
    fill(state, 100.0, 1)
    assert choice.choose(state, 100.0, "s") is None
    reducer.release(state, 100.1, "r0", ANSWERED, 200, 0.1)
    assert slots.free_and_usable(state, 100.1, "s") == (1, 1)
    fakes.poll_all(state, 100.2, healthy=False)
    assert choice.choose(state, 100.2, "s") is None


def record_outcomes(state, name, outcome, status, count, now_s=100.0):
    for number in range(count):
        state.targets[name].used += 1
        request_id = f"{name}-{number}"
        state.slot_uses[request_id] = routing_state.SlotUse(name, now_s)
        reducer.release(state, now_s, request_id, outcome, status, 0.0)


def test_failing_targets_are_ejected_while_enough_capacity_remains():
    compiled = fakes.FakeCompiled(
        tuple(fakes.target(name) for name in ("t1", "t2", "t3"))
    )
    state = fakes.warm_owner(compiled)
    record_outcomes(state, "t1", UNKNOWN, 0, 20)
    record_outcomes(state, "t2", ANSWERED, 500, 20)
    conditions = {
        item.name: item.state for item in reducer.target_statuses(state, 100.0)
    }
    assert conditions == {"t1": "ejected", "t2": "ready", "t3": "ready"}
    assert state.targets["t2"].suspect


def test_probation_admits_one_request_and_restores_the_target():
    compiled = fakes.FakeCompiled((fakes.target("t1"), fakes.target("t2")))
    state = fakes.warm_owner(compiled)
    record_outcomes(state, "t1", UNKNOWN, 0, 20)
    target = state.targets["t1"]
    assert target.ejected_until_s is not None
    at_s = target.ejected_until_s + 0.1
    assert target_state.usable_slots(target, at_s, 3.0) == 1
    record_outcomes(state, "t1", ANSWERED, 200, 3, at_s)
    assert target.ejected_until_s is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(("push", "pop", "expire")),
            strategies.sampled_from("abc"),
        ),
        max_size=60,
    )
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_the_queue_loses_no_request_and_stays_bounded(actions):
    queue = queueing.FairQueue()
    expected_ids = set()
    for number, (action, account) in enumerate(actions):
        if action == "push":
            waiter = queueing.Waiter(str(number), account, number + 20)
            queued, evicted = queueing.push(queue, waiter, 4)
            if queued:
                expected_ids.add(str(number))
            if evicted is not None:
                expected_ids.remove(evicted.request_id)
        elif action == "pop":
            found = queueing.pop(queue)
            expected_ids -= {found.request_id} if found else set()
        else:
            for waiter in queueing.expire(queue, number):
                expected_ids.remove(waiter.request_id)
        queued_waiters = [
            item for waiting in queue.waiters.values() for item in waiting
        ]
        assert {item.request_id for item in queued_waiters} == expected_ids
        assert queue.size == len(queued_waiters) <= 4
