"""WSGI application of the platform stand-in."""

import time

import attrs
import cattrs
import gevent

from standins import serving
from standins.platform import faults
from standins.platform import store
from standins.platform import vms

OBJECTS_PATH = "/v1/objects"
MAX_WATCH_S = 60.0
MAX_VALUE_BYTES = 1 << 20


class Platform:
    """The object API and its control paths.

    Attributes:
        store: All objects.
        vms: The VM list.
        faults: Faults in force.
        counters: Counts of calls so far.
        budget: Counts of calls in the current second.
    """

    def __init__(self) -> None:
        self.store = store.Store()
        self.vms = vms.VmList()
        self.faults = faults.Faults()
        self.counters = faults.Counters()
        self.budget = faults.Budget()

    def __call__(self, environ, start_response):
        """Serves one request."""
        path = environ["PATH_INFO"]
        if path.startswith("/control/"):
            return self.control(path, environ, start_response)
        refusal = self.admit(kind_of(environ), environ)
        if refusal:
            return serving.respond(start_response, refusal)
        if path.startswith(OBJECTS_PATH + "/"):
            return self.serve_object(path, environ, start_response)
        if path == OBJECTS_PATH:
            return self.serve_list(environ, start_response)
        if path == "/v1/watch":
            return self.serve_watch(environ, start_response)
        if path == "/v1/vms":
            lagged = self.vms.lagged(self.faults.list_lag_s)
            listed = [attrs.asdict(vm) for vm in lagged]
            return serving.respond_json(start_response, listed)
        return serving.respond(start_response, "404 Not Found")

    def admit(self, kind: str, environ: serving.Environ) -> str:
        """Counts and delays a call.

        Returns:
            The status with which the call is refused; empty if it is allowed.
        """
        self.counters.count(kind, environ["REMOTE_ADDR"])
        writes = kind == "writes"
        limit = self.faults.writes_per_s if writes else self.faults.reads_per_s
        if not self.budget.allows("writes" if writes else "reads", limit):
            self.counters.over_budget += 1
            return "429 Too Many Requests"
        if self.faults.slowness_s > 0:
            gevent.sleep(self.faults.slowness_s)
        if self.faults.outage == "off":
            return ""
        while self.faults.outage == "hang":
            self.store.changed.wait()
        return "503 Service Unavailable"

    def serve_object(self, path, environ, start_response):
        """Serves one object: get, conditional put or delete."""
        key = path[len(OBJECTS_PATH) + 1 :]
        match environ["REQUEST_METHOD"]:
            case "GET":
                return self.serve_get(key, start_response)
            case "PUT":
                value = serving.read_body(environ)
                if len(value) > MAX_VALUE_BYTES:
                    return serving.respond(start_response, "413 Too Large")
                return self.serve_write(key, value, environ, start_response)
            case "DELETE":
                if self.store.get(key) is None:
                    return serving.respond(start_response, "404 Not Found")
                return self.serve_write(key, None, environ, start_response)
        return serving.respond(start_response, "405 Method Not Allowed")

    def serve_get(self, key, start_response):
        """Responds with an object's content and version."""
        entry = self.store.get(key, self.faults.stale_revision)
        if entry is None:
            return serving.respond(start_response, "404 Not Found")
        headers = [version_header(entry.version)]
        return serving.respond(start_response, "200 OK", entry.value, headers)

    def serve_write(self, key, value, environ, start_response):
        """Performs a conditional write; a fault may drop the response."""
        expected = environ.get("HTTP_IF_VERSION", "")
        if not expected.isdigit():
            return serving.respond(start_response, "428 If-Version Required")
        result = self.store.write(key, value, int(expected))
        if self.faults.loses_response():
            return serving.drop_connection(environ, start_response)
        match result:
            case store.Conflict(version=version):
                self.counters.conflicts += 1
                headers = [version_header(version)]
                status = "409 Conflict"
            case revision:
                headers = [version_header(revision)]
                status = "200 OK"
        return serving.respond(start_response, status, headers=headers)

    def serve_list(self, environ, start_response):
        """Responds with the keys and versions under a prefix."""
        prefix = serving.query_of(environ).get("prefix", "")
        versions = self.store.keys(prefix, self.faults.stale_revision)
        listed = [{"key": key, "version": version} for key, version in versions]
        return serving.respond_json(start_response, listed)

    def serve_watch(self, environ, start_response):
        """Responds with the changes after a revision, once there are any."""
        query = serving.query_of(environ)
        prefix = query.get("prefix", "")
        since = int(query.get("since", "0"))
        wait_s = min(float(query.get("wait_s", "0")), MAX_WATCH_S)
        deadline_s = time.monotonic() + wait_s
        while True:
            if self.faults.outage != "off":
                status = "503 Service Unavailable"
                return serving.respond(start_response, status)
            if not self.store.has_all_changes_after(since):
                return serving.respond(start_response, "410 Gone")
            until = self.visible_revision()
            changes = self.store.changes_after(prefix, since, until)
            remaining_s = deadline_s - time.monotonic()
            if changes or remaining_s <= 0:
                break
            self.store.changed.wait(remaining_s)
        listed = [{"key": key, "version": version} for key, version in changes]
        data = {"revision": until, "changes": listed}
        return serving.respond_json(start_response, data)

    def visible_revision(self) -> int:
        """Returns the revision that reads see."""
        stale = self.faults.stale_revision
        return self.store.revision if stale is None else stale

    def control(self, path, environ, start_response):
        """Serves the control paths, which no fault affects."""
        writes = environ["REQUEST_METHOD"] in ("POST", "PUT")
        data = serving.read_json(environ) if writes else None
        match path, writes:
            case "/control/faults", True:
                fields = attrs.asdict(self.faults) | data
                converter = cattrs.Converter(forbid_extra_keys=True)
                self.faults = converter.structure(fields, faults.Faults)
                self.store.wake()
                return serving.respond_json(start_response, fields)
            case "/control/faults", False:
                fields = attrs.asdict(self.faults)
                return serving.respond_json(start_response, fields)
            case "/control/vms", True:
                listed = cattrs.structure(data, tuple[vms.ListedVm, ...])
                self.vms.replace(listed)
                return serving.respond_json(start_response, len(listed))
            case "/control/counters", True:
                self.counters = faults.Counters()
        counts = attrs.asdict(self.counters)
        counts["revision"] = self.store.revision
        counts["written_s"] = self.store.written_s
        return serving.respond_json(start_response, counts)


def kind_of(environ: serving.Environ) -> str:
    """Returns the name of the counter that a call belongs to."""
    if environ["REQUEST_METHOD"] in ("PUT", "DELETE"):
        return "writes"
    return "watches" if environ["PATH_INFO"] == "/v1/watch" else "reads"


def version_header(version: int) -> tuple[str, str]:
    """Returns the header that carries an object's version."""
    return ("Object-Version", str(version))
