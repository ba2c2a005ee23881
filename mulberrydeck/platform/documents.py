"""Decodes the documents of the platform's store into the product's types.

Wire classes stand beside their decoder. Their field names are the platform's;
a comment says what a field holds where its name misleads.
"""

from collections.abc import Iterable
import re

import msgspec

from mulberrydeck import errors
from mulberrydeck.steering import registry
from mulberrydeck.steering import tables

MS_PER_S = 1000.0

TARGETS_KIND = "servers"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
EVACUATIONS_KIND = "evacuations"
# Kinds that this project created in the store.
VMS_KIND = "mulberrydeck-vms"
FLEET_KIND = "mulberrydeck-fleet"

REPEATABILITY_BY_KIND = {
    "safe": tables.Repeatability.SAFE,
    "non_idempotent": tables.Repeatability.AT_MOST_ONCE,
    "upload": tables.Repeatability.AT_MOST_ONCE,
}
DRAINING_BY_STATE = {"ready": False, "draining": True}

_VERSION = re.compile(r"[0-9a-fA-F]{1,16}")


class _Wire(msgspec.Struct, rename="pascal"):
    """Base of wire classes: members are spelled in Pascal case."""


class _WeightedService(_Wire):
    service: str
    weight: float


class _Route(_Wire):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    service: str = ""
    traffic_split: tuple[_WeightedService, ...] = ()
    public: bool = False
    sticky: bool = False
    home_regions: tuple[str, ...] = ()


class _Service(_Wire):
    name: str
    # Requests per second that one cold target takes, from all VMs together.
    cold_per_s: float = 0.0


class _Account(_Wire):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: tuple[str, ...] = ()


class _Limits(_Wire):
    max_body_bytes: int = 64 * 1024 * 1024
    idle_timeout_ms: float = 15000.0


class _Configuration(_Wire):
    # Hexadecimal digits, not a decimal number.
    version: str
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Account, ...] = ()


class _TargetInfo(_Wire):
    service: str
    zone: str
    slots: int


class _TargetStatus(_Wire):
    state: str
    # How much longer the target is cold, counted from this report.
    cold_remaining_ms: float = 0.0


class _Target(_Wire):
    address: str
    info: _TargetInfo
    status: _TargetStatus
    # The one member in lower case.
    born: int = msgspec.field(default=0, name="born")


class _VmRecord(_Wire):
    zone: str
    region: str
    caller_address: str
    peer_address: str
    incarnation: str


class _FleetSecret(_Wire):
    secret: str


class StoredMetadata(_Wire):
    """What the store keeps about an object.

    Attributes:
        name: Name of the object.
        revision: Revision of its last change.
    """

    name: str
    revision: int = 0


class StoredObject(_Wire):
    """An object of the store.

    Attributes:
        metadata: What the store keeps about it.
        spec: Content that its writer defines, still encoded.
        status: Content that its reporter defines, still encoded.
    """

    metadata: StoredMetadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class _Page(_Wire):
    items: tuple[msgspec.Raw, ...] = msgspec.field(name="items")
    # The store's revision at the time of the answer.
    at: int
    has_more: bool = False


class _Event(_Wire):
    object: msgspec.Raw
    deleted: bool = False


class _Changes(_Wire):
    events: tuple[_Event, ...] = msgspec.field(name="events")
    at: int


_page_decoder = msgspec.json.Decoder(_Page)
_changes_decoder = msgspec.json.Decoder(_Changes)
_object_decoder = msgspec.json.Decoder(StoredObject)
_configuration_decoder = msgspec.json.Decoder(_Configuration)
_target_decoder = msgspec.json.Decoder(_Target)
_target_status_decoder = msgspec.json.Decoder(_TargetStatus)
_vm_decoder = msgspec.json.Decoder(_VmRecord)
_secret_decoder = msgspec.json.Decoder(_FleetSecret)


class InvalidDocumentError(errors.MulberrydeckError):
    """A document does not have the expected form; correct its writer."""


def decode_page(body: bytes) -> _Page:
    """Decodes a page of a list.

    Raises:
        InvalidDocumentError: The body is malformed.
    """
    return _decode(_page_decoder, body)


def decode_changes(body: bytes) -> _Changes:
    """Decodes the answer to a watch.

    Raises:
        InvalidDocumentError: The body is malformed.
    """
    return _decode(_changes_decoder, body)


def decode_stored_object(raw: bytes) -> StoredObject:
    """Decodes one object, its content left as it is.

    Raises:
        InvalidDocumentError: It has no name or is malformed.
    """
    return _decode(_object_decoder, raw)


def encode_stored_object(stored: StoredObject) -> bytes:
    """Returns an object as the store encodes it, for other VMs."""
    return msgspec.json.encode(stored)


