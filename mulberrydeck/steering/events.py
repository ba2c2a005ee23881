"""Events that the reducer consumes.

Every event carries `at_s`, the time at which it happened, in seconds on the
clock of the process.
"""

import enum

import attrs

from mulberrydeck.steering import registry
from mulberrydeck.steering import settings as settings_module
from mulberrydeck.steering import tables


class Outcome(enum.Enum):
    """How an attempt at a target ended."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    REJECTED = "rejected"
    WRONG_TARGET = "wrong target"
    BROKEN = "broken"
    EXPIRED = "expired"


@attrs.frozen
class Ticked:
    """The periodic timer fired."""

    at_s: float


@attrs.frozen
class StoreLost:
    """A kind of object can no longer be followed in the store."""

    at_s: float
    kind: str
    reason: str


@attrs.frozen
class StoreRegained:
    """A kind of object is followed again.

    Attributes:
        lost_s: How long it was not, in seconds.
    """

    at_s: float
    kind: str
    lost_s: float


@attrs.frozen
class StoreChecked:
    """This VM has checked that it reaches the store.

    Attributes:
        checked_s: When the check was sent, in seconds.
    """

    at_s: float
    checked_s: float


@attrs.frozen
class SourceChecked:
    """The VM that this one learns from has told all up to some time.

    Attributes:
        name: Name of the VM.
        checked_s: That time, in seconds.
    """

    at_s: float
    name: str
    checked_s: float


@attrs.frozen
class SourceFailed:
    """A VM that this one learns from does not answer, or does not lead.

    Attributes:
        name: Name of the VM.
        declined: Whether it answered that it does not lead.
    """

    at_s: float
    name: str
    declined: bool


@attrs.frozen
class UpdatesRequested:
    """Another VM asked this one for news of the store."""

    at_s: float


@attrs.frozen
class TableLoaded:
    """A configuration was read.

    Attributes:
        table: The configuration.
        revision: The store's revision of it.
    """

    at_s: float
    table: tables.RoutingTable
    revision: int


@attrs.frozen
class TargetsListed:
    """All registered targets were read."""

    at_s: float
    entries: tuple[registry.TargetEntry, ...]
    revision: int


@attrs.frozen
class TargetChanged:
    """A target registered or changed its entry."""

    at_s: float
    entry: registry.TargetEntry
    revision: int


@attrs.frozen
class TargetRemoved:
    """The entry of a target was removed, or no longer names one to use."""

    at_s: float
    name: str
    revision: int


@attrs.frozen
class ZonesEvacuated:
    """The set of evacuated zones was read."""

    at_s: float
    zones: frozenset[str]
    revision: int


@attrs.frozen
class VmsListed:
    """The registered entry VMs were read."""

    at_s: float
    records: tuple[registry.VmRecord, ...]
    revision: int


@attrs.frozen
class PeerReceived:
    """A message of another VM arrived."""

    at_s: float
    sender: str
    message: object


@attrs.frozen
class RequestArrived:
    """The head of a caller's request was read.

    Attributes:
        request_id: Unique identifier of this handling.
        host: Host that the caller named.
        path: Path without query.
        key: Key that the caller presented, or empty.
        object_key: Object that it concerns, or empty.
        deadline_s: How long the caller waits, in seconds; None if not said.
        body_bytes: Declared length of the body; 0 if none or unknown.
    """

    at_s: float
    request_id: str
    host: str
    path: str
    key: str
    object_key: str
    deadline_s: float | None
    body_bytes: int = 0


@attrs.frozen
class AttemptEnded:
    """An attempt at a target ended.

    Attributes:
        outcome: How it ended.
        status: HTTP status of the answer, or 0.
        reported_load: Running and waiting requests that the target reported;
            None if it did not.
        replayable: Whether the request can be sent again.
        reason: Why it failed, for logs.
    """

    at_s: float
    request_id: str
    outcome: Outcome
    status: int = 0
    reported_load: int | None = None
    replayable: bool = True
    reason: str = ""


@attrs.frozen
class RequestClosed:
    """The request needs nothing any more."""

    at_s: float
    request_id: str


@attrs.frozen
class StopRequested:
    """The process must stop gracefully."""

    at_s: float


@attrs.frozen
class StopFinished:
    """No request is in progress any more."""

    at_s: float


@attrs.frozen
class SettingsReloaded:
    """The settings were read again.

    Attributes:
        settings: The settings; addresses and places are those of the start.
    """

    at_s: float
    settings: settings_module.SteeringSettings
