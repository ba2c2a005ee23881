"""Effects that the reducer returns and the event loop carries out."""

import enum
import math

import attrs

from mulberrydeck.steering import registry
from mulberrydeck.steering import sync_plans


class Placement(enum.Enum):
    """How the target of an attempt was chosen."""

    UNSCHEDULED = "unscheduled"
    GRANTED = "granted"
    # By this VM, since no scheduler granted a slot in time.
    ALONE = "alone"


@attrs.frozen
class Forward:
    """Send the request to a target.

    Attributes:
        request_id: The request.
        attempt: Number of this attempt, from 1.
        target: Name of the target.
        address: `ip:port` of the target.
        account: Client account, or empty.
        deadline_s: Deadline of the final response, in seconds.
        repeatable: Whether the request may run more than once.
        send_by_s: Latest time of the first byte; later, the request is decided
            anew.
        cold: Whether the target is known to be cold.
        placement: How the target was chosen.
        slot_wait_s: Time that the request waited for a granted slot, in
            seconds.
        inputs: Log fields with the values that determined the decision, and
            their ages or versions.
    """

    request_id: str
    attempt: int
    target: str
    address: str
    account: str
    deadline_s: float
    repeatable: bool
    send_by_s: float = math.inf
    cold: bool = False
    placement: Placement = Placement.UNSCHEDULED
    slot_wait_s: float = 0.0
    inputs: dict[str, object] = attrs.field(factory=dict)


@attrs.frozen
class Deliver:
    """Send the response of the last attempt to the caller."""

    request_id: str


@attrs.frozen
class Refuse:
    """Send an error response that this VM generates itself.

    Attributes:
        request_id: The request.
        status: HTTP status.
        kind: Machine-readable kind of the error, such as `rate-limited`.
        detail: One sentence that says what the caller can do.
        retry_after_s: Time after which a retry is useful, in seconds; None if
            it is not.
        inputs: Log fields with the values that determined the decision, and
            their ages or versions.
    """

    request_id: str
    status: int
    kind: str
    detail: str
    retry_after_s: float | None = None
    inputs: dict[str, object] = attrs.field(factory=dict)


Decision = Forward | Deliver | Refuse


@attrs.frozen
class FollowStore:
    """Change the source of this VM's updates of the store.

    Attributes:
        plan: The new plan.
    """

    plan: sync_plans.SyncPlan


@attrs.frozen
class ListVms:
    """List the registered VMs anew."""


@attrs.frozen
class ConnectPeer:
    """Open or replace the connection to another VM.

    Attributes:
        record: Registered record of the VM.
    """

    record: registry.VmRecord


@attrs.frozen
class DisconnectPeer:
    """Close the connection to another VM.

    Attributes:
        name: Name of the VM.
    """

    name: str


@attrs.frozen
class Log:
    """Write a log line.

    Attributes:
        part: Part of the program, which prefixes the line.
        text: A short sentence.
        fields: Further fields of the line.
    """

    part: str
    text: str
    fields: dict[str, object]
