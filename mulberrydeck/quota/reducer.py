"""Entry points of the quota package.

Every entry point first advances the resources that it uses to the current
time, so that a loan that expired while the process was stalled is never used.
"""

from mulberrydeck.peers import messages
from mulberrydeck.quota import admission
from mulberrydeck.quota import borrowing
from mulberrydeck.quota import bucket
from mulberrydeck.quota import configuring
from mulberrydeck.quota import lending
from mulberrydeck.quota import returning
from mulberrydeck.quota import state

Effects = tuple[object, ...]
AdmitResult = state.Admitted | state.Waiting | state.Denied

IDLE_AFTER_S = 2.0
SHORTFALL_LIFETIME_S = 0.5
EARLY_RETURN_RATIO = 0.05

configure = configuring.configure


def set_lenders(
    quota: state.QuotaState, zone_holder: str, other_holders: tuple[str, ...]
) -> None:
    """Sets the VMs that loan requests are sent to.

    Args:
        quota: State of this VM.
        zone_holder: VM that holds the units of this VM's zone; empty if that
            is this VM, or unknown.
        other_holders: VMs that hold the units of the other zones, nearest
            first.
    """
    quota.zone_holder = zone_holder
    if other_holders != quota.other_holders:
        quota.other_holders = other_holders


def admit(
    quota: state.QuotaState,
    now_s: float,
    resource: str,
    request_id: str,
    first: bool = False,
) -> tuple[AdmitResult, Effects]:
    """Admits or denies a request, or queues it until `QuotaDecided`.

    A resource without a bound is not limited.

    Args:
        quota: State of this VM.
        now_s: Current time, in seconds.
        resource: Identifier of the resource.
        request_id: Identifier of the request.
        first: Whether it goes before the waiting requests, since it was
            admitted before.
    """
    resource_state = quota.resources.get(resource)
    if resource_state is None:
        return state.Admitted(), ()
    _record_arrival(quota, now_s, resource_state, 1.0)
    may_go = first or not resource_state.queue
    if may_go and admission.spend(resource_state, 1.0):
        return state.Admitted(), ()
    if len(resource_state.queue) >= admission.MAX_QUEUE_LENGTH:
        retry_s = admission.retry_after_s(quota, now_s, resource_state)
        return state.Denied(retry_s), ()
    admission.enqueue(quota, now_s, resource_state, request_id, first)
    decisions, loan_requests = _process_queues(quota, now_s, [resource_state])
    own_decisions = [
        each for each in decisions if each.request_id == request_id
    ]
    others = [each for each in decisions if each.request_id != request_id]
    produced = (*loan_requests, *admission.as_effects(now_s, others))
    if not own_decisions:
        return state.Waiting(), produced
    if own_decisions[0].admitted:
        return state.Admitted(), produced
    return state.Denied(own_decisions[0].retry_after_s), produced


def cancel(quota: state.QuotaState, request_id: str) -> None:
    """Removes a waiting request that was abandoned."""
    name = quota.waiting.pop(request_id, None)
    if name is None:
        return
    resource = quota.resources[name]
    for request in resource.queue:
        if request.request_id == request_id:
            resource.queue.remove(request)
            return


def refund(quota: state.QuotaState, now_s: float, resource: str) -> None:
    """Refunds the token of an admitted request that was not sent.

    Args:
        quota: State of this VM.
        now_s: Current time, in seconds.
        resource: Identifier of the resource.
    """
    resource_state = quota.resources.get(resource)
    if resource_state is None:
        return
    bucket.advance(resource_state, now_s)
    resource_state.tokens += 1.0
    bucket.clamp(resource_state)


