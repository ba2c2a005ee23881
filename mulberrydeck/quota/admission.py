"""Admits and denies requests based on the tokens that this VM holds."""

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
    """Decision on a waiting request.

    Attributes:
        request_id: Identifier of the request.
        admitted: Whether the request is admitted.
        retry_after_s: Expected time until a token is available, in seconds.
    """

    request_id: str
    admitted: bool
    retry_after_s: float = 0.0


def spend(resource: state.ResourceState, amount: float) -> bool:
    """Spends `amount` tokens if available and returns whether it did."""
    if not bucket.has(resource, amount):
        return False
    resource.tokens -= amount
    return True


def enqueue(
    quota: state.QuotaState,
    now_s: float,
    resource: state.ResourceState,
    request_id: str,
    first: bool = False,
) -> None:
    """Queues a request until a token is available."""
    deadline_s = now_s + quota.settings.quota_wait_s
    waiting = state.WaitingRequest(request_id, deadline_s)
    if first:
        resource.queue.appendleft(waiting)
    else:
        resource.queue.append(waiting)
    quota.waiting[request_id] = resource.bound.resource


def admit_waiting(
    quota: state.QuotaState, resource: state.ResourceState
) -> list[Decision]:
    """Admits waiting requests in order of arrival while tokens last."""
    decisions = []
    while resource.queue and spend(resource, 1.0):
        request = resource.queue.popleft()
        quota.waiting.pop(request.request_id, None)
        decisions.append(Decision(request.request_id, True))
    return decisions


def deny_waiting(
    quota: state.QuotaState, now_s: float, resource: state.ResourceState
) -> list[Decision]:
    """Denies waiting requests that cannot get a token before their deadline.

    A request keeps waiting while a lender may still respond or can be sent
    another loan request in time, or while this VM's own tokens refill in time.
    All others are denied immediately.

    Args:
        quota: State of this VM.
        now_s: Current time, in seconds.
        resource: The resource, advanced to `now_s`, after its loan requests
            were sent.
    """
    if not resource.queue:
        return []
    lender_s = choosing.lender_wait_s(quota, resource, now_s)
    still_waiting: collections.deque[state.WaitingRequest] = collections.deque()
    denied = []
    for request in resource.queue:
        own_s = bucket.wait_s(resource, len(still_waiting) + 1.0)
        remaining_s = request.deadline_s - now_s
        if remaining_s > 0 and min(lender_s, own_s) <= remaining_s:
            still_waiting.append(request)
        else:
            denied.append(request)
    resource.queue = still_waiting
    retry_s = retry_after_s(quota, now_s, resource)
    for request in denied:
        quota.waiting.pop(request.request_id, None)
    return [Decision(request.request_id, False, retry_s) for request in denied]


def retry_after_s(
    quota: state.QuotaState, now_s: float, resource: state.ResourceState
) -> float:
    """Returns the expected time until a token is available, in seconds."""
    needed_tokens = len(resource.queue) + 1.0
    own_s = bucket.wait_s(resource, needed_tokens)
    request_s = choosing.next_request_s(quota, resource, now_s)
    refill_s = needed_tokens / resource.bound.rate_per_s
    pending_s = min(
        (entry.usable_s - now_s for entry in resource.pending),
        default=float("inf"),
    )
    soonest_s = min(own_s, pending_s, max(request_s, refill_s))
    return min(max(MIN_RETRY_AFTER_S, soonest_s), MAX_RETRY_AFTER_S)


def admit_unlimited(quota: state.QuotaState) -> list[Decision]:
    """Admits waiting requests whose resource no longer has a bound."""
    request_ids = quota.unlimited_requests
    quota.unlimited_requests = []
    return [Decision(request_id, True) for request_id in request_ids]


def as_effects(now_s: float, decisions: list[Decision]) -> list[object]:
    """Returns the effects that report `decisions`."""
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
