"""Turns requests of callers and relaying VMs into events for the core."""

import attrs

from mulberrydeck.core import events
from mulberrydeck.forward import relaying
from mulberrydeck.frontend import dependencies as dependency_sets
from mulberrydeck.frontend import paths
from mulberrydeck.frontend import problems
from mulberrydeck.frontend import requests


@attrs.frozen
class Arrival:
    """A checked request.

    Attributes:
        event: Event that reports the request to the core.
        service_path: Path of the request.
        presented_keys: Keys that must not be forwarded.
    """

    event: events.RequestArrived
    service_path: paths.ServicePath
    presented_keys: tuple[str, ...] = ()


def from_caller(
    request: requests.Request, dependencies: dependency_sets.Dependencies
) -> Arrival:
    """Checks a caller's request.

    Args:
        request: The request; this function sets its `request_id`.
        dependencies: Dependencies of request handling.

    Raises:
        requests.RefusedError: The request is refused before it reaches the
            core.
    """
    head = request.head
    keys = requests.presented_keys(head)
    requests.check_url(head.target, keys)
    request_id = requests.parse_identifier(head, requests.REQUEST_ID_FIELD)
    request.request_id = request_id or request.handling_id
    service_path = paths.split(request.path, request.query)
    event = events.RequestArrived(
        at_s=dependencies.gateway.now_s(),
        request_id=request.handling_id,
        service=service_path.service,
        method=head.method,
        path=service_path.routed,
        key=requests.parse_key(head),
        run_id=requests.parse_identifier(head, requests.RUN_ID_FIELD),
        deadline_s=requests.parse_deadline(head),
    )
    return Arrival(event, service_path, keys)


def from_vm(
    request: requests.Request, dependencies: dependency_sets.Dependencies
) -> Arrival:
    """Authenticates a request that another VM relays.

    Args:
        request: The request; this function sets its `request_id`, and the
            `pace` of its response if that passes over a link between regions.
        dependencies: Dependencies of request handling.

    Raises:
        requests.RefusedError: The request does not come from a VM of this
            fleet, or its path is refused.
    """
    head = request.head
    relay = _authenticate(request, dependencies.settings.fleet_secret.encode())
    request.request_id = relay.request_id
    link = relay.response_link
    if link:
        request.response.pace = lambda count: dependencies.allow_bytes(
            link, count
        )
    service_path = paths.split(request.path, request.query)
    event = events.RequestArrived(
        at_s=dependencies.gateway.now_s(),
        request_id=request.handling_id,
        service=service_path.service,
        method=head.method,
        path=service_path.routed,
        run_id=relay.run_id,
        deadline_s=relay.remaining_s,
        relayed_account=relay.account,
        relayed_attempt=relay.attempt,
    )
    return Arrival(event, service_path)


def _authenticate(
    request: requests.Request, secret: bytes
) -> relaying.RelayMetadata:
    head = request.head
    value = head.index.get(relaying.FIELD, "")
    try:
        return relaying.decode(value, secret, head.method, head.target)
    except relaying.RelayAuthenticationError:
        raise requests.RefusedError(problems.RELAY_REJECTED) from None
