"""Events that the reducer processes.

Each event has `at_s`, the time at which it happened, in seconds on the clock of
the process. Revisions are those of the store.
"""

import enum

import attrs

from mulberrydeck.steering import registry
from mulberrydeck.steering import settings as settings_module
from mulberrydeck.steering import tables


class Outcome(enum.Enum):
    """How an attempt at a target ended.

    `DELAYED`: nothing was sent, since the decision to send it had expired.
    `UNCLEAR`: the response leaves open whether the request ran, while its
    status seems to tell.
    """

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    DELAYED = "delayed"
    REJECTED = "rejected"
    WRONG_TARGET = "wrong target"
    UNCLEAR = "unclear"
    BROKEN = "broken"
    EXPIRED = "expired"


@attrs.frozen
class Ticked:
    """The interval of periodic work has elapsed."""

    at_s: float


@attrs.frozen
class StoreLost:
    """A kind of object can no longer be read from the store.

    Attributes:
        kind: Kind of the objects.
        reason: Error of the failed call, for logs.
    """

    at_s: float
    kind: str
    reason: str


@attrs.frozen
class StoreRegained:
    """A kind of object can be read from the store again.

    Attributes:
        kind: Kind of the objects.
        lost_s: Time for which it could not be read, in seconds.
    """

    at_s: float
    kind: str
    lost_s: float


@attrs.frozen
class StoreChecked:
    """This VM has verified that it can reach the store.

    Attributes:
        checked_s: When the request of this check was sent, in seconds.
    """

    at_s: float
    checked_s: float


@attrs.frozen
class SourceChecked:
    """The VM that supplies updates has sent all of them up to some time.

    Attributes:
        name: Name of the VM that supplies updates.
        checked_s: Time up to which updates are complete, in seconds.
    """

    at_s: float
    name: str
    checked_s: float


@attrs.frozen
class SourceFailed:
    """A VM from which updates were requested did not supply them.

    Attributes:
        name: Name of the VM.
        declined: Whether it responded that it does not lead; otherwise it did
            not respond in time.
    """

    at_s: float
    name: str
    declined: bool


@attrs.frozen
class UpdatesRequested:
    """Another VM requested updates of the store from this one."""

    at_s: float


@attrs.frozen
class TableLoaded:
    """A configuration was read.

    Attributes:
        table: The configuration.
        revision: Revision of the configuration object.
    """

    at_s: float
    table: tables.RoutingTable
    revision: int


@attrs.frozen
class TargetsListed:
    """The complete list of registered targets was read.

    Attributes:
        entries: All registered targets.
        revision: Revision of the list.
    """

    at_s: float
    entries: tuple[registry.TargetEntry, ...]
    revision: int


@attrs.frozen
class TargetChanged:
    """The entry of a target was added or changed.

    Attributes:
        entry: The entry.
        revision: Revision of the change.
    """

    at_s: float
    entry: registry.TargetEntry
    revision: int


@attrs.frozen
class TargetRemoved:
    """The entry of a target was removed, or no longer describes a usable one.

    Attributes:
        name: Name of the target.
        revision: Revision of the change.
    """

    at_s: float
    name: str
    revision: int


@attrs.frozen
class ZonesEvacuated:
    """The set of evacuated zones was read.

    Attributes:
        zones: Names of all evacuated zones.
        revision: Revision of the set.
    """

    at_s: float
    zones: frozenset[str]
    revision: int


@attrs.frozen
class VmsListed:
    """The complete list of registered entry VMs was read.

    Attributes:
        records: Records of all registered VMs, this one included.
        revision: Revision of the list.
    """

    at_s: float
    records: tuple[registry.VmRecord, ...]
    revision: int


@attrs.frozen
class PeerReceived:
    """A message of another VM was received.

    Attributes:
        sender: Name of the VM that sent it.
        message: The decoded message.
    """

    at_s: float
    sender: str
    message: object


@attrs.frozen
class RequestArrived:
    """A caller's request was read, up to what is buffered of its body.

    Attributes:
        request_id: Identifier that is unique to this handling of the request.
        host: Host named in the request.
        path: Path without query.
        key: API key of the caller, or empty.
        object_key: Key of the object that the request concerns, or empty.
        timeout_s: Time after `arrived_s` within which the caller wants the
            final response, in seconds; None if not given.
        body_bytes: Declared length of the body, in bytes; 0 if there is none or
            its length is unknown.
        arrived_s: When the head was read, in seconds; by default `at_s`.
    """

    at_s: float
    request_id: str
    host: str
    path: str
    key: str
    object_key: str
    timeout_s: float | None
    body_bytes: int = 0
    arrived_s: float = attrs.field(
        default=attrs.Factory(lambda event: event.at_s, takes_self=True)
    )


@attrs.frozen
class AttemptEnded:
    """An attempt at a target ended.

    Attributes:
        request_id: The request.
        outcome: How the attempt ended.
        status: HTTP status of the response, or 0 if there is none.
        reported_load: Number of running and queued requests that the target
            reported; None if it did not report them.
        replayable: Whether the request can be sent again.
        leaving: Whether the target said that it is about to stop.
        pause_s: For how long the target wants no further requests, in seconds.
        reason: Why the attempt failed, for logs.
        reported_speed: Current duration of work at the target, as a multiple of
            the usual one; None if it did not report it.
    """

    at_s: float
    request_id: str
    outcome: Outcome
    status: int = 0
    reported_load: int | None = None
    replayable: bool = True
    leaving: bool = False
    pause_s: float = 0.0
    reason: str = ""
    reported_speed: float | None = None


@attrs.frozen
class RequestClosed:
    """A request has ended, and its state is to be released."""

    at_s: float
    request_id: str


@attrs.frozen
class StoreRestored:
    """The store has come back from a copy that is some seconds old.

    Attributes:
        era: The era of the store that has begun.
    """

    at_s: float
    era: int


@attrs.frozen
class VmAdded:
    """This VM was registered for the first time."""

    at_s: float


@attrs.frozen
class UseMeasured:
    """The process has measured what it uses of its machine.

    Attributes:
        memory_mb: Resident memory, in MB.
        descriptors: Number of open file descriptors.
        link_mbps: Rate of the bytes that callers sent and received, in Mbit/s.
    """

    at_s: float
    memory_mb: float
    descriptors: int
    link_mbps: float


@attrs.frozen
class StopRequested:
    """The process must stop gracefully."""

    at_s: float


@attrs.frozen
class StopFinished:
    """The graceful stop has ended, and quota is to be released."""

    at_s: float


@attrs.frozen
class SettingsReloaded:
    """The settings were reloaded.

    Attributes:
        settings: The new settings, without changes that require a restart.
    """

    at_s: float
    settings: settings_module.SteeringSettings
