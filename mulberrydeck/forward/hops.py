"""Encodes request heads for targets and other VMs."""

from collections.abc import Callable
import time
import urllib.parse

import attrs

from mulberrydeck.core import effects
from mulberrydeck.forward import exchange
from mulberrydeck.forward import fields as header_fields
from mulberrydeck.forward import relaying


@attrs.frozen
class OutgoingRequest:
    """Parts of a request that all of its attempts share.

    Attributes:
        method: HTTP method.
        path: Path and query for the target.
        relay_path: Path and query for another VM.
        header_lines: Encoded header fields that are forwarded.
        framing_line: Encoded header field that frames the body, or empty.
        request_id: Identifier that is reported to the caller.
        run_id: Identifier of a single run, or empty.
        traceparent: W3C trace context as received, or empty.
        request_start: Value of the request start field as another VM sent
            it, or empty.
    """

    method: str
    path: str
    relay_path: str
    header_lines: str
    framing_line: str
    request_id: str
    run_id: str
    traceparent: str = ""
    request_start: str = ""

    def request_start_field(self) -> tuple[str, str]:
        """Returns the field with the time when the first VM sent the request.

        Targets compute from it how long a request was in transit.
        """
        value = self.request_start or f"t={time.time():.6f}"
        return header_fields.REQUEST_START, value


def to_target(
    outgoing: OutgoingRequest,
    decision: effects.ForwardToTarget,
    traceparent: str,
) -> exchange.Hop:
    """Returns the hop to a target.

    Args:
        outgoing: Parts that all attempts share.
        decision: Chosen target.
        traceparent: W3C trace context, or empty.
    """
    attempt_id = f"{decision.request_id}-{decision.attempt}"
    added = [
        ("mulberrydeck-request-id", outgoing.request_id),
        (exchange.ATTEMPT_ID_FIELD, attempt_id),
        ("mulberrydeck-deadline", f"{decision.remaining_s:.3f}"),
        outgoing.request_start_field(),
    ]
    if outgoing.run_id:
        added.append(("mulberrydeck-run-id", outgoing.run_id))
    if decision.account:
        added.append(
            ("mulberrydeck-account", _quote_non_ascii(decision.account))
        )
    if traceparent:
        added.append(("traceparent", traceparent))
    return exchange.Hop(
        address=decision.address,
        head=_encode_head(outgoing, outgoing.path, decision.address, added),
        method=outgoing.method,
        remaining_s=decision.remaining_s,
        attempt_id=attempt_id,
        repeatable=decision.repeatable,
        start_by_s=decision.start_by_s,
    )


def to_vm(
    outgoing: OutgoingRequest,
    decision: effects.ForwardToVm,
    traceparent: str,
    secret: bytes,
    allow_bytes: Callable[[str, int], int],
) -> exchange.Hop:
    """Returns the hop to another VM.

    Args:
        outgoing: Parts that all attempts share.
        decision: Chosen VM.
        traceparent: W3C trace context, or empty.
        secret: Shared secret of the fleet.
        allow_bytes: Blocks until a link may carry at least one of the given
            number of bytes, and returns how many it may carry.
    """
    link = decision.link
    relay = relaying.RelayMetadata(
        account=decision.account,
        request_id=outgoing.request_id,
        attempt=decision.attempt,
        remaining_s=decision.remaining_s,
        run_id=outgoing.run_id,
        response_link=relaying.reverse(link) if link else "",
    )
    path = outgoing.relay_path
    value = relaying.encode(relay, secret, outgoing.method, path)
    added = [(relaying.FIELD, value), outgoing.request_start_field()]
    if traceparent:
        added.append(("traceparent", traceparent))
    return exchange.Hop(
        address=decision.address,
        head=_encode_head(outgoing, path, decision.address, added),
        method=outgoing.method,
        remaining_s=decision.remaining_s,
        pace=(lambda count: allow_bytes(link, count)) if link else None,
        is_vm=True,
        repeatable=decision.repeatable,
        start_by_s=decision.start_by_s,
    )


def _encode_head(
    outgoing: OutgoingRequest,
    path: str,
    host: str,
    added: list[tuple[str, str]],
) -> bytes:
    text = (
        f"{outgoing.method} {path} HTTP/1.1\r\nhost: {host}\r\n"
        f"{outgoing.header_lines}{header_fields.encode(added)}"
        f"{outgoing.framing_line}\r\n"
    )
    return text.encode("latin-1")


def _quote_non_ascii(name: str) -> str:
    return name if name.isascii() else urllib.parse.quote(name)