def take(
    quota: state.QuotaState, now_s: float, resource: str, amount: float
) -> float:
    """Takes `amount` tokens, or returns the wait before the next attempt.

    No tokens are taken unless the result is 0. An amount larger than the
    bound's burst is taken once the bucket holds the burst, which leaves a
    negative balance. A resource without a bound is not limited.

    Args:
        quota: State of this VM.
        now_s: Current time, in seconds.
        resource: Identifier of the resource.
        amount: Tokens, such as bytes on a link.

    Returns:
        Time to wait before calling again, in seconds; 0 if the tokens were
        taken.
    """
    resource_state = quota.resources.get(resource)
    if resource_state is None:
        return 0.0
    quota.active.add(resource)
    bucket.advance(resource_state, now_s)
    resource_state.last_arrival_s = now_s
    needed = min(amount, resource_state.bound.burst)
    if bucket.has(resource_state, needed):
        resource_state.arrivals.add(now_s, amount)
        resource_state.tokens -= amount
        resource_state.shortfall = 0.0
        return 0.0
    resource_state.shortfall = max(resource_state.shortfall, needed)
    wait_s = bucket.wait_s(resource_state, needed)
    return min(wait_s, quota.settings.tick_interval_s)


def tick(quota: state.QuotaState, now_s: float) -> Effects:
    """Renews, requests and returns loans and decides waiting requests.

    Only resources in use are processed.
    """
    lending.expire_handled_requests(quota, now_s)
    borrowing.expire_loan_requests(quota, now_s)
    in_use = [quota.resources[name] for name in sorted(quota.active)]
    returns = {}
    for resource in in_use:
        bucket.advance(resource, now_s)
        surplus = returning.return_surplus(resource, now_s, 0.0)
        returns.update(surplus)
    decisions, loan_requests = _process_queues(quota, now_s, in_use, renew=True)
    for resource in in_use:
        if now_s - resource.last_arrival_s > SHORTFALL_LIFETIME_S:
            resource.shortfall = 0.0
        if _is_idle(resource, now_s):
            quota.active.discard(resource.bound.resource)
    return_messages = returning.send_returns(returns)
    decisions.extend(admission.admit_unlimited(quota))
    return (
        *return_messages,
        *loan_requests,
        *admission.as_effects(now_s, decisions),
    )


def receive(
    quota: state.QuotaState, now_s: float, sender: str, message: object
) -> Effects:
    """Handles a quota message from a peer.

    Args:
        quota: State of this VM.
        now_s: Current time, in seconds.
        sender: Name of the peer.
        message: A `LoanRequest`, `LoanResponse` or `QuotaReturn`.
    """
    match message:
        case messages.LoanRequest():
            return tuple(lending.respond(quota, now_s, sender, message))
        case messages.LoanResponse():
            return _accept_loans(quota, now_s, sender, message)
        case messages.QuotaReturn():
            return _accept_returns(quota, now_s, sender, message)
    return ()


def return_all_loans(quota: state.QuotaState, now_s: float) -> Effects:
    """Returns all borrowed units for a planned stop.

    From then on nothing is borrowed or lent, so call it once no new requests
    arrive. Loans that are in transit are returned when they arrive.
    """
    quota.stopping = True
    resources = list(quota.resources.values())
    for resource in resources:
        bucket.advance(resource, now_s)
    return _return_borrowed_units(resources)


def lenders(quota: state.QuotaState) -> frozenset[str]:
    """Returns the VMs that this VM currently borrows from."""
    return frozenset(
        key.lender
        for resource in quota.resources.values()
        for key in resource.borrowed
    )


def is_overlent(quota: state.QuotaState) -> bool:
    """Returns whether this VM has lent more units than it owns.

    That is so after its share has shrunk, until the loans have ended.
    """
    return any(
        resource.lent_units > resource.own_units
        for resource in quota.resources.values()
    )


def activate_pending_units(quota: state.QuotaState, now_s: float) -> None:
    """Ends the hold on own units, so that they become usable.

    Call it only when no other VM uses them, by loans of an earlier process of
    this VM or as their earlier owner.

    Args:
        quota: State of this VM.
        now_s: Current time, in seconds.
    """
    quota.units_held = False
    usable_s = max(now_s, quota.hold_until_s)
    for resource in quota.resources.values():
        bucket.advance(resource, now_s)
        resource.pending = [
            state.PendingUnits(entry.units, min(entry.usable_s, usable_s))
            for entry in resource.pending
        ]
        bucket.advance(resource, now_s)


