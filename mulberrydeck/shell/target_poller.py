"""Polls targets for their status reports."""

import gevent
import msgspec

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.platformapi import exchange
from mulberrydeck.shell import runtime as runtime_module

STATUS_PATH = "/_target/status"
POLL_TIMEOUT_S = 1.0
# Many times a usual report; all targets may be polled at the same time.
MAX_REPORT_BYTES = 64 * 1024
POLL_ERRORS = (
    exchange.NotSentError,
    exchange.NoResponseError,
    msgspec.MsgspecError,
)


class TargetPoller:
    """Polls targets, at most one poll per target at a time.

    Attributes:
        runtime: Event loop that receives the reports.
        source_ip: Local IP of connections; empty lets the system choose.
    """

    def __init__(self, runtime: runtime_module.Runtime, source_ip: str) -> None:
        self.runtime = runtime
        self.source_ip = source_ip
        self._polling: set[str] = set()
        runtime.handlers[effects.PollTarget] = self._spawn

    def _spawn(self, effect: effects.PollTarget) -> None:
        if effect.target not in self._polling:
            self._polling.add(effect.target)
            gevent.spawn(self._poll, effect)

    def _poll(self, effect: effects.PollTarget) -> None:
        try:
            report = self._fetch_report(effect.address)
        finally:
            self._polling.discard(effect.target)
        event = events.TargetPolled(self.runtime.now_s(), effect.target, report)
        self.runtime.submit(event)

    def _fetch_report(self, address: str) -> events.TargetReport | None:
        endpoint = exchange.Endpoint(f"http://{address}", self.source_ip)
        request = exchange.Request(
            "GET", STATUS_PATH, max_response_bytes=MAX_REPORT_BYTES
        )
        try:
            response = endpoint.exchange(request, POLL_TIMEOUT_S)
            return msgspec.json.decode(response.body, type=events.TargetReport)
        except POLL_ERRORS:
            return None
