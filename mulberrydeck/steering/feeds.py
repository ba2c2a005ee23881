"""Passes the store's contents on from a VM that leads to its followers.

A follower sends a request with the revisions that it knows. The leader holds
it like a long poll: it responds once it has updates, or after its next check
of the store.
"""

import collections
from collections.abc import Callable
import math

import attrs
import gevent
import gevent.event

from mulberrydeck import errors
from mulberrydeck.peers import feed_messages
from mulberrydeck.platform import store as stores
from mulberrydeck.shell import event_loop
from mulberrydeck.steering import events
from mulberrydeck.steering import mirrors
from mulberrydeck.steering import reporting
from mulberrydeck.steering import targets

# A request that neither an update nor a check of the store has completed gets a
# response after this time; 1.5 times `store_sync.CHECK_INTERVAL_S`.
MAX_HOLD_S = 0.6
# Added to the hold before a request times out; ten round trips between distant
# regions.
RESPONSE_MARGIN_S = 0.4
FEED_KIND = "feed"  # Stands for all kinds in events that a leader reported.
STORE_ORIGIN = "store"  # Name of the origin of data read from the store.

Send = Callable[[str, object], None]


@attrs.frozen
class Origin:
    """Where data was requested, and when.

    Attributes:
        name: `store`, or the VM that the request was sent to.
        requested_s: When the request was sent, in seconds.
    """

    name: str
    requested_s: float


@attrs.define
class _PendingRequest:
    request: feed_messages.FeedRequest
    received_s: float


class FeedServer:
    """Responds to VMs that get updates of the store from this one.

    Attributes:
        mirrors: Copies of the objects of each kind, while this VM leads.
        leads: Whether other VMs may get updates from this one.
        keeps_copies: Whether what this VM reads is copied: while it leads, and
            from its start until that is decided.
        checked_s: When the last check that reached the store was sent, in
            seconds.
        pending: Requests that wait for updates, by VM.
        regained_s: When the store last became reachable again, in seconds.
    """

    def __init__(
        self,
        send: Send,
        now_s: Callable[[], float],
        reports: reporting.Reports,
    ) -> None:
        self.send = send
        self.now_s = now_s
        self.reports = reports
        self.mirrors: dict[str, mirrors.Mirror] = {}
        self.leads = False
        self.keeps_copies = True
        self.checked_s = -math.inf
        self.pending: dict[str, _PendingRequest] = {}
        self.regained_s = -math.inf

    def start(self) -> bool:
        """Starts to pass on what this VM reads from the store.

        Returns:
            Whether all that this VM reads was copied already.
        """
        has_copies = self.keeps_copies
        self.leads = True
        self.keeps_copies = True
        return has_copies

    def stop(self) -> None:
        """Tells the followers that this VM no longer leads."""
        self.leads = False
        self.keeps_copies = False
        self.mirrors.clear()
        for name in list(self.pending):
            self._respond(name)

    def apply_list(self, kind: str, listing: stores.Listing) -> None:
        """Applies a list that this VM read, and responds with the changes."""
        if self.keeps_copies:
            self.mirrors.setdefault(kind, mirrors.Mirror()).replace(listing)
            self._respond_to_all()

    def apply_changes(self, kind: str, changes: stores.Changes) -> None:
        """Applies changes that this VM read, and responds with them."""
        if kind in self.mirrors:
            self.mirrors[kind].apply(changes)
            self._respond_to_all()

    def apply_part(
        self,
        part: feed_messages.FeedPart,
        changes: tuple[stores.Change, ...],
    ) -> None:
        """Applies updates of another VM, and passes them on.

        Args:
            part: The updates.
            changes: Its decoded objects.
        """
        if not self.leads:
            return
        mirror = self.mirrors.setdefault(part.kind, mirrors.Mirror())
        if mirror.apply_part(part, changes):
            self._respond_to_all()
        else:
            # A later check must not make this copy look current.
            del self.mirrors[part.kind]

    def known_revision(self, kind: str) -> int:
        """Returns the revision of the copy of a kind."""
        mirror = self.mirrors.get(kind)
        return mirrors.ALL_OBJECTS if mirror is None else mirror.revision

    def check_succeeded(self, sent_s: float) -> None:
        """Records that all changes up to a time are known.

        The watches of this VM, or its source, have passed on any change before
        the check, so that each pending request can be completed.

        Args:
            sent_s: When the check of the store was sent, in seconds.
        """
        self.checked_s = max(self.checked_s, sent_s)
        for name, pending in list(self.pending.items()):
            if self._has_all_kinds(pending.request):
                self._respond(name)

    def store_regained(self, regained_s: float) -> None:
        """Records when the store became reachable again, in seconds."""
        self.regained_s = max(self.regained_s, regained_s)

    def handle_request(
        self, sender: str, request: feed_messages.FeedRequest
    ) -> None:
        """Responds to a request at once, or when there are updates."""
        self.pending[sender] = _PendingRequest(request, self.now_s())
        self._respond_if_newer(sender)

    def decline(self, sender: str) -> None:
        """Completes a request without updates, if it is still pending."""
        if sender in self.pending:
            self._respond(sender)

    def expire(self) -> None:
        """Completes requests that have been pending for `MAX_HOLD_S`."""
        now_s = self.now_s()
        for name, pending in list(self.pending.items()):
            if now_s >= pending.received_s + MAX_HOLD_S:
                self._respond(name)

    def _respond_to_all(self) -> None:
        for name in list(self.pending):
            self._respond_if_newer(name)

    def _respond_if_newer(self, name: str) -> None:
        """Sends updates if there are any; else the request stays pending.

        Until all kinds were read, a response would say that this VM does not
        lead, and the requester would turn to another one.
        """
        if not self._has_all_kinds(self.pending[name].request):
            return
        parts = []
        for known in self.pending[name].request.known:
            mirror = self.mirrors[known.kind]
            part = mirror.changes_since(known.kind, known.revision)
            if part is not None and (part.objects or part.since < 0):
                parts.append(part)
        if parts:
            self._respond(name, tuple(parts))

    def _has_all_kinds(self, request: feed_messages.FeedRequest) -> bool:
        return self.leads and all(
            known.kind in self.mirrors for known in request.known
        )

    def _respond(
        self, name: str, parts: tuple[feed_messages.FeedPart, ...] = ()
    ) -> None:
        pending = self.pending.pop(name)
        now_s = self.now_s()
        has_all_kinds = self._has_all_kinds(pending.request)
        response = feed_messages.FeedResponse(
            echo_s=pending.request.sent_s,
            waited_s=now_s - pending.received_s,
            checked_age_s=now_s - self.checked_s if has_all_kinds else None,
            regained_age_s=now_s - self.regained_s,
            parts=parts,
        )
        try:
            self.send(name, response)
        except errors.MessageError as error:
            # The follower times out and reads the store itself.
            reason = str(error)
            self.reports.write(
                "store",
                "The updates for a VM are too large to send.",
                reason=reason,
            )


