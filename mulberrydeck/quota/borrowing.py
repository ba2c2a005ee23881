"""Borrower side: loan requests, received loans and renewals."""

import math

from mulberrydeck.peers import messages
from mulberrydeck.quota import bucket
from mulberrydeck.quota import choosing
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import needs
from mulberrydeck.quota import state

FULL_GRANT_RATIO = 0.99
UNITS_RETRY_S = 1.0
UNITS_REQUEST_ABOVE_RATIO = 1.1
OVERREQUEST_RATIO = 1.2
PREFETCH_S = 0.1
RENEW_BELOW_LEASE_RATIO = 0.5

Requests = dict[str, messages.ResourceRequest]


def request_missing(
    quota: state.QuotaState, now_s: float, resource: state.ResourceState
) -> Requests:
    """Returns requests to lenders that cover the current shortage.

    The holder of this VM's zone comes first. If it cannot help, the others
    follow, those with the most tokens first, until together they are expected
    to hold enough.

    Args:
        quota: State of this VM.
        now_s: Current time, in seconds.
        resource: The resource, advanced to `now_s`.
    """
    if quota.stopping:
        return {}
    choosing.time_out_requests(resource, now_s)
    tokens = _missing_tokens(quota, resource, now_s)
    units = _missing_units(resource, now_s)
    ready = choosing.ready_lenders(quota, resource, now_s)
    if tokens > 0:
        shares = choosing.split_tokens(quota, resource, now_s, ready, tokens)
    elif units > 0:
        shares = choosing.pick_units_lender(resource, now_s, ready)
    else:
        return {}
    return {
        lender: messages.ResourceRequest(
            resource=resource.bound.resource,
            units=math.ceil(units * share),
            tokens=tokens * share,
        )
        for lender, share in shares.items()
    }


def request_renewals(
    quota: state.QuotaState, now_s: float, resource: state.ResourceState
) -> Requests:
    """Returns requests that extend loans before they expire."""
    if quota.stopping:
        return {}
    renew_after_s = quota.settings.quota_lease_s * RENEW_BELOW_LEASE_RATIO
    by_lender: dict[str, list[int]] = {}
    for loan in resource.borrowed.values():
        view = resource.lenders.setdefault(loan.key.lender, state.LenderView())
        remaining_s = loan.expires_s - now_s
        if remaining_s < renew_after_s and choosing.may_renew(view, now_s):
            by_lender.setdefault(loan.key.lender, []).append(loan.key.loan_id)
    return {
        lender: messages.ResourceRequest(
            resource.bound.resource, 0, renew=tuple(loan_ids)
        )
        for lender, loan_ids in by_lender.items()
    }


def send_loan_requests(
    quota: state.QuotaState,
    now_s: float,
    requests: list[Requests],
) -> list[object]:
    """Returns one effect per lender that sends it one loan request.

    The loan request covers all resources.

    Args:
        quota: State of this VM.
        now_s: Current time, in seconds.
        requests: Requests by lender; one item per resource and purpose.
    """
    by_lender: dict[str, Requests] = {}
    for requests_by_lender in requests:
        for lender, request in requests_by_lender.items():
            parts = by_lender.setdefault(lender, {})
            _merge_request(parts, request)
    return [
        _send_loan_request(quota, now_s, lender, tuple(parts.values()))
        for lender, parts in by_lender.items()
    ]


def accept_loans(
    quota: state.QuotaState,
    now_s: float,
    sender: str,
    message: messages.LoanResponse,
) -> tuple[str, ...]:
    """Takes the loans of a response and returns the affected resources.

    Only the first response to a loan request counts. Duplicates, responses to
    an earlier incarnation and responses from another VM are dropped.
    """
    loan_request = quota.loan_requests.get(message.ask_id)
    if loan_request is None or loan_request.lender != sender:
        return ()
    if message.borrower_incarnation != quota.incarnation:
        return ()
    del quota.loan_requests[message.ask_id]
    for request in loan_request.requests:
        resource = quota.resources.get(request.resource)
        if resource is not None:
            bucket.advance(resource, now_s)
            _apply_grants(now_s, resource, request, loan_request, message)
    return tuple(request.resource for request in loan_request.requests)


