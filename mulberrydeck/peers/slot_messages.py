"""Messages between a VM and the scheduler of a service in a region.

All times are in seconds. Those named `remaining` are relative to the moment of
sending, since the clocks of VMs differ.
"""

import attrs

# Results of attempts, in `SlotReturn`.
SUCCEEDED = "succeeded"
FAILED = "failed"
REJECTED = "rejected"
EXPIRED = "expired"
# The VM did not send the request, since it cannot use or reach the target.
UNUSABLE = "unusable"
# The VM did not send the request, for a reason of its own.
NOT_SENT = ""
NOT_RUN_RESULTS = frozenset((REJECTED, UNUSABLE, NOT_SENT))

# Reasons of a `SlotRefusal`.
OVERLOAD = "overload"
NO_TARGET = "no-target"
STOPPING = "stopping"


@attrs.frozen
class HeldSlot:
    """A slot that a VM uses at a target.

    Attributes:
        request_id: Identifier of the request, unique to the VM.
        target: Name of the target.
        deadline_remaining_s: Time until the request's deadline.
        attempt: Number of the attempt.
    """

    request_id: str
    target: str
    deadline_remaining_s: float
    attempt: int = 0


@attrs.frozen
class SlotsHeld:
    """Slots that a VM uses, for a scheduler that does not know of them.

    Attributes:
        service: Name of the service.
        slots: The slots.
    """

    service: str
    slots: tuple[HeldSlot, ...]


@attrs.frozen
class SlotRequest:
    """Asks the scheduler of a service for a slot for one attempt.

    Attributes:
        request_id: Identifier of the request, unique to the VM.
        service: Name of the service.
        route: Name of the route, which determines the work time.
        object_digest: Hash of the object that the request concerns; None if
            unknown.
        account: Client account, or empty.
        priority: Priority; 0 is the highest.
        goal_remaining_s: Time until the latency goal; negative if missed.
        deadline_remaining_s: Time until the deadline.
        excluded: Names of targets that must not be granted.
        may_wait: Whether the request may wait in the scheduler's queue.
        attempt: Number of the attempt. All attempts of a request have the same
            identifier, and messages about an earlier one may come late.
    """

    request_id: str
    service: str
    route: str
    object_digest: int | None
    account: str
    priority: int
    goal_remaining_s: float
    deadline_remaining_s: float
    excluded: tuple[str, ...] = ()
    may_wait: bool = True
    attempt: int = 0


@attrs.frozen
class SlotGrant:
    """Grants a slot of a target.

    Attributes:
        request_id: Identifier of the request.
        service: Name of the service.
        target: Name of the target.
        waited_s: Time that the request waited in the queue.
        reason: Why the target was chosen, for logs.
        attempt: Number of the attempt.
    """

    request_id: str
    service: str
    target: str
    waited_s: float = 0.0
    reason: str = ""
    attempt: int = 0


@attrs.frozen
class SlotQueued:
    """The request waits in the scheduler's queue.

    Attributes:
        request_id: Identifier of the request.
        wait_s: Expected time until the grant.
        max_wait_s: Time by which a grant or a refusal follows.
        attempt: Number of the attempt.
    """

    request_id: str
    wait_s: float
    max_wait_s: float
    attempt: int = 0


@attrs.frozen
class SlotRefusal:
    """The scheduler grants no slot.

    Attributes:
        request_id: Identifier of the request.
        reason: Why, one of the constants of this module.
        retry_after_s: Time until the backlog is expected to clear.
        attempt: Number of the attempt.
    """

    request_id: str
    reason: str
    retry_after_s: float = 0.0
    attempt: int = 0


@attrs.frozen
class SlotReturn:
    """The VM no longer needs a slot, or no longer waits for one.

    Attributes:
        request_id: Identifier of the request.
        service: Name of the service.
        result: What became of the attempt, one of the constants of this module.
        duration_s: Duration of the attempt; None if the target did not
            complete the request.
        load: Running and waiting requests that the target reported; None if it
            reported none.
        speed: Work time at the target as a multiple of the usual one; None if
            it reported none.
        attempt: Number of the attempt.
    """

    request_id: str
    service: str
    result: str = NOT_SENT
    duration_s: float | None = None
    load: int | None = None
    speed: float | None = None
    attempt: int = 0
