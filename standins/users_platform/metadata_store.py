"""Stand-in of the metadata store: objects, watches, revisions and faults."""

import collections
import copy
import time
import urllib.parse

import gevent
import gevent.event

from standins import serving

PAGE_SIZE = 500


class MetadataStore:
    """All objects with their history of changes.

    Attributes:
        revision: Revision of the last change.
        objects: Objects by kind, then name.
        history: Changes in order: revision, kind, object, whether deleted.
        oldest_revision: Oldest revision from which a watch can continue.
        mode: `on`, `refusing` (responds with 503) or `silent` (holds calls).
        responses_to_drop: Number of further writes that are applied without
            sending a response.
        calls: Number of calls so far, by HTTP method.
        calls_by_ip: Number of calls so far, by the caller's IP address.
        refused: IP addresses whose calls are refused with 503.
        silenced: IP addresses whose calls are held, waiting watches included.
        era: Value of `Store-Era`; None to send none.
        changed: Event for held calls and watches.
    """

    def __init__(self):
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.oldest_revision = 0
        self.mode = "on"
        self.responses_to_drop = 0
        self.calls: dict[str, int] = {}
        self.calls_by_ip: collections.Counter[str] = collections.Counter()
        self.refused: set[str] = set()
        self.silenced: set[str] = set()
        self.era: int | None = None
        self.changed = gevent.event.Event()

    def copy(self) -> tuple[int, dict]:
        """Returns a copy of the objects, with its revision."""
        return self.revision, copy.deepcopy(self.objects)

    def restore(self, copied: tuple[int, dict]) -> None:
        """Comes back from a copy; revisions after it are given out again."""
        self.revision, objects = copied
        self.objects = copy.deepcopy(objects)
        self.history = [
            change for change in self.history if change[0] <= self.revision
        ]
        self.era = (self.era or 0) + 1
        self._wake()

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Writes an object directly, without a call or a revision check."""
        current = self.objects.setdefault(kind, {}).get(name)
        created = (
            current["Metadata"]["Created"] if current else self.revision + 1
        )
        self.revision += 1
        stored = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "Created": created,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        self.objects[kind][name] = stored
        self._record_change(kind, stored, False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Removes an object directly, without a call or a revision check."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is None:
            return
        self.revision += 1
        removed = copy.deepcopy(stored)
        removed["Metadata"]["Revision"] = self.revision
        self._record_change(kind, removed, True)

    def forget_history(self) -> None:
        """Drops the history; watches from earlier revisions get 410."""
        self.oldest_revision = self.revision + 1
        self.revision += 1
        self.history.clear()
        self._wake()

    def set_mode(self, mode: str) -> None:
        """Sets the mode, for calls and watches in progress too."""
        self.mode = mode
        self._wake()

    def refuse(self, ip: str) -> None:
        """Refuses all further calls from an IP address, open watches too."""
        self.refused.add(ip)
        self._wake()

    def silence(self, ip: str) -> None:
        """Holds all further calls from an IP address, open watches too."""
        self.silenced.add(ip)
        self._wake()

    def _record_change(self, kind: str, stored: dict, deleted: bool) -> None:
        change = (self.revision, kind, copy.deepcopy(stored), deleted)
        self.history.append(change)
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed.clear()

    def __call__(self, environ, start_response):
        """Serves one call."""
        if self.era is not None:
            era = ("Store-Era", str(self.era))
            respond = start_response

            def start_response(status, fields):
                return respond(status, [*fields, era])

        method = environ["REQUEST_METHOD"]
        self.calls[method] = self.calls.get(method, 0) + 1
        caller = environ["REMOTE_ADDR"]
        self.calls_by_ip[caller] += 1
        if caller in self.refused:
            return serving.respond(start_response, "503 Refused")
        self._hold(caller)
        if self.mode == "refusing":
            return serving.respond(start_response, "503 Refused")
        parts = environ["PATH_INFO"].strip("/").split("/")
        kind = parts[1]
        name = urllib.parse.unquote(parts[2]) if len(parts) > 2 else ""
        if method == "GET":
            return self._read(kind, name, environ, start_response)
        return self._write(method, kind, name, environ, start_response)

    def _hold(self, caller: str) -> None:
        """Waits while calls from the caller are held."""
        while self.mode == "silent" or caller in self.silenced:
            self.changed.wait(1.0)

    def _read(self, kind, name, environ, start_response):
        query = serving.query_of(environ)
        if name:
            stored = self.objects.get(kind, {}).get(name)
            if stored is None:
                return serving.respond(start_response, "404 Not Found")
            return serving.respond_json(start_response, stored)
        if "Watch" in query:
            return self._watch(kind, query, environ, start_response)
        names = sorted(self.objects.get(kind, {}))
        remaining = [each for each in names if each > query.get("after", "")]
        page = {
            "items": [
                self.objects[kind][each] for each in remaining[:PAGE_SIZE]
            ],
            "HasMore": len(remaining) > PAGE_SIZE,
            "At": self.revision,
        }
        return serving.respond_json(start_response, page)

    def _watch(self, kind, query, environ, start_response):
        since = int(query["Watch"])
        deadline_s = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            self._hold(environ["REMOTE_ADDR"])
            refused = environ["REMOTE_ADDR"] in self.refused
            if refused or self.mode == "refusing":
                return serving.respond(start_response, "503 Refused")
            if not self.oldest_revision <= since <= self.revision:
                return serving.respond(start_response, "410 Gone")
            events = [
                {"Object": stored, "Deleted": deleted}
                for revision, changed, stored, deleted in self.history
                if revision > since and changed == kind
            ]
            remaining_s = deadline_s - time.monotonic()
            if events or remaining_s <= 0:
                break
            self.changed.wait(remaining_s)
        content = {"events": events, "At": self.revision}
        return serving.respond_json(start_response, content)

    def _write(self, method, kind, name, environ, start_response):
        body = serving.read_json(environ)
        if method == "POST":
            name = body["Metadata"]["Name"]
        current = self.objects.get(kind, {}).get(name)
        expected = (body.get("Metadata") or {}).get("Revision")
        if method == "POST" and current is not None:
            return serving.respond_json(start_response, current, "409 Conflict")
        if method != "POST" and current is None:
            return serving.respond(start_response, "404 Not Found")
        if expected is not None and expected != current["Metadata"]["Revision"]:
            return serving.respond_json(start_response, current, "409 Conflict")
        if method == "DELETE":
            self.remove(kind, name)
            return serving.respond_json(start_response, {})
        stored = self.put(kind, name, body["Spec"])
        if self.responses_to_drop:
            self.responses_to_drop -= 1
            return serving.drop_connection(environ, start_response)
        return serving.respond_json(start_response, stored)
