"""Effects that the reducer returns and the shell carries out."""

import attrs

from mulberrydeck import errors
from mulberrydeck.core import events


@attrs.frozen
class ConnectPeer:
    """Open a connection to a peer.

    Attributes:
        name: Name of the VM.
        address: Its peer address, `host:port`.
    """

    name: str
    address: str


@attrs.frozen
class DisconnectPeer:
    """Close the connection to a peer."""

    name: str


@attrs.frozen
class Refuse:
    """Answer a request with a problem; final.

    Attributes:
        request_id: The request.
        problem: Why.
        account: Client account, or empty if it is not known.
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
        address: `host:port`.
        account: Client account, or empty on open routes.
        remaining_s: Time left for the request, in seconds.
        repeatable: Whether the request is idempotent.
        start_by_s: When its first byte must be sent at the latest, since its
            admission ends, on the VM's clock, in seconds.
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
    """Relay a request through another VM, which owns the targets.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt, from 1.
        vm: Name of the VM.
        address: Its relay address, `host:port`.
        account: Client account, or empty on open routes.
        remaining_s: Time left for the request, in seconds.
        repeatable: Whether the request is idempotent.
        link: `source/destination` regions, or empty within a region.
        start_by_s: When its first byte must be sent at the latest, since its
            admission ends, on the VM's clock, in seconds.
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
        request_id: The request that waits for the answer.
        attempt: Number of the entry VM's attempt; a later attempt of the same
            request replaces the claim of an earlier one.
        account: Client account.
        run_id: The caller's identifier.
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
        run_id: The caller's identifier.
        status: HTTP status of the answer; 0 if no target ran it, so that the
            claim is released.
    """

    request_id: str
    account: str
    run_id: str
    status: int


@attrs.frozen
class WriteZoneLease:
    """Write the zone's lease object if its version is unchanged.

    Attributes:
        expected_version: Version to replace; 0 to create.
        lease: New content; an empty holder releases the lease.
    """

    expected_version: int
    lease: events.ZoneLease


@attrs.frozen
class ReadZoneLease:
    """Read the zone's lease object."""


@attrs.frozen
class PollTarget:
    """Ask a target for its report."""

    target: str
    address: str


@attrs.frozen
class Log:
    """Write a log line.

    Attributes:
        part: Prefix of the part, such as `quota`.
        text: A short sentence.
    """

    part: str
    text: str


@attrs.frozen
class Exit:
    """All work is done; the process may end."""
