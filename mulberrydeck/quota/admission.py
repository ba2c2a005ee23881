"""Decides requests against the tokens that this VM holds."""

import collections

import attrs

from mulberrydeck.quota import bucket
from mulberrydeck.quota import choosing
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import state

MAX_QUEUE_LENGTH = 1000
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 10.0


@attrs.frozen
class Decision:
    """A waiting request was decided.

    Attributes:
        request_id: The request.
        admitted: Whether it may go on.
        retry_after_s: When a token can be expected, in seconds.
    """

    request_id: str
    admitted: bool
    retry_after_s: float = 0.0


def spend(resource: state.ResourceState, amount: float) -> bool:
    """Spends tokens if there are enough and returns whether it did."""
    if not bucket.has(resource, amount):
        return False
    resource.tokens -= amount
    return True


def enqueue(
    quota: state.QuotaState,
    now_s: float,
    resource: state.ResourceState,
    request_id: str,
) -> None:
    """Lets a request wait for a token."""
    deadline_s = now_s + quota.settings.quota_wait_s
    resource.queue.append(state.WaitingRequest(request_id, deadline_s))
    quota.waiting[request_id] = resource.bound.resource


def admit_waiting(
    quota: state.QuotaState, resource: state.ResourceState
) -> list[Decision]:
    """Admits waiting requests while there are tokens, first come first."""
    decisions = []
    while resource.queue and spend(resource, 1.0):
        request = resource.queue.popleft()
        quota.waiting.pop(request.request_id, None)
        decisions.append(Decision(request.request_id, True))
    return decisions


def deny_waiting(
    quota: state.QuotaState, now_s: float, resource: state.ResourceState
) -> list[Decision]:
    """Denies waiting requests that can expect no token in time.

    Requests wait while a lender may still answer or may soon be asked again,
    and while this VM's own tokens grow in time; all others are denied at once.

    Args:
        quota: State of this VM.
        now_s: Current time, in seconds.
        resource: The resource, advanced to `now_s`, after asks were sent.
    """
    if not resource.queue:
        return []
    lender_s = choosing.lender_wait_s(quota, resource, now_s)
    remaining: collections.deque[state.WaitingRequest] = collections.deque()
    denied = []
    for request in resource.queue:
        own_s = bucket.wait_s(resource, len(remaining) + 1.0)
        left_s = request.deadline_s - now_s
        if left_s > 0 and min(lender_s, own_s) <= left_s:
            remaining.append(request)
        else:
            denied.append(request)
    resource.queue = remaining
    retry_s = retry_after_s(quota, now_s, resource)
    for request in denied:
        quota.waiting.pop(request.request_id, None)
    return [Decision(request.request_id, False, retry_s) for request in denied]


def retry_after_s(
    quota: state.QuotaState, now_s: float, resource: state.ResourceState
) -> float:
    """Returns when the next request can expect a token, in seconds."""
    ahead = len(resource.queue) + 1.0
    own_s = bucket.wait_s(resource, ahead)
    request_s = choosing.next_request_s(quota, resource, now_s)
    refill_s = ahead / resource.bound.rate_per_s
    pending_s = min(
        (entry.usable_s - now_s for entry in resource.pending),
        default=float("inf"),
    )
    soonest_s = min(own_s, pending_s, max(request_s, refill_s))
    return min(max(MIN_RETRY_AFTER_S, soonest_s), MAX_RETRY_AFTER_S)


def admit_unlimited(quota: state.QuotaState) -> list[Decision]:
    """Admits the requests that waited for a bound that was removed."""
    request_ids = quota.unlimited_requests
    quota.unlimited_requests = []
    return [Decision(request_id, True) for request_id in request_ids]


def as_effects(now_s: float, decisions: list[Decision]) -> list[object]:
    """Returns the effects that report decisions."""
    return [
        quota_effects.Raise(
            quota_effects.QuotaDecided(
                at_s=now_s,
                request_id=decision.request_id,
                admitted=decision.admitted,
                retry_after_s=decision.retry_after_s,
            )
        )
        for decision in decisions
    ]