class FeedClient:
    """Gets updates of the store from another VM, such as a group's leader.

    Attributes:
        revisions: Known revision of each kind, shared with the watchers of the
            store.
        server: Passes the updates on while this VM leads.
        responses: Responses that arrived and are not applied yet.
    """

    def __init__(
        self,
        loop: event_loop.EventLoop,
        send: Send,
        apply: Callable[[feed_messages.FeedPart, Origin], None],
        revisions: dict[str, int],
        server: FeedServer,
    ) -> None:
        self.server = server
        self.loop = loop
        self.send = send
        self.apply = apply
        self.revisions = revisions
        self.source = ""
        self.regained_s = -math.inf
        self.responses: collections.deque[feed_messages.FeedResponse] = (
            collections.deque()
        )
        self.response_arrived = gevent.event.Event()

    def receive(
        self, sender: str, response: feed_messages.FeedResponse
    ) -> None:
        """Queues a response, unless it is not from the current source."""
        if sender == self.source:
            self.responses.append(response)
            self.response_arrived.set()

    def run(self, source: str) -> None:
        """Sends one request after the other to a VM, until one fails."""
        self.source = source
        self.responses.clear()
        while True:
            self.response_arrived.clear()
            known = tuple(
                feed_messages.KnownRevision(kind, self._known_revision(kind))
                for kind in self.revisions
            )
            self.send(
                source, feed_messages.FeedRequest(known, self.loop.now_s())
            )
            if not self.response_arrived.wait(MAX_HOLD_S + RESPONSE_MARGIN_S):
                self._report_failure(declined=False)
                return
            while self.responses:
                if not self._apply_response(self.responses.popleft()):
                    self._report_failure(declined=True)
                    return

    def _known_revision(self, kind: str) -> int:
        """Returns the revision from which updates of a kind are needed.

        A VM that leads needs the contents of all objects, also of those that
        were applied before it led.
        """
        if self.server.leads:
            return self.server.known_revision(kind)
        return self.revisions[kind]

    def _apply_response(self, response: feed_messages.FeedResponse) -> bool:
        """Applies a response; returns whether its sender leads."""
        self._report_regained(response)
        origin = Origin(self.source, response.echo_s)
        for part in response.parts:
            self.apply(part, origin)
        if response.checked_age_s is None:
            return False
        # Assumes the worst case: the request arrived at once, and all of the
        # network delay is the response's.
        responded_s = response.echo_s + response.waited_s
        checked_s = responded_s - response.checked_age_s
        self.loop.submit(
            events.SourceChecked(self.loop.now_s(), self.source, checked_s)
        )
        self.server.check_succeeded(checked_s)
        return True

    def _report_regained(self, response: feed_messages.FeedResponse) -> None:
        """Reports the end of a store outage before the updates that follow it.

        Entries that are missing from these updates may be registered again.
        """
        now_s = self.loop.now_s()
        regained_s = now_s - response.regained_age_s
        is_new = regained_s > self.regained_s + targets.EXPIRED_ENTRY_GRACE_S
        if is_new and response.regained_age_s < targets.EXPIRED_ENTRY_GRACE_S:
            self.regained_s = regained_s
            self.loop.submit(events.StoreRegained(regained_s, FEED_KIND, 0.0))
            self.server.store_regained(regained_s)

    def _report_failure(self, declined: bool) -> None:
        now_s = self.loop.now_s()
        self.loop.submit(events.SourceFailed(now_s, self.source, declined))
