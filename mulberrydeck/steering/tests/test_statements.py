"""No sequence of attempts leads to a false promise that a request did not run.

The statuses 408, 421, 429 and 503 tell a caller so.
"""

import itertools

import pytest

from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import tables
from mulberrydeck.steering.tests import samples

Outcome = events.Outcome

NOT_RUN_STATUSES = {408, 421, 429, 503}
NOT_RUN_OUTCOMES = {
    Outcome.NOT_SENT,
    Outcome.DELAYED,
    Outcome.REJECTED,
    Outcome.WRONG_TARGET,
}
# Outcomes with the statuses that the exchange reports with them: an answer
# never has a status that promises that nothing ran.
ENDS = [
    (Outcome.ANSWERED, 200),
    (Outcome.ANSWERED, 404),
    (Outcome.ANSWERED, 500),
    (Outcome.ANSWERED, 502),
    (Outcome.NOT_SENT, 0),
    (Outcome.DELAYED, 0),
    (Outcome.REJECTED, 503),
    (Outcome.REJECTED, 429),
    (Outcome.WRONG_TARGET, 421),
    (Outcome.UNCLEAR, 200),
    (Outcome.UNCLEAR, 408),
    (Outcome.UNCLEAR, 429),
    (Outcome.UNCLEAR, 503),
    (Outcome.BROKEN, 0),
    (Outcome.EXPIRED, 0),
]


# Number of targets, whether the request can be sent again, the most attempts of
# the route, and the length of the sequences. Longer ones repeat what they do.
CASES = [
    *itertools.product((1, 3), (True, False), (1, 3), (1, 2)),
    (3, True, 3, 3),
]


def _no_disturbance(_vm):
    pass


def _stop(vm):
    vm.reduce(events.StopRequested(vm.now_s))


def _remove_targets(vm):
    vm.reduce(events.TargetsListed(vm.now_s, (), 9))


def _remove_routes(vm):
    table = samples.make_table(samples.make_route(prefix="/other/"), version=2)
    vm.reduce(events.TableLoaded(vm.now_s, table, 9))


def _lower_limit(vm):
    account = tables.Account("acme", rate_per_s=0.001, burst=0.001)
    table = samples.make_table(
        samples.make_route(public=False),
        version=2,
        accounts=((account, ("secret",)),),
    )
    vm.reduce(events.TableLoaded(vm.now_s, table, 9))


def _let_time_pass(vm):
    vm.now_s += 1.99


def _start(kind, targets, max_attempts):
    account = tables.Account("acme", rate_per_s=100.0, burst=50.0)
    route = samples.make_route(
        public=False, repeatability=kind, max_attempts=max_attempts
    )
    table = samples.make_table(route, accounts=((account, ("secret",)),))
    vm = samples.Vm(table, samples.make_entries(targets))
    vm.now_s += 1.0
    return vm, vm.arrive(key="secret")


def _end_attempts(vm, ends, replayable, disturb, disturbed_at):
    """Ends attempts until a decision is final; returns it and the ends."""
    played = []
    decision = None
    for number, (outcome, status) in enumerate(ends):
        if number == disturbed_at:
            disturb(vm)
        played.append((outcome, status))
        decision = vm.end("r1", outcome, status=status, replayable=replayable)
        if not isinstance(decision, effects.Forward):
            break
    return decision, played


# Guards against a later attempt, or another change of the state, that hides
# that an earlier attempt may have run.
@pytest.mark.parametrize(
    "disturb",
    [
        _no_disturbance,
        _stop,
        _remove_targets,
        _remove_routes,
        _lower_limit,
        _let_time_pass,
    ],
)
@pytest.mark.parametrize("kind", tables.Repeatability, ids=str)
def test_no_sequence_of_attempts_ends_in_a_false_promise(kind, disturb):
    finals = set()
    for targets, replayable, max_attempts, length in CASES:
        for ends in itertools.product(ENDS, repeat=length):
            vm, first = _start(kind, targets, max_attempts)
            assert isinstance(first, effects.Forward)
            final, played = _end_attempts(
                vm, ends, replayable, disturb, length - 1
            )
            if isinstance(final, effects.Refuse):
                finals.add(final.status)
                outcomes = {outcome for outcome, _ in played}
                may_have_run = outcomes - NOT_RUN_OUTCOMES
                is_promise = final.status in NOT_RUN_STATUSES
                assert not (may_have_run and is_promise), played
            if isinstance(final, effects.Deliver):
                assert played[-1][0] is Outcome.ANSWERED
    assert {502, 503} <= finals
