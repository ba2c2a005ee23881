"""Lender side: granting, extending and taking back loans."""

from mulberrydeck.peers import messages
from mulberrydeck.quota import bucket
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import needs
from mulberrydeck.quota import state


def respond(
    quota: state.QuotaState,
    now_s: float,
    sender: str,
    loan_request: messages.LoanRequest,
) -> list[object]:
    """Lends spare units and returns the response as an effect.

    A duplicate of a request that was responded to is dropped, because its
    loans already exist.

    Args:
        quota: State of this VM.
        now_s: Current time, in seconds.
        sender: Name of the borrower.
        loan_request: Units and tokens that it requests.
    """
    key = state.LoanRequestKey(
        sender, loan_request.incarnation, loan_request.ask_id
    )
    if key in quota.handled_requests:
        return []
    quota.handled_requests[key] = now_s + quota.settings.quota_lease_s
    grants = []
    for request in loan_request.requests:
        grants.extend(_grant(quota, now_s, key, request))
    loan = messages.LoanResponse(
        ask_id=loan_request.ask_id,
        borrower_incarnation=loan_request.incarnation,
        lender_incarnation=quota.incarnation,
        sent_s=loan_request.sent_s,
        grants=tuple(grants),
    )
    return [quota_effects.SendMessage(sender, loan)]


def expire_handled_requests(quota: state.QuotaState, now_s: float) -> None:
    """Drops records of requests whose loans have expired by now."""
    while quota.handled_requests:
        oldest = next(iter(quota.handled_requests))
        if quota.handled_requests[oldest] > now_s:
            return
        del quota.handled_requests[oldest]


def accept_returns(
    quota: state.QuotaState,
    now_s: float,
    sender: str,
    message: messages.QuotaReturn,
) -> None:
    """Makes returned units usable here again.

    The units that a borrower keeps of a loan only decrease, so that duplicate
    and reordered returns have no effect.
    """
    if message.lender_incarnation != quota.incarnation:
        return
    for returned in message.loans:
        resource = quota.resources.get(returned.resource)
        if resource is not None:
            bucket.advance(resource, now_s)
            _reduce_loan(resource, sender, returned)


def _reduce_loan(
    resource: state.ResourceState,
    sender: str,
    returned: messages.ReturnedLoan,
) -> None:
    loan = resource.lent.get(returned.loan_id)
    if loan is None or loan.borrower != sender:
        return
    kept_units = max(0, returned.kept_units)
    if kept_units >= loan.units:
        return
    freed_units = loan.units - kept_units
    resource.lent_units -= freed_units
    loan.units = kept_units
    if kept_units == 0:
        del resource.lent[loan.loan_id]
    max_tokens = resource.bound.depth_of(freed_units)
    resource.tokens += min(max(0.0, returned.tokens), max_tokens)
    bucket.clamp(resource)


def _grant(
    quota: state.QuotaState,
    now_s: float,
    key: state.LoanRequestKey,
    request: messages.ResourceRequest,
) -> list[messages.QuotaGrant]:
    resource = quota.resources.get(request.resource)
    if resource is None:
        return [messages.QuotaGrant(request.resource, 0, 0, 0.0, 0.0)]
    bucket.advance(resource, now_s)
    grants = _extend_loans(quota, now_s, resource, key, request)
    grants.append(_make_loan(quota, now_s, resource, key, request))
    return grants


def _extend_loans(
    quota: state.QuotaState,
    now_s: float,
    resource: state.ResourceState,
    key: state.LoanRequestKey,
    request: messages.ResourceRequest,
) -> list[messages.QuotaGrant]:
    if quota.stopping or resource.lent_units > resource.own_units:
        return []
    grants = []
    for loan_id in request.renew:
        loan = resource.lent.get(loan_id)
        if loan is None or not _belongs_to(loan, key):
            continue
        loan.ends_s = max(loan.ends_s, _loan_end_s(quota, now_s))
        grants.append(
            messages.QuotaGrant(
                resource=request.resource,
                loan_id=loan_id,
                units=loan.units,
                tokens=0.0,
                duration_s=quota.settings.quota_lease_s,
            )
        )
    return grants


def _belongs_to(loan: state.LentLoan, key: state.LoanRequestKey) -> bool:
    return (
        loan.borrower == key.borrower
        and loan.borrower_incarnation == key.incarnation
    )


def _make_loan(
    quota: state.QuotaState,
    now_s: float,
    resource: state.ResourceState,
    key: state.LoanRequestKey,
    request: messages.ResourceRequest,
) -> messages.QuotaGrant:
    free_tokens = _spare_tokens(quota, resource, now_s)
    wanted_tokens = min(request.tokens, free_tokens)
    units = min(
        _unlent_units(quota, resource),
        max(
            needs.units_for_tokens(resource, wanted_tokens),
            _spare_for_rate(resource, now_s, request.units),
        ),
    )
    if units <= 0:
        spare_tokens = _spare_tokens(quota, resource, now_s)
        return messages.QuotaGrant(
            request.resource, 0, 0, 0.0, 0.0, spare_tokens
        )
    share = min(free_tokens, resource.tokens * units / resource.usable_units)
    tokens = max(wanted_tokens, share)
    tokens = min(tokens, resource.bound.depth_of(units))
    loan = state.LentLoan(
        loan_id=quota.next_loan_id,
        resource=request.resource,
        borrower=key.borrower,
        borrower_incarnation=key.incarnation,
        units=units,
        ends_s=_loan_end_s(quota, now_s),
    )
    quota.next_loan_id += 1
    resource.lent[loan.loan_id] = loan
    resource.lent_units += units
    resource.tokens -= tokens
    bucket.clamp(resource)
    return messages.QuotaGrant(
        resource=request.resource,
        loan_id=loan.loan_id,
        units=units,
        tokens=tokens,
        duration_s=quota.settings.quota_lease_s,
        spare_tokens=_spare_tokens(quota, resource, now_s),
    )


def _loan_end_s(quota: state.QuotaState, now_s: float) -> float:
    settings = quota.settings
    return now_s + settings.quota_lease_s + settings.lease_margin_s


def _unlent_units(
    quota: state.QuotaState, resource: state.ResourceState
) -> int:
    if quota.stopping:
        return 0
    return resource.own_units - resource.lent_units


def _spare_tokens(
    quota: state.QuotaState, resource: state.ResourceState, now_s: float
) -> float:
    unreserved = resource.tokens - needs.reserved_tokens(resource, now_s)
    max_tokens = resource.bound.depth_of(max(0, _unlent_units(quota, resource)))
    return max(0.0, min(unreserved, max_tokens))


def _spare_for_rate(
    resource: state.ResourceState, now_s: float, wanted: int
) -> int:
    spare = resource.usable_units - needs.reserved_units(resource, now_s)
    return min(wanted, spare)
