"""Quota state of one VM, and the values that the reducer returns."""

import collections
import math

import attrs

from mulberrydeck.peers import messages
from mulberrydeck.quota import demand
from mulberrydeck.settings import declarations


@attrs.frozen
class Bound:
    """A fleet-wide token bucket limit, divided into equal units.

    Attributes:
        resource: Identifier, such as `account/acme` or `link/a/b`.
        units: Units of the whole bound; must not change for a resource.
        rate_per_s: Refill rate of the whole fleet, in tokens per second.
        burst: Bucket depth of the whole fleet, in tokens.
    """

    resource: str
    units: int
    rate_per_s: float
    burst: float

    def rate_of(self, units: int) -> float:
        """Returns the refill rate of `units`, in tokens per second."""
        return units * self.rate_per_s / self.units

    def depth_of(self, units: int) -> float:
        """Returns the bucket depth of `units`, in tokens."""
        return units * self.burst / self.units


@attrs.frozen
class Admitted:
    """The request is admitted."""


@attrs.frozen
class Waiting:
    """The request is queued; a `QuotaDecided` event follows."""


@attrs.frozen
class Denied:
    """The request is denied.

    Attributes:
        retry_after_s: Expected time until a token is available, in seconds.
    """

    retry_after_s: float


@attrs.frozen
class Balance:
    """Units and tokens of one resource on this VM.

    Attributes:
        resource: Identifier of the resource.
        own_units: Units owned, whether usable or lent.
        lent_units: Units lent to other VMs.
        borrowed_units: Units borrowed from other VMs.
        tokens: Tokens that can be spent now; negative after overspending.
    """

    resource: str
    own_units: int
    lent_units: int
    borrowed_units: int
    tokens: float


@attrs.define
class LentLoan:
    """A loan made by this VM.

    Attributes:
        loan_id: Identifier within this incarnation.
        resource: Identifier of the resource.
        borrower: Name of the borrowing VM.
        borrower_incarnation: Identifier of the borrower's process.
        units: Units lent.
        ends_s: When the units become usable here again, on this VM's clock,
            in seconds.
    """

    loan_id: int
    resource: str
    borrower: str
    borrower_incarnation: str
    units: int
    ends_s: float


@attrs.frozen
class LoanKey:
    """Identifies a borrowed loan.

    Attributes:
        lender: Name of the lending VM.
        lender_incarnation: Identifier of the lender's process.
        loan_id: Identifier within that process.
    """

    lender: str
    lender_incarnation: str
    loan_id: int


@attrs.define
class BorrowedLoan:
    """A loan taken by this VM.

    Attributes:
        key: Identifies the loan.
        units: Units borrowed.
        expires_s: When the loan expires, on this VM's clock, in seconds.
    """

    key: LoanKey
    units: int
    expires_s: float


@attrs.frozen
class WaitingRequest:
    """A queued request that waits for a token.

    Attributes:
        request_id: Identifier of the request.
        deadline_s: Latest time of the decision, in seconds.
    """

    request_id: str
    deadline_s: float


@attrs.define
class LenderView:
    """What a borrower knows about one lender of a resource.

    Attributes:
        requested_s: Time of the last loan request, in seconds.
        ask_id: Identifier of the outstanding loan request, or 0.
        requested_units: Units in the outstanding loan request.
        requested_tokens: Tokens in the outstanding loan request.
        retry_s: Earliest time of the next loan request, in seconds.
        backoff_s: Current back-off delay, in seconds.
        units_retry_s: Earliest time of the next request for units without
            tokens, in seconds.
        spare_tokens: Tokens that the lender could still lend as of its last
            response.
        responded_s: Time of the last response, in seconds.
    """

    requested_s: float = -math.inf
    ask_id: int = 0
    requested_units: int = 0
    requested_tokens: float = 0.0
    retry_s: float = -math.inf
    backoff_s: float = 0.0
    units_retry_s: float = -math.inf
    spare_tokens: float = 0.0
    responded_s: float = -math.inf


@attrs.frozen
class PendingUnits:
    """Own units that are not usable yet.

    Loans of an earlier owner may still cover them.

    Attributes:
        units: Number of units.
        usable_s: When they become usable, in seconds.
    """

    units: int
    usable_s: float


