"""Effects that the reducer returns for the shell to carry out."""

import attrs

from mulberrydeck.steering import registry
from mulberrydeck.steering import sync_plans


@attrs.frozen
class Forward:
    """Send the request to a target.

    Attributes:
        request_id: The request.
        attempt: Number of this attempt, from 1.
        target: Name of the target.
        address: `ip:port` of the target.
        account: Client account, or empty.
        ends_s: When the final answer is due, in seconds.
        repeatable: Whether the request may run more than once.
        cold: Whether the target is known to be cold.
        inputs: What decided it, with ages or versions, for logs.
    """

    request_id: str
    attempt: int
    target: str
    address: str
    account: str
    ends_s: float
    repeatable: bool
    cold: bool = False
    inputs: dict[str, object] = attrs.field(factory=dict)


@attrs.frozen
class Deliver:
    """Pass the answer of the last attempt to the caller."""

    request_id: str


@attrs.frozen
class Refuse:
    """Answer the request with a failure of this VM's own.

    Attributes:
        request_id: The request.
        status: HTTP status.
        kind: Machine-readable kind, such as `rate-limited`.
        detail: One sentence that names the remedy.
        retry_after_s: When to come back, in seconds; None when never.
        inputs: What decided it, with ages or versions, for logs.
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
    """Learn from now on in another way what the store holds."""

    plan: sync_plans.SyncPlan


@attrs.frozen
class ConnectPeer:
    """Open or replace the connection to another VM."""

    record: registry.VmRecord


@attrs.frozen
class DisconnectPeer:
    """Close the connection to another VM."""

    name: str


@attrs.frozen
class Log:
    """Write a log line.

    Attributes:
        part: Prefix of the part.
        text: A short sentence.
        fields: Further members of the line.
    """

    part: str
    text: str
    fields: dict[str, object]
