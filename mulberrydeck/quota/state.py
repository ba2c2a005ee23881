"""State of the quota part on one VM and the values it returns."""

import collections
import math

import attrs

from mulberrydeck.peers import messages
from mulberrydeck.quota import demand
from mulberrydeck.settings import declarations


@attrs.frozen
class Bound:
    """A fleet-wide bound, divided into units.

    Attributes:
        resource: Identifier, such as `account/acme` or `link/a/b`.
        units: Units of the whole bound; must not change for a resource.
        rate_per_s: Tokens per second over the whole fleet.
        burst: Tokens that may be spent at once over the whole fleet.
    """

    resource: str
    units: int
    rate_per_s: float
    burst: float

    def rate_of(self, units: int) -> float:
        """Returns the tokens per second that `units` give."""
        return units * self.rate_per_s / self.units

    def depth_of(self, units: int) -> float:
        """Returns the tokens that `units` can hold."""
        return units * self.burst / self.units


@attrs.frozen
class Admitted:
    """The request may go on."""


@attrs.frozen
class Waiting:
    """The request is decided later by `QuotaDecided`."""


@attrs.frozen
class Denied:
    """The request is refused.

    Attributes:
        retry_after_s: When a token can be expected, in seconds.
    """

    retry_after_s: float


@attrs.frozen
class Balance:
    """Units and tokens of one resource on this VM.

    Attributes:
        resource: Identifier of the resource.
        own_units: Units owned and usable or lent.
        lent_units: Units lent to others.
        borrowed_units: Units borrowed from others.
        tokens: Tokens that can be spent now.
    """

    resource: str
    own_units: int
    lent_units: int
    borrowed_units: int
    tokens: float


@attrs.define
class LentLoan:
    """Units that this VM lent.

    Attributes:
        loan_id: Identifier within this incarnation.
        resource: Identifier of the resource.
        borrower: Name of the borrowing VM.
        borrower_incarnation: Its process.
        units: Units lent.
        ends_s: When they are taken back, on this VM's clock, in seconds.
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
        lender_incarnation: Its process.
        loan_id: Identifier within that process.
    """

    lender: str
    lender_incarnation: str
    loan_id: int


@attrs.define
class BorrowedLoan:
    """Units that this VM borrowed.

    Attributes:
        key: Identifies the loan.
        units: Units that may be used.
        expires_s: End of use, on this VM's clock, in seconds.
    """

    key: LoanKey
    units: int
    expires_s: float


@attrs.frozen
class WaitingRequest:
    """A request that waits for a token.

    Attributes:
        request_id: The request.
        deadline_s: When it is denied at the latest, in seconds.
    """

    request_id: str
    deadline_s: float


@attrs.define
class LenderView:
    """What a borrower knows of one lender of a resource.

    Attributes:
        requested_s: When it was last asked, in seconds.
        ask_id: Unanswered ask, or 0.
        requested_units: Units of the unanswered ask.
        requested_tokens: Tokens of the unanswered ask.
        retry_s: It is not asked before this time, in seconds.
        backoff_s: Last delay after an answer that was short, in seconds.
        units_retry_s: It is not asked for units alone before this time.
        spare_tokens: Tokens that it could still lend when it answered.
        responded_s: When it answered, in seconds.
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
    """Own units that an earlier owner's loans may still cover.

    Attributes:
        units: Number of units.
        usable_s: When they become usable, in seconds.
    """

    units: int
    usable_s: float


@attrs.define
class ResourceState:
    """One resource on this VM.

    Attributes:
        bound: The fleet-wide bound.
        updated_s: Time up to which tokens are counted, in seconds.
        own_units: Units owned, usable or lent.
        pending: Owned units that are not usable yet.
        lent: Loans made, by loan identifier.
        lent_units: Sum over `lent`.
        borrowed: Loans taken.
        borrowed_units: Sum over `borrowed`.
        tokens: Tokens at `updated_s`.
        arrivals: Estimate of the arrival rate.
        last_arrival_s: Time of the last arrival, in seconds.
        shortfall: Tokens that `take` lacked at its last call.
        queue: Requests that wait, in the order of arrival.
        lenders: What is known of each lender, by its name.
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
        """Tokens per second that this VM gains."""
        return self.bound.rate_of(self.usable_units)

    @property
    def depth(self) -> float:
        """Tokens that this VM can hold."""
        return self.bound.depth_of(self.usable_units)


@attrs.frozen
class SentLoanRequest:
    """An ask that was not answered yet.

    Attributes:
        lender: Name of the VM that was asked.
        sent_s: When it was sent, in seconds.
        requests: What was asked for.
    """

    lender: str
    sent_s: float
    requests: tuple[messages.QuotaRequest, ...]


@attrs.frozen
class LoanRequestKey:
    """Identifies an ask that this VM answered.

    Attributes:
        borrower: Name of the asking VM.
        incarnation: Its process.
        ask_id: Identifier within that process.
    """

    borrower: str
    incarnation: str
    ask_id: int


@attrs.define
class QuotaState:
    """Quota of all resources on one VM.

    Attributes:
        incarnation: Identifier of this process.
        settings: Settings of this VM.
        resources: State per resource.
        active: Resources that `tick` has to look at.
        zone_holder: Holder of this VM's zone; empty if itself or unknown.
        other_holders: Holders of the other zones.
        owners: VMs that own units of a resource; all holders if not named.
        waiting: Resource of each waiting request.
        released: Waiting requests whose bound was removed.
        asks: Unanswered asks by identifier.
        answered: Answered asks with the time after which they are forgotten.
        next_ask_id: Identifier of the next ask.
        next_loan_id: Identifier of the next loan.
        removed_s: When a resource lost its bound, in seconds, by name.
        stopping: Whether a planned stop has begun.
    """

    incarnation: str
    settings: declarations.Settings
    resources: dict[str, ResourceState] = attrs.field(factory=dict)
    active: set[str] = attrs.field(factory=set)
    zone_holder: str = ""
    other_holders: tuple[str, ...] = ()
    owners: dict[str, frozenset[str]] = attrs.field(factory=dict)
    waiting: dict[str, str] = attrs.field(factory=dict)
    unlimited_requests: list[str] = attrs.field(factory=list)
    loan_requests: dict[int, SentLoanRequest] = attrs.field(factory=dict)
    answered_requests: dict[LoanRequestKey, float] = attrs.field(factory=dict)
    next_ask_id: int = 1
    next_loan_id: int = 1
    removed_s: dict[str, float] = attrs.field(factory=dict)
    stopping: bool = False
