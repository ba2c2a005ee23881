"""Passes events to a reducer and executes its effects."""

import collections
from collections.abc import Callable

import gevent.event

Handler = Callable[[object], None]
Reduce = Callable[[object, object], list[object]]


class EventLoop:
    """Owns a state, and is the only caller of its reducer.

    Attributes:
        state: State that the reducer changes.
        reduce: Reducer; applies an event to the state and returns effects.
        now_s: Monotonic clock of the events, in seconds.
        handlers: Function that executes an effect, by type of the effect.
        event_count: Number of events handled since process start.
    """

    def __init__(
        self, state: object, reduce: Reduce, now_s: Callable[[], float]
    ) -> None:
        self.state = state
        self.reduce = reduce
        self.now_s = now_s
        self.handlers: dict[type, Handler] = {}
        self.event_count = 0
        self._pending: collections.deque[object] = collections.deque()
        self._processing = False
        self._decisions: dict[str, gevent.event.AsyncResult] = {}

    def submit(self, event: object) -> None:
        """Passes an event to the reducer and executes its effects.

        An event submitted by an effect handler is queued until the effects of
        the current event are executed, so that effects keep their order.
        """
        self._pending.append(event)
        if self._processing:
            return
        self._processing = True
        try:
            while self._pending:
                self._step(self._pending.popleft())
        finally:
            self._processing = False

    def _step(self, event: object) -> None:
        self.event_count += 1
        for effect in self.reduce(self.state, event):
            self.handlers[type(effect)](effect)

    def decide(self, event: object) -> object:
        """Submits an event of a request; blocks until its decision is known."""
        result = gevent.event.AsyncResult()
        self._decisions[event.request_id] = result
        try:
            self.submit(event)
            return result.get()
        finally:
            self._decisions.pop(event.request_id, None)

    def resolve(self, decision: object) -> None:
        """Passes a decision to the request that waits for it, if any."""
        result = self._decisions.get(decision.request_id)
        if result is not None:
            result.set(decision)
