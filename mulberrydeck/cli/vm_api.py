"""Client of the HTTP interface that entry VMs offer to callers."""

from collections.abc import Iterable
import json
from typing import TypeVar
import urllib.parse

import attrs
import gevent.pool
import msgspec

from mulberrydeck import errors
from mulberrydeck.core import gateway
from mulberrydeck.platformapi import exchange

MAX_CONCURRENT_REQUESTS = 50

Decoded = TypeVar("Decoded")


@attrs.frozen
class RequestFailure:
    """A VM that sent no usable response.

    Attributes:
        address: Its caller address, `host:port`.
        reason: Error and remedy, for the operator.
    """

    address: str
    reason: str


@attrs.frozen
class VmClient:
    """Sends requests to entry VMs.

    Attributes:
        timeout_s: Timeout of one request, in seconds.
    """

    timeout_s: float

    def get(
        self,
        address: str,
        path: str,
        query: dict[str, str],
        kind: type[Decoded],
    ) -> Decoded:
        """Returns the decoded response of one VM.

        Args:
            address: Caller address of the VM, `host:port`.
            path: Path of the request.
            query: Query parameters; empty ones are omitted.
            kind: Type to which the response is decoded.

        Raises:
            errors.VmCallError: The VM sent no usable response.
        """
        parameters = {name: value for name, value in query.items() if value}
        if parameters:
            path = f"{path}?{urllib.parse.urlencode(parameters)}"
        response = self.send(address, exchange.Request("GET", path))
        if response.status != 200:
            raise errors.VmCallError(
                f"{address} responded with status {response.status}; check "
                "that it is the caller address of an entry VM."
            )
        try:
            # Unlike msgspec, the standard decoder accepts an infinite age.
            return msgspec.convert(json.loads(response.body), kind)
        except (ValueError, msgspec.ValidationError) as error:
            raise errors.VmCallError(
                f"{address} sent an unexpected response ({error}); check that "
                "it is the caller address of an entry VM of this release."
            ) from error

    def send(
        self, address: str, request: exchange.Request
    ) -> exchange.Response:
        """Sends a request to one VM, without retries.

        Raises:
            errors.VmCallError: No complete response was received.
        """
        try:
            endpoint = exchange.Endpoint(f"http://{address}")
            return endpoint.exchange(request, self.timeout_s)
        except (ValueError, exchange.NotSentError) as error:
            raise errors.VmCallError(
                f"{address} cannot be reached ({error}); nothing was sent, try "
                "another VM."
            ) from error
        except exchange.NoResponseError as error:
            raise errors.VmCallError(
                f"{address} sent no complete response ({error}); the request "
                "may have run."
            ) from error

    def get_from_all(
        self,
        addresses: Iterable[str],
        path: str,
        query: dict[str, str],
        kind: type[Decoded],
    ) -> dict[str, Decoded | RequestFailure]:
        """Returns the responses of several VMs, by address.

        Args:
            addresses: Caller addresses.
            path: Path of the request.
            query: Query parameters.
            kind: Type to which each response is decoded.
        """

        def request_from(address: str) -> tuple[str, Decoded | RequestFailure]:
            try:
                return address, self.get(address, path, query, kind)
            except errors.VmCallError as error:
                return address, RequestFailure(address, str(error))

        pool = gevent.pool.Pool(MAX_CONCURRENT_REQUESTS)
        return dict(pool.map(request_from, dict.fromkeys(addresses)))

    def look_up(
        self, addresses: Iterable[str], service: str, place: str
    ) -> gateway.LookupResponse:
        """Returns the first lookup response that one of the VMs sends.

        Args:
            addresses: Caller addresses, tried in order.
            service: Name of the service, or empty.
            place: Where the caller is, or empty.

        Raises:
            errors.VmCallError: None of them sent a usable response.
        """
        query = {"service": service, "from": place}
        reasons = []
        for address in addresses:
            try:
                return self.get(
                    address, "/v1/lookup", query, gateway.LookupResponse
                )
            except errors.VmCallError as error:
                reasons.append(str(error))
        raise errors.VmCallError(" ".join(reasons))

    def discover(self, addresses: tuple[str, ...]) -> tuple[str, ...]:
        """Returns one caller address of each VM that the given ones know.

        A lookup response lists only VMs near one place, so each zone is looked
        up. Given addresses come first and are returned unchanged.

        Args:
            addresses: Caller addresses to start from.
        """
        responses = self.get_from_all(
            addresses, "/v1/status", {}, gateway.Status
        )
        statuses = [
            response
            for response in responses.values()
            if isinstance(response, gateway.Status)
        ]
        zones = {status.zone for status in statuses}
        zones |= {peer.zone for status in statuses for peer in status.peers}
        given_names = {status.name for status in statuses}
        address_by_name: dict[str, str] = {}
        for zone in sorted(zones):
            response = self.look_up(addresses, "", zone)
            address_by_name |= {vm.name: vm.address for vm in response.vms}
        others = [
            address_by_name[name]
            for name in sorted(address_by_name)
            if name not in given_names
        ]
        return (*addresses, *others)