def expire_loan_requests(quota: state.QuotaState, now_s: float) -> None:
    """Drops outstanding requests whose loans would have expired by now."""
    limit_s = now_s - quota.settings.quota_lease_s
    while quota.loan_requests:
        oldest = next(iter(quota.loan_requests))
        if quota.loan_requests[oldest].sent_s > limit_s:
            return
        del quota.loan_requests[oldest]


def _missing_tokens(
    quota: state.QuotaState, resource: state.ResourceState, now_s: float
) -> float:
    missing = needs.backlog_tokens(resource) - resource.tokens
    if missing <= bucket.TOKEN_TOLERANCE:
        return 0.0
    prefetched = resource.arrivals.rate_at(now_s) * PREFETCH_S
    missing = min(
        missing * OVERREQUEST_RATIO + prefetched, resource.bound.burst
    )
    expected = choosing.expected_tokens(quota, resource, now_s)
    return max(0.0, missing - expected)


def _missing_units(resource: state.ResourceState, now_s: float) -> int:
    wanted = needs.wanted_units(resource, now_s)
    if wanted <= resource.usable_units * UNITS_REQUEST_ABOVE_RATIO:
        return 0
    requested = sum(
        view.requested_units
        for view in resource.lenders.values()
        if choosing.awaits_response(view, now_s)
    )
    return max(0, wanted - resource.usable_units - requested)


def _merge_request(parts: Requests, request: messages.ResourceRequest) -> None:
    earlier = parts.get(request.resource)
    if earlier is None:
        parts[request.resource] = request
        return
    parts[request.resource] = messages.ResourceRequest(
        resource=request.resource,
        units=earlier.units + request.units,
        tokens=earlier.tokens + request.tokens,
        renew=earlier.renew + request.renew,
    )


def _send_loan_request(
    quota: state.QuotaState,
    now_s: float,
    lender: str,
    requests: tuple[messages.ResourceRequest, ...],
) -> quota_effects.SendMessage:
    ask_id = quota.next_ask_id
    quota.next_ask_id += 1
    quota.loan_requests[ask_id] = state.SentLoanRequest(lender, now_s, requests)
    for request in requests:
        resource = quota.resources[request.resource]
        view = resource.lenders.setdefault(lender, state.LenderView())
        view.requested_s = now_s
        view.ask_id = ask_id
        view.requested_units = request.units
        view.requested_tokens = request.tokens
    loan_request = messages.LoanRequest(
        ask_id, quota.incarnation, now_s, requests
    )
    return quota_effects.SendMessage(lender, loan_request)


def _apply_grants(
    now_s: float,
    resource: state.ResourceState,
    request: messages.ResourceRequest,
    loan_request: state.SentLoanRequest,
    message: messages.LoanResponse,
) -> None:
    view = resource.lenders.setdefault(loan_request.lender, state.LenderView())
    units = 0
    tokens = 0.0
    for grant in message.grants:
        if grant.resource != request.resource:
            continue
        view.spare_tokens = grant.spare_tokens
        view.responded_s = now_s
        if grant.units <= 0:
            continue
        key = state.LoanKey(
            loan_request.lender, message.lender_incarnation, grant.loan_id
        )
        expires_s = loan_request.sent_s + grant.duration_s
        if grant.loan_id in request.renew:
            _extend_loan(resource, key, expires_s)
        elif expires_s > now_s:
            units += grant.units
            tokens += grant.tokens
            _add_loan(resource, key, grant, expires_s)
    if view.ask_id == message.ask_id:
        view.ask_id = 0
    if units < request.units:
        view.units_retry_s = now_s + UNITS_RETRY_S
    if tokens < request.tokens * FULL_GRANT_RATIO:
        choosing.back_off(resource, view, now_s)
    elif request.tokens > 0:
        view.backoff_s = 0.0


def _extend_loan(
    resource: state.ResourceState, key: state.LoanKey, expires_s: float
) -> None:
    loan = resource.borrowed.get(key)
    if loan is not None:
        loan.expires_s = max(loan.expires_s, expires_s)


def _add_loan(
    resource: state.ResourceState,
    key: state.LoanKey,
    grant: messages.QuotaGrant,
    expires_s: float,
) -> None:
    if key in resource.borrowed:
        return
    resource.borrowed[key] = state.BorrowedLoan(key, grant.units, expires_s)
    resource.borrowed_units += grant.units
    resource.tokens += grant.tokens
    bucket.clamp(resource)
