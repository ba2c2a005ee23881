"""Decodes and encodes the documents of the platform's store.

The private classes describe documents as the store holds them, with the field
names of the platform; comments explain fields whose name is misleading.
"""

from collections.abc import Callable
from collections.abc import Iterable
import ipaddress
import re
from typing import TypeVar

import msgspec

from mulberrydeck import errors
from mulberrydeck.platform import json_parts
from mulberrydeck.platform import vm_capacities
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

# Bounds of plausible entries; others are of another writer.
MAX_SLOTS = 1_000_000
MAX_COLD_S = 24 * 3600.0
MAX_PORT = 65535
MAX_STARTED_MS = 2**53  # Later times are not exact in all JSON writers.
# Longer texts of an invalid entry are cut off in error messages.
MAX_QUOTED_CHARACTERS = 80

_Parts = TypeVar("_Parts")

# Names of targets are sent in a header field.
_NAME_PATTERN = re.compile(r"[!-~]{1,256}")
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
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
_metadata_decoder = msgspec.json.Decoder(StoredMetadata)
_integer_decoder = msgspec.json.Decoder(int)
_configuration_decoder = msgspec.json.Decoder(_Configuration)
_target_decoder = msgspec.json.Decoder(_Target)
_target_status_decoder = msgspec.json.Decoder(_TargetStatus)
_vm_decoder = msgspec.json.Decoder(_VmRecord)
_secret_decoder = msgspec.json.Decoder(_FleetSecret)


class InvalidDocumentError(errors.MulberrydeckError):
    """A document is malformed or has invalid values; fix its writer."""


def decode_page(body: bytes) -> _Page:
    """Decodes a page of a list; its objects stay encoded.

    Raises:
        InvalidDocumentError: The body is malformed.
    """
    try:
        return _decode(_page_decoder, body)
    except InvalidDocumentError:
        values = _members(body)
    return _Page(
        items=tuple(_raw_elements(values, b'"items"')),
        at=_decode(_integer_decoder, values.get(b'"At"', b"")),
        has_more=values.get(b'"HasMore"') == b"true",
    )


def decode_changes(body: bytes) -> _Changes:
    """Decodes the response to a watch; its objects stay encoded.

    Raises:
        InvalidDocumentError: The body is malformed.
    """
    try:
        return _decode(_changes_decoder, body)
    except InvalidDocumentError:
        values = _members(body)
    return _Changes(
        events=tuple(
            _split_event(event) for event in _raw_elements(values, b'"events"')
        ),
        at=_decode(_integer_decoder, values.get(b'"At"', b"")),
    )


def _split_event(raw: bytes) -> _Event:
    values = _members(raw)
    return _Event(
        msgspec.Raw(values.get(b'"Object"', b"null")),
        values.get(b'"Deleted"') == b"true",
    )


def decode_stored_object(raw: bytes) -> StoredObject:
    """Decodes the metadata of one object; spec and status stay encoded.

    If only the metadata can be read, spec and status are null, so that the
    object is known by its name and has no valid content.

    Raises:
        InvalidDocumentError: The object has no name or is malformed.
    """
    try:
        return _decode(_object_decoder, raw)
    except InvalidDocumentError:
        values = _members(raw)
    metadata = values.get(b'"Metadata"', b"")
    return StoredObject(_decode(_metadata_decoder, metadata))


def _members(container: bytes) -> dict[bytes, bytes]:
    return _split(json_parts.members, bytes(container))


def _split(split: Callable[[bytes], _Parts], container: bytes) -> _Parts:
    try:
        return split(container)
    except json_parts.MalformedContainerError as error:
        raise InvalidDocumentError(
            f"The document is malformed: {error}"
        ) from error


def _raw_elements(
    values: dict[bytes, bytes], name: bytes
) -> Iterable[msgspec.Raw]:
    elements = _split(json_parts.elements, values.get(name, b""))
    return map(msgspec.Raw, elements)


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
        InvalidDocumentError: A field is missing, has the wrong type or an
            implausible value.
    """
    document = _decode(_target_decoder, stored.spec)
    status = document.status
    if bytes(stored.status) != b"null":
        status = _decode(_target_status_decoder, stored.status)
    draining = DRAINING_BY_STATE.get(status.state)
    if draining is None:
        quoted = _quote(status.state)
        raise InvalidDocumentError(f"The state {quoted} is unknown.")
    if _NAME_PATTERN.fullmatch(stored.metadata.name) is None:
        raise InvalidDocumentError(
            "The name of a target must be printable ASCII without spaces."
        )
    _check_address(document.address)
    cold_s = max(0.0, status.cold_remaining_ms) / MS_PER_S
    _check_limit("slots", document.info.slots, 1, MAX_SLOTS)
    _check_limit("seconds of warm-up", cold_s, 0, MAX_COLD_S)
    _check_limit("start", document.born, 0, MAX_STARTED_MS)
    return registry.TargetEntry(
        name=stored.metadata.name,
        service=document.info.service,
        address=document.address,
        zone=document.info.zone,
        slots=document.info.slots,
        draining=draining,
        cold_s=cold_s,
        started_ms=document.born,
    )


def _check_address(address: str) -> None:
    ip, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
        is_valid = (
            _PORT_PATTERN.fullmatch(port) is not None
            and 0 < int(port) <= MAX_PORT
        )
    except ValueError:
        is_valid = False
    if not is_valid:
        raise InvalidDocumentError(
            f"{_quote(address)} is not an address of the form `ip:port`."
        )


def _check_limit(
    field: str, value: float, minimum: float, maximum: float
) -> None:
    if not minimum <= value <= maximum:
        raise InvalidDocumentError(
            f"The value of {field} must be from {minimum} to {maximum}."
        )


def _quote(text: str) -> str:
    return repr(text[:MAX_QUOTED_CHARACTERS])


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
        vm_capacities.decode(stored.spec),
    )


def encode_vm_record(record: registry.VmRecord) -> dict[str, object]:
    """Returns the record of an entry VM in its stored form."""
    spec = msgspec.to_builtins(
        _VmRecord(
            record.zone,
            record.region,
            record.caller_address,
            record.peer_address,
            record.incarnation,
        )
    )
    return spec | vm_capacities.encode(record.capacity)


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
    # Integers of thousands of digits raise a `ValueError`.
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidDocumentError(
            f"The document is malformed: {error}"
        ) from error
