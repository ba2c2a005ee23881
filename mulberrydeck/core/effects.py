"""Effects that the reducer returns and the shell executes."""

import attrs

from mulberrydeck import errors
from mulberrydeck.core import events


@attrs.frozen
class ConnectPeer:
    """Open a connection to a peer.

    Attributes:
        name: Name of the VM.
        address: Where it receives peer messages, `host:port`.
    """

    name: str
    address: str


@attrs.frozen
class DisconnectPeer:
    """Close the connection to a peer."""

    name: str


@attrs.frozen
class Refuse:
    """Refuse a request; no other decision follows.

    Attributes:
        request_id: The request.
        problem: Problem to respond with.
        account: Client account, or empty if it is unknown.
    """

    request_id: str
    problem: errors.Problem
    account: str = ""


@attrs.frozen
class ForwardToTarget:
    """Send a request to a target.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt, from 1.
        target: Name of the target.
        address: Its address, `host:port`.
        account: Client account, or empty on open routes.
        remaining_s: Time until the deadline of the request, in seconds.
        repeatable: Whether the request is idempotent.
        start_by_s: Time on the VM's clock by which the first byte must be
            sent, since the admission then expires, in seconds.
    """

    request_id: str
    attempt: int
    target: str
    address: str
    account: str
    remaining_s: float
    repeatable: bool
    start_by_s: float = float("inf")


@attrs.frozen
class ForwardToVm:
    """Relay a request to another VM, which owns targets of the service.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt, from 1.
        vm: Name of the VM.
        address: Its relay address, `host:port`.
        account: Client account, or empty on open routes.
        remaining_s: Time until the deadline of the request, in seconds.
        repeatable: Whether the request is idempotent.
        link: `source/destination` regions, or empty within a region.
        start_by_s: Time on the VM's clock by which the first byte must be
            sent, since the admission then expires, in seconds.
    """

    request_id: str
    attempt: int
    vm: str
    address: str
    account: str
    remaining_s: float
    repeatable: bool
    link: str = ""
    start_by_s: float = float("inf")


@attrs.frozen
class ClaimRun:
    """Claim a single run in the platform.

    Attributes:
        request_id: The request that waits for the decision.
        attempt: Number of the entry VM's attempt; a later attempt of the same
            request replaces the claim of an earlier one.
        account: Client account.
        run_id: Identifier of the run, set by the caller.
    """

    request_id: str
    attempt: int
    account: str
    run_id: str


@attrs.frozen
class RecordRun:
    """Record the outcome of a single run in the platform.

    Attributes:
        request_id: The request that made the claim.
        account: Client account.
        run_id: Identifier of the run, set by the caller.
        status: HTTP status of the response; 0 if no target ran it, so that
            the claim is released.
    """

    request_id: str
    account: str
    run_id: str
    status: int


@attrs.frozen
class WriteZoneLease:
    """Write the zone's lease object if its version is unchanged.

    Attributes:
        expected_version: Version to replace; 0 to create the object.
        lease: New content; an empty holder releases the lease.
    """

    expected_version: int
    lease: events.ZoneLease


@attrs.frozen
class ReadZoneLease:
    """Read the zone's lease object."""


@attrs.frozen
class PollTarget:
    """Poll a target for its report.

    Attributes:
        target: Name of the target.
        address: Its address, `host:port`.
    """

    target: str
    address: str


@attrs.frozen
class Log:
    """Write a log line.

    Attributes:
        part: Prefix that names the subsystem, such as `quota`.
        text: The message, a sentence.
    """

    part: str
    text: str


@attrs.frozen
class Exit:
    """End the process; all work is done."""
