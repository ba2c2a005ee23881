"""Feeds events to a reducer and carries out its effects."""

import collections
from collections.abc import Callable

import gevent.event

Handler = Callable[[object], None]
Reduce = Callable[[object, object], list[object]]


class EventLoop:
    """Owns a state, and is the only caller of its reducer.

    Attributes:
        state: State that the reducer changes.
        reduce: The reducer.
        now_s: Clock of events, in seconds.
        handlers: Function that carries out an effect, by its type.
        event_count: Events handled since the start.
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
        self._draining = False
        self._decisions: dict[str, gevent.event.AsyncResult] = {}

    def submit(self, event: object) -> None:
        """Feeds an event to the reducer and carries out its effects.

        An event that an effect submits while others are carried out waits its
        turn, so effects keep their order.
        """
        self._pending.append(event)
        if self._draining:
            return
        self._draining = True
        try:
            while self._pending:
                self._step(self._pending.popleft())
        finally:
            self._draining = False

    def _step(self, event: object) -> None:
        self.event_count += 1
        for effect in self.reduce(self.state, event):
            self.handlers[type(effect)](effect)

    def decide(self, event: object) -> object:
        """Feeds an event of a request and blocks until its decision."""
        waiting = gevent.event.AsyncResult()
        self._decisions[event.request_id] = waiting
        try:
            self.submit(event)
            return waiting.get()
        finally:
            self._decisions.pop(event.request_id, None)

    def resolve(self, decision: object) -> None:
        """Hands a decision to the request that waits for it."""
        waiting = self._decisions.get(decision.request_id)
        if waiting is not None:
            waiting.set(decision)
