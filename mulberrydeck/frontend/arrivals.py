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
        event: What the core is told.
        split: Its path.
        secrets: Keys that must not be passed on.
    """

    event: events.RequestArrived
    split: paths.ServicePath
    secrets: tuple[str, ...] = ()


def from_caller(
    request: requests.Request, dependencies: dependency_sets.Dependencies
) -> Arrival:
    """Checks a caller's request.

    Args:
        request: The request; its `request_id` is set.
        dependencies: Dependencies of request handling.

    Raises:
        requests.RefusedError: It is refused before the core is asked.
    """
    head = request.head
    secrets = requests.presented_secrets(head)
    requests.check_target(head.target, secrets)
    request_id = requests.identifier_of(head, requests.REQUEST_ID_FIELD)
    request.request_id = request_id or request.handling_id
    split = paths.split(request.path, request.query)
    event = events.RequestArrived(
        at_s=dependencies.gateway.now_s(),
        request_id=request.handling_id,
        service=split.service,
        method=head.method,
        path=split.routed,
        key=requests.key_of(head),
        run_id=requests.identifier_of(head, requests.RUN_ID_FIELD),
        deadline_s=requests.deadline_of(head),
    )
    return Arrival(event, split, secrets)


def from_vm(
    request: requests.Request, dependencies: dependency_sets.Dependencies
) -> Arrival:
    """Authenticates a request that another VM relays.

    Args:
        request: The request; its `request_id` and the pace of its answer are
            set.
        dependencies: Dependencies of request handling.

    Raises:
        requests.RefusedError: It does not come from a VM of this fleet.
    """
    head = request.head
    relay = _authenticate(request, dependencies.settings.fleet_secret.encode())
    request.request_id = relay.request_id
    link = relay.response_link
    if link:
        request.response.pace = lambda count: dependencies.allow_bytes(
            link, count
        )
    split = paths.split(request.path, request.query)
    event = events.RequestArrived(
        at_s=dependencies.gateway.now_s(),
        request_id=request.handling_id,
        service=split.service,
        method=head.method,
        path=split.routed,
        run_id=relay.run_id,
        deadline_s=relay.remaining_s,
        relayed_account=relay.account,
        relayed_attempt=relay.attempt,
    )
    return Arrival(event, split)


def _authenticate(
    request: requests.Request, secret: bytes
) -> relaying.RelayMetadata:
    head = request.head
    value = head.index.get(relaying.FIELD, "")
    try:
        return relaying.decode(value, secret, head.method, head.target)
    except relaying.RelayAuthenticationError:
        raise requests.RefusedError(problems.RELAY_REJECTED) from None
