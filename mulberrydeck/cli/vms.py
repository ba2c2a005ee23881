"""Questions to entry VMs over the callers' interface."""

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

CONCURRENT_QUESTIONS = 50

Answered = TypeVar("Answered")


@attrs.frozen
class Silent:
    """A VM that gave no usable answer.

    Attributes:
        address: Its caller address, `host:port`.
        reason: Why, and what to do.
    """

    address: str
    reason: str


@attrs.frozen
class Asker:
    """Asks entry VMs.

    Attributes:
        timeout_s: Time allowed for one question, in seconds.
    """

    timeout_s: float

    def get(
        self,
        address: str,
        path: str,
        query: dict[str, str],
        kind: type[Answered],
    ) -> Answered:
        """Returns one VM's answer.

        Args:
            address: Caller address of the VM, `host:port`.
            path: Path of the question.
            query: Its parameters; empty ones are left out.
            kind: Type of the answer.

        Raises:
            errors.VmCallError: The VM gave no usable answer.
        """
        stated = {name: value for name, value in query.items() if value}
        if stated:
            path = f"{path}?{urllib.parse.urlencode(stated)}"
        answer = self.send(address, exchange.Request("GET", path))
        if answer.status != 200:
            raise errors.VmCallError(
                f"{address} answered with status {answer.status}; check that "
                "it is the caller address of an entry VM."
            )
        try:
            # The standard decoder reads an infinite age, msgspec's does not.
            return msgspec.convert(json.loads(answer.body), kind)
        except (ValueError, msgspec.ValidationError) as error:
            raise errors.VmCallError(
                f"{address} answered something else ({error}); check that it "
                "is the caller address of an entry VM of this release."
            ) from error

    def send(
        self, address: str, request: exchange.Request
    ) -> exchange.Response:
        """Sends a request to one VM, once.

        Raises:
            errors.VmCallError: No whole answer came.
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
                f"{address} gave no whole answer ({error}); the request may "
                "have run."
            ) from error

    def get_from_all(
        self,
        addresses: Iterable[str],
        path: str,
        query: dict[str, str],
        kind: type[Answered],
    ) -> dict[str, Answered | Silent]:
        """Returns the answers of several VMs, by address.

        Args:
            addresses: Caller addresses.
            path: Path of the question.
            query: Its parameters.
            kind: Type of an answer.
        """

        def ask(address: str) -> tuple[str, Answered | Silent]:
            try:
                return address, self.get(address, path, query, kind)
            except errors.VmCallError as error:
                return address, Silent(address, str(error))

        pool = gevent.pool.Pool(CONCURRENT_QUESTIONS)
        return dict(pool.map(ask, dict.fromkeys(addresses)))

    def look_up(
        self, addresses: Iterable[str], service: str, place: str
    ) -> gateway.LookupResponse:
        """Returns the first look-up answer that one of the VMs gives.

        Args:
            addresses: Caller addresses, tried in order.
            service: Name of the service, or empty.
            place: Where the caller is, or empty.

        Raises:
            errors.VmCallError: None of them answered.
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

        A look-up answer names VMs near one place only, so each zone is asked
        for. Given addresses come first and are kept as they are.

        Args:
            addresses: Caller addresses to start from.
        """
        answers = self.get_from_all(addresses, "/v1/status", {}, gateway.Status)
        statuses = [
            answer
            for answer in answers.values()
            if isinstance(answer, gateway.Status)
        ]
        zones = {status.zone for status in statuses}
        zones |= {peer.zone for status in statuses for peer in status.peers}
        given = {status.name for status in statuses}
        found: dict[str, str] = {}
        for zone in sorted(zones):
            answer = self.look_up(addresses, "", zone)
            found |= {vm.name: vm.address for vm in answer.vms}
        others = [found[name] for name in sorted(found) if name not in given]
        return (*addresses, *others)
