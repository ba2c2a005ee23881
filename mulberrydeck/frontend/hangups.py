"""Detection of callers that hang up while their request is in progress."""

import select

import attrs
import gevent
from gevent import monkey

SWEEP_INTERVAL_S = 0.05

_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class CallerGoneError(Exception):
    """The caller closed or reset its connection before its answer ended."""


@attrs.define(eq=False)
class Watched:
    """A request in progress.

    Attributes:
        greenlet: Greenlet that serves the request.
        descriptor: File descriptor of the caller's connection.
    """

    greenlet: gevent.Greenlet
    descriptor: int


class HangupWatch:
    """Looks at all callers' connections at a fixed interval.

    One system call per sweep covers all requests, so that a request which is
    answered sooner costs nothing, and bytes of a next request that is already
    waiting do not hide the end of the connection.

    Attributes:
        requests: Requests in progress by file descriptor.
    """

    def __init__(self) -> None:
        self.requests: dict[int, Watched] = {}
        self.poller = monkey.get_original("select", "poll")
        self.sweeper: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts to sweep."""
        self.sweeper = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the sweeps."""
        if self.sweeper is not None:
            self.sweeper.kill()

    def add(self, descriptor: int) -> None:
        """Watches the connection for the current greenlet."""
        self.requests[descriptor] = Watched(gevent.getcurrent(), descriptor)

    def remove(self, descriptor: int) -> None:
        """Ends the watch of a connection."""
        self.requests.pop(descriptor, None)

    def sweep(self) -> None:
        """Cancels the requests whose callers have gone."""
        if not self.requests:
            return
        poll = self.poller()
        for descriptor in self.requests:
            poll.register(descriptor, select.POLLRDHUP)
        for descriptor, happened in poll.poll(0):
            watched = self.requests.get(descriptor)
            if watched is not None and happened & _GONE:
                self._cancel(watched)

    def _cancel(self, watched: Watched) -> None:
        gevent.get_hub().loop.run_callback(self._throw, watched)

    def _throw(self, watched: Watched) -> None:
        if self.requests.get(watched.descriptor) is watched:
            del self.requests[watched.descriptor]
            watched.greenlet.throw(CallerGoneError("The caller hung up."))

    def _run(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self.sweep()
