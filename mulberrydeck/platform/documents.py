"""Decodes and encodes the documents of the platform's store.

The private classes describe documents as the store holds them, with the field
names of the platform; comments explain fields whose name is misleading.
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
# Kinds that Mulberrydeck itself adds to the store.
VMS_KIND = "mulberrydeck-vms"
FLEET_KIND = "mulberrydeck-fleet"

REPEATABILITY_BY_ROUTE_KIND = {
    "safe": tables.Repeatability.SAFE,
    "non_idempotent": tables.Repeatability.AT_MOST_ONCE,
    "upload": tables.Repeatability.AT_MOST_ONCE,
}
DRAINING_BY_STATE = {"ready": False, "draining": True}

_VERSION_PATTERN = re.compile(r"[0-9a-fA-F]{1,16}")


class _PascalCaseStruct(msgspec.Struct, rename="pascal"):
    """Base of the document classes; field names are encoded in Pascal case."""


class _WeightedService(_PascalCaseStruct):
    service: str
    weight: float


class _Route(_PascalCaseStruct):
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


class _Service(_PascalCaseStruct):
    name: str
    # Requests per second that a cold target can take from all VMs together.
    cold_per_s: float = 0.0


class _Account(_PascalCaseStruct):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: tuple[str, ...] = ()


class _Limits(_PascalCaseStruct):
    max_body_bytes: int = 64 * 1024 * 1024
    idle_timeout_ms: float = 15000.0


class _Configuration(_PascalCaseStruct):
    # Hexadecimal number of up to 16 digits.
    version: str
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Account, ...] = ()


class _TargetInfo(_PascalCaseStruct):
    service: str
    zone: str
    slots: int


class _TargetStatus(_PascalCaseStruct):
    state: str
    # Remaining time for which the target is cold, counted from this report.
    cold_remaining_ms: float = 0.0


class _Target(_PascalCaseStruct):
    address: str
    info: _TargetInfo
    status: _TargetStatus
    # The only field of the entry that is not in Pascal case.
    born: int = msgspec.field(default=0, name="born")


class _VmRecord(_PascalCaseStruct):
    zone: str
    region: str
    caller_address: str
    peer_address: str
    incarnation: str


class _FleetSecret(_PascalCaseStruct):
    secret: str


class StoredMetadata(_PascalCaseStruct):
    """Metadata of an object of the store.

    Attributes:
        name: Name of the object.
        revision: Revision of the last change of the object.
    """

    name: str
    revision: int = 0


class StoredObject(_PascalCaseStruct):
    """An object of the store.

    Attributes:
        metadata: Metadata that the store maintains.
        spec: Specification from the object's writer, still encoded.
        status: Status from the object's reporter, still encoded.
    """

    metadata: StoredMetadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class _Page(_PascalCaseStruct):
    items: tuple[msgspec.Raw, ...] = msgspec.field(name="items")
    # Revision of the store at the time of the response.
    at: int
    has_more: bool = False


class _Event(_PascalCaseStruct):
    object: msgspec.Raw
    deleted: bool = False


class _Changes(_PascalCaseStruct):
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
    """A document is malformed or has invalid values; fix its writer."""


def decode_page(body: bytes) -> _Page:
    """Decodes a page of a list.

    Raises:
        InvalidDocumentError: The body is malformed.
    """
    return _decode(_page_decoder, body)


def decode_changes(body: bytes) -> _Changes:
    """Decodes the response to a watch.

    Raises:
        InvalidDocumentError: The body is malformed.
    """
    return _decode(_changes_decoder, body)


def decode_stored_object(raw: bytes) -> StoredObject:
    """Decodes the metadata of one object; spec and status stay encoded.

    Raises:
        InvalidDocumentError: The object has no name or is malformed.
    """
    return _decode(_object_decoder, raw)


def encode_stored_object(stored: StoredObject) -> bytes:
    """Returns an object in the encoding of the store, for other VMs."""
    return msgspec.json.encode(stored)


def deleted_object(name: str, revision: int) -> StoredObject:
    """Returns a placeholder, without content, for a deleted object.

    Args:
        name: Name of the object.
        revision: Revision of the store at which the object was missing.
    """
    return StoredObject(StoredMetadata(name, revision))


def decode_configuration(stored: StoredObject) -> tables.RoutingTable:
    """Decodes a configuration and builds its routing table.

    Raises:
        InvalidDocumentError: The document is malformed.
    """
    document = _decode(_configuration_decoder, stored.spec)
    if _VERSION_PATTERN.fullmatch(document.version) is None:
        raise InvalidDocumentError(
            f"Version {document.version!r} is not hexadecimal; fix it."
        )
    return tables.build_table(
        version=int(document.version, 16),
        routes=tuple(_route(route) for route in document.routes),
        services=tuple(
            tables.Service(service.name, service.cold_per_s)
            for service in document.services
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
    repeatability = REPEATABILITY_BY_ROUTE_KIND.get(route.kind)
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
        InvalidDocumentError: A field is missing or has the wrong type, the
            state is unknown, the address has no port, or there is no slot.
    """
    document = _decode(_target_decoder, stored.spec)
    status = document.status
    if bytes(stored.status) != b"null":
        status = _decode(_target_status_decoder, stored.status)
    draining = DRAINING_BY_STATE.get(status.state)
    if draining is None:
        raise InvalidDocumentError(f"The state {status.state!r} is unknown.")
    if not document.address.rpartition(":")[2].isdigit():
        raise InvalidDocumentError(
            f"{document.address!r} is not an address of the form `ip:port`."
        )
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
    """Returns the record of an entry VM in its stored form."""
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
    """Decodes the secret shared by all VMs.

    Raises:
        InvalidDocumentError: The object is malformed.
    """
    return _decode(_secret_decoder, stored.spec).secret


def encode_fleet_secret(secret: str) -> dict[str, object]:
    """Returns the secret shared by all VMs in its stored form."""
    return msgspec.to_builtins(_FleetSecret(secret))


def decode_valid_objects(
    objects: Iterable[bytes],
) -> tuple[list[StoredObject], list[str]]:
    """Decodes objects and skips the invalid ones.

    Args:
        objects: Encoded objects.

    Returns:
        The valid objects, and an error message for each invalid one.
    """
    valid = []
    decode_errors = []
    for raw in objects:
        try:
            valid.append(decode_stored_object(raw))
        except InvalidDocumentError as error:
            decode_errors.append(str(error))
    return valid, decode_errors


def _decode(decoder: msgspec.json.Decoder, raw: bytes) -> object:
    try:
        return decoder.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidDocumentError(
            f"The document is malformed: {error}"
        ) from error