def deleted_object(name: str, revision: int) -> StoredObject:
    """Returns an object of which only the removal is known.

    Args:
        name: Name of the object.
        revision: Revision of the store at which it was found missing.
    """
    return StoredObject(StoredMetadata(name, revision))


def decode_configuration(stored: StoredObject) -> tables.RoutingTable:
    """Decodes and indexes a configuration.

    Raises:
        InvalidDocumentError: The document is malformed.
    """
    document = _decode(_configuration_decoder, stored.spec)
    if _VERSION.fullmatch(document.version) is None:
        raise InvalidDocumentError(
            f"Version {document.version!r} is not hexadecimal; correct it."
        )
    return tables.build_table(
        version=int(document.version, 16),
        routes=tuple(_route(route) for route in document.routes),
        services=tuple(
            tables.Service(one.name, one.cold_per_s)
            for one in document.services
        ),
        accounts=tuple(
            (_account(account), account.api_keys)
            for account in document.tenants
        ),
        limits=tables.CallerLimits(
            document.limits.max_body_bytes,
            document.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _route(route: _Route) -> tables.Route:
    repeatability = REPEATABILITY_BY_KIND.get(route.kind)
    if repeatability is None:
        raise InvalidDocumentError(
            f"Route {route.name!r} has the unknown kind {route.kind!r}."
        )
    services = tuple(
        tables.WeightedService(part.service, part.weight)
        for part in route.traffic_split
    ) or (tables.WeightedService(route.service, 1.0),)
    return tables.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        repeatability=repeatability,
        services=services,
        timeout_s=route.timeout_ms / MS_PER_S,
        target_latency_s=route.target_latency_ms / MS_PER_S,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
        public=route.public,
        sticky=route.sticky,
        home_regions=frozenset(route.home_regions),
    )


def _account(account: _Account) -> tables.Account:
    return tables.Account(
        name=account.name,
        priority=account.priority,
        rate_per_s=account.rate_per_s,
        burst=account.burst,
        home_regions=frozenset(account.home_regions),
    )


def decode_target(stored: StoredObject) -> registry.TargetEntry:
    """Decodes the entry of a target.

    Raises:
        InvalidDocumentError: A field is missing, of another type or names an
            unknown state; the entry names no target to use.
    """
    document = _decode(_target_decoder, stored.spec)
    status = document.status
    if bytes(stored.status) != b"null":
        status = _decode(_target_status_decoder, stored.status)
    draining = DRAINING_BY_STATE.get(status.state)
    if draining is None:
        raise InvalidDocumentError(f"The state {status.state!r} is unknown.")
    if not document.address.rpartition(":")[2].isdigit():
        raise InvalidDocumentError(f"{document.address!r} is no `ip:port`.")
    if document.info.slots < 1:
        raise InvalidDocumentError("A target needs at least one slot.")
    return registry.TargetEntry(
        name=stored.metadata.name,
        service=document.info.service,
        address=document.address,
        zone=document.info.zone,
        slots=document.info.slots,
        draining=draining,
        cold_s=max(0.0, status.cold_remaining_ms) / MS_PER_S,
        started_ms=document.born,
    )


def decode_vm_record(stored: StoredObject) -> registry.VmRecord:
    """Decodes the record of an entry VM.

    Raises:
        InvalidDocumentError: The record is malformed.
    """
    document = _decode(_vm_decoder, stored.spec)
    return registry.VmRecord(
        stored.metadata.name,
        document.zone,
        document.region,
        document.caller_address,
        document.peer_address,
        document.incarnation,
    )


def encode_vm_record(record: registry.VmRecord) -> dict[str, object]:
    """Returns the record of an entry VM as it is stored."""
    return msgspec.to_builtins(
        _VmRecord(
            record.zone,
            record.region,
            record.caller_address,
            record.peer_address,
            record.incarnation,
        )
    )


def decode_fleet_secret(stored: StoredObject) -> str:
    """Decodes the secret that all VMs share.

    Raises:
        InvalidDocumentError: The object is malformed.
    """
    return _decode(_secret_decoder, stored.spec).secret


def encode_fleet_secret(secret: str) -> dict[str, object]:
    """Returns the secret that all VMs share as it is stored."""
    return msgspec.to_builtins(_FleetSecret(secret))


def decode_valid_objects(
    objects: Iterable[bytes],
) -> tuple[list[StoredObject], list[str]]:
    """Decodes those objects that can be read.

    Args:
        objects: Encoded objects.

    Returns:
        The objects, and why others could not be read.
    """
    found = []
    reasons = []
    for raw in objects:
        try:
            found.append(decode_stored_object(raw))
        except InvalidDocumentError as error:
            reasons.append(str(error))
    return found, reasons


def _decode(decoder: msgspec.json.Decoder, raw: bytes) -> object:
    try:
        return decoder.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidDocumentError(
            f"The document is malformed: {error}"
        ) from error
