"""Asks targets for their reports."""

import gevent
import msgspec

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.platformapi import exchange
from mulberrydeck.shell import runtime as runtime_module

STATUS_PATH = "/_target/status"
POLL_TIMEOUT_S = 1.0
FAILURES = (
    exchange.NotSentError,
    exchange.NoResponseError,
    msgspec.MsgspecError,
)


class TargetPoller:
    """Polls targets, at most one poll per target at a time.

    Attributes:
        runtime: Receives the reports.
        source_ip: Local IP of connections, or empty.
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
            report = self._ask(effect.address)
        finally:
            self._polling.discard(effect.target)
        event = events.TargetPolled(self.runtime.now_s(), effect.target, report)
        self.runtime.submit(event)

    def _ask(self, address: str) -> events.TargetReport | None:
        endpoint = exchange.Endpoint(f"http://{address}", self.source_ip)
        request = exchange.Request("GET", STATUS_PATH)
        try:
            answer = endpoint.exchange(request, POLL_TIMEOUT_S)
            return msgspec.json.decode(answer.body, type=events.TargetReport)
        except FAILURES:
            return None