@attrs.define
class ResourceState:
    """Quota of one resource on this VM.

    Attributes:
        bound: The fleet-wide bound.
        updated_s: Time of the last refill, in seconds.
        own_units: Units owned, whether usable or lent; without `pending`.
        pending: Own units that are not usable yet.
        lent: Loans made, by loan identifier.
        lent_units: Sum of units over `lent`.
        borrowed: Loans taken, by key.
        borrowed_units: Sum of units over `borrowed`.
        tokens: Tokens at `updated_s`; negative after overspending.
        arrivals: Estimate of the arrival rate.
        last_arrival_s: Time of the last arrival, in seconds.
        shortfall: Largest amount that `take` could not grant since it last
            succeeded, in tokens; 0 if none.
        queue: Waiting requests in order of arrival.
        lenders: State of the exchange with each lender, by VM name.
    """

    bound: Bound
    updated_s: float
    own_units: int = 0
    pending: list[PendingUnits] = attrs.field(factory=list)
    lent: dict[int, LentLoan] = attrs.field(factory=dict)
    lent_units: int = 0
    borrowed: dict[LoanKey, BorrowedLoan] = attrs.field(factory=dict)
    borrowed_units: int = 0
    tokens: float = 0.0
    arrivals: demand.DemandEstimate = attrs.field(factory=demand.DemandEstimate)
    last_arrival_s: float = -math.inf
    shortfall: float = 0.0
    queue: collections.deque[WaitingRequest] = attrs.field(
        factory=collections.deque
    )
    lenders: dict[str, LenderView] = attrs.field(factory=dict)

    @property
    def usable_units(self) -> int:
        """Units whose tokens this VM may spend."""
        return max(0, self.own_units - self.lent_units) + self.borrowed_units

    @property
    def rate_per_s(self) -> float:
        """Refill rate on this VM, in tokens per second."""
        return self.bound.rate_of(self.usable_units)

    @property
    def depth(self) -> float:
        """Bucket depth on this VM, in tokens."""
        return self.bound.depth_of(self.usable_units)


@attrs.frozen
class SentLoanRequest:
    """An outstanding loan request (a `LoanRequest` without a response).

    Attributes:
        lender: Name of the VM to which it was sent.
        sent_s: When it was sent, in seconds.
        requests: Units and tokens requested, per resource.
    """

    lender: str
    sent_s: float
    requests: tuple[messages.ResourceRequest, ...]


@attrs.frozen
class LoanRequestKey:
    """Identifies a loan request that this VM responded to.

    Attributes:
        borrower: Name of the borrowing VM.
        incarnation: Identifier of the borrower's process.
        ask_id: Identifier within that process.
    """

    borrower: str
    incarnation: str
    ask_id: int


@attrs.frozen
class KnownHolders:
    """Holders that own units of a resource, with what they were chosen from.

    Attributes:
        holders: All other holders.
        owners: VMs that own units of the resource.
        others: Those of the holders that are owners, nearest first.
    """

    holders: tuple[str, ...]
    owners: frozenset[str]
    others: tuple[str, ...]


@attrs.define
class QuotaState:
    """Quota of all resources on one VM.

    Attributes:
        incarnation: Identifier of this process.
        settings: Settings of this VM.
        resources: State per resource.
        active: Resources that `tick` processes.
        zone_holder: VM that holds the units of this VM's zone; empty if that
            is this VM, or unknown.
        other_holders: VMs that hold the units of the other zones, nearest
            first.
        owners: VMs that own units of a resource; for a resource that is not
            listed, all holders.
        holders_of: Other holders that own units, by resource.
        waiting: Resource of each waiting request, by request identifier.
        unlimited_requests: Waiting requests whose bound was removed.
        loan_requests: Outstanding loan requests by identifier.
        handled_requests: Loan requests that this VM responded to, with the time
            in seconds until which duplicates are recognised.
        next_ask_id: Identifier of the next loan request.
        next_loan_id: Identifier of the next loan.
        removed_s: When a resource lost its bound, in seconds, by resource.
        stopping: Whether a planned stop has begun.
        units_held: Whether own units stay pending until
            `activate_pending_units`, as other VMs may still use them.
        hold_until_s: Earliest time at which held units may become usable, in
            seconds.
    """

    incarnation: str
    settings: declarations.Settings
    resources: dict[str, ResourceState] = attrs.field(factory=dict)
    active: set[str] = attrs.field(factory=set)
    zone_holder: str = ""
    other_holders: tuple[str, ...] = ()
    owners: dict[str, frozenset[str]] = attrs.field(factory=dict)
    holders_of: dict[str, KnownHolders] = attrs.field(factory=dict)
    waiting: dict[str, str] = attrs.field(factory=dict)
    unlimited_requests: list[str] = attrs.field(factory=list)
    loan_requests: dict[int, SentLoanRequest] = attrs.field(factory=dict)
    handled_requests: dict[LoanRequestKey, float] = attrs.field(factory=dict)
    next_ask_id: int = 1
    next_loan_id: int = 1
    removed_s: dict[str, float] = attrs.field(factory=dict)
    stopping: bool = False
    units_held: bool = False
    hold_until_s: float = -math.inf