def has_no_units(quota: state.QuotaState, resource: str) -> bool:
    """Returns whether this VM has no usable units of a resource."""
    resource_state = quota.resources.get(resource)
    return resource_state is not None and resource_state.usable_units == 0


def exhausted_links(quota: state.QuotaState) -> tuple[str, ...]:
    """Returns the links, as `from/to`, that lacked tokens on last use."""
    return tuple(
        name.removeprefix("link/")
        for name in quota.active
        if name.startswith("link/") and quota.resources[name].shortfall > 0
    )


def advance_all(quota: state.QuotaState, now_s: float) -> None:
    """Advances all resources to the current time, for exact balances."""
    for resource in quota.resources.values():
        bucket.advance(resource, now_s)


def balances(quota: state.QuotaState) -> tuple[state.Balance, ...]:
    """Returns the balance of each resource, as of its last update."""
    return tuple(
        state.Balance(
            resource=name,
            own_units=resource.own_units,
            lent_units=resource.lent_units,
            borrowed_units=resource.borrowed_units,
            tokens=resource.tokens,
        )
        for name, resource in sorted(quota.resources.items())
    )


def _record_arrival(
    quota: state.QuotaState,
    now_s: float,
    resource: state.ResourceState,
    amount: float,
) -> None:
    quota.active.add(resource.bound.resource)
    bucket.advance(resource, now_s)
    resource.arrivals.add(now_s, amount)
    resource.last_arrival_s = now_s


def _process_queues(
    quota: state.QuotaState,
    now_s: float,
    resources: list[state.ResourceState],
    renew: bool = False,
) -> tuple[list[admission.Decision], list[object]]:
    decisions = []
    requests = []
    for resource in resources:
        decisions.extend(admission.admit_waiting(quota, resource))
        if renew:
            renewals = borrowing.request_renewals(quota, now_s, resource)
            requests.append(renewals)
        requests.append(borrowing.request_missing(quota, now_s, resource))
    loan_requests = borrowing.send_loan_requests(quota, now_s, requests)
    for resource in resources:
        decisions.extend(admission.deny_waiting(quota, now_s, resource))
    return decisions, loan_requests


def _accept_loans(
    quota: state.QuotaState,
    now_s: float,
    sender: str,
    message: messages.LoanResponse,
) -> Effects:
    names = borrowing.accept_loans(quota, now_s, sender, message)
    resources = _find_resources(quota, names)
    decisions, loan_requests = _process_queues(quota, now_s, resources)
    decision_effects = admission.as_effects(now_s, decisions)
    if quota.stopping:
        return (*_return_borrowed_units(resources), *decision_effects)
    returns = {}
    for resource in resources:
        surplus = returning.return_surplus(resource, now_s, EARLY_RETURN_RATIO)
        returns.update(surplus)
    return_messages = returning.send_returns(returns)
    return (*loan_requests, *return_messages, *decision_effects)


def _return_borrowed_units(resources: list[state.ResourceState]) -> Effects:
    returns = {}
    for resource in resources:
        returns.update(
            returning.return_units(resource, resource.borrowed_units)
        )
    return tuple(returning.send_returns(returns))


def _accept_returns(
    quota: state.QuotaState,
    now_s: float,
    sender: str,
    message: messages.QuotaReturn,
) -> Effects:
    lending.accept_returns(quota, now_s, sender, message)
    names = tuple(returned.resource for returned in message.loans)
    resources = [each for each in _find_resources(quota, names) if each.queue]
    decisions, loan_requests = _process_queues(quota, now_s, resources)
    return (*loan_requests, *admission.as_effects(now_s, decisions))


def _find_resources(
    quota: state.QuotaState, names: tuple[str, ...]
) -> list[state.ResourceState]:
    return [quota.resources[name] for name in names if name in quota.resources]


def _is_idle(resource: state.ResourceState, now_s: float) -> bool:
    if resource.queue or resource.borrowed:
        return False
    return now_s - resource.last_arrival_s > IDLE_AFTER_S
