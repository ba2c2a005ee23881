"""WSGI application of one target stand-in."""

import hashlib
import json
import time

import attrs
import cattrs
import gevent

from standins import serving
from standins.target import behaviour
from standins.target import responses

NOT_RUN = ("Mulberrydeck-Ran", "no")
HANG_S = 3600.0
FORGED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"


@attrs.frozen
class RequestOptions:
    """What the query of a request asks the target to do.

    Attributes:
        work_s: Work time, in seconds; None means the target's default.
        response_bytes: Length of the response body; None requests a JSON
            receipt.
        pace_s: Pause between two blocks of the response, in seconds.
        chunked: Whether the response is sent without a content length.
    """

    work_s: float | None
    response_bytes: int | None
    pace_s: float
    chunked: bool


class Target:
    """One target with its request, status and control paths.

    Attributes:
        state: Slots, behaviour and run log.
    """

    def __init__(self, state: behaviour.TargetState):
        self.state = state

    def __call__(self, environ, start_response):
        """Serves one request."""
        path = environ["PATH_INFO"]
        if path == "/_target/status":
            return self.serve_status(start_response)
        if path.startswith("/_control"):
            return self.control(path, environ, start_response)
        run = self.new_run(environ)
        start_response = identified(start_response, environ)
        if not self.state.acquire_slot(run):
            return serving.respond(
                start_response, "503 Slots Full", headers=[NOT_RUN]
            )
        return self.execute(run, environ, start_response)

    def serve_status(self, start_response):
        """Responds with health and load."""
        if self.state.behaviour.status_hangs:
            gevent.sleep(HANG_S)
        return serving.respond_json(start_response, self.state.report())

    def new_run(self, environ: serving.Environ) -> behaviour.Run:
        """Returns the run log entry of a new request."""
        self.state.arrived += 1
        query = environ.get("QUERY_STRING", "")
        return behaviour.Run(
            index=self.state.arrived,
            target=self.state.name,
            start_s=time.monotonic(),
            request_id=environ.get("HTTP_MULBERRYDECK_REQUEST_ID", ""),
            account=environ.get("HTTP_MULBERRYDECK_ACCOUNT", ""),
            run_id=environ.get("HTTP_MULBERRYDECK_RUN_ID", ""),
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"] + ("?" + query if query else ""),
            headers=environ["standins.headers"],
            concurrent=self.state.used,
            leaving=self.state.behaviour.leaving,
        )

    def execute(self, run, environ, start_response):
        """Runs a request that holds a slot and yields its response."""
        outcome = "cancelled"
        try:
            options = options_of(environ)
            digest = self.receive(run, environ)
            outcome = self.do_work(run, options, environ)
            if outcome == "done":
                outcome = self.state.next_fault() or "done"
            receipt = receipt_of(run, digest)
            yield from self.respond(
                run, options, receipt, outcome, environ, start_response
            )
        except GeneratorExit:
            outcome = "cancelled"
            raise
        finally:
            self.state.release_slot(run, outcome)

    def receive(self, run, environ) -> str:
        """Reads the complete request body; returns its digest."""
        digest = hashlib.sha256()
        while block := environ["wsgi.input"].read(responses.BLOCK_BYTES):
            digest.update(block)
            run.received_bytes += len(block)
        return digest.hexdigest()

    def do_work(self, run, options: RequestOptions, environ) -> str:
        """Waits for the work time; returns the outcome."""
        work_s = self.state.work_s(options.work_s)
        deadline = environ.get("HTTP_MULBERRYDECK_DEADLINE", "")
        allowed_s = float(deadline) if deadline else work_s
        connection = serving.connection_of(environ)
        if connection.peer_closes_within(min(work_s, allowed_s)):
            return "cancelled"
        if allowed_s < work_s:
            return "deadline"
        return "failed" if self.state.fails() else "done"

    def respond(self, run, options, receipt, outcome, environ, start_response):
        """Yields the response for an outcome."""
        match outcome:
            case "cancelled" | "reset":
                yield from serving.drop_connection(environ, start_response)
            case "hang":
                gevent.sleep(HANG_S)
            case "deadline":
                status = "504 Deadline Exceeded"
                yield from serving.respond(start_response, status)
            case "unavailable":
                status = "503 Service Unavailable"
                yield from serving.respond(start_response, status)
            case "failed":
                status = "500 Internal Server Error"
                yield from serving.respond(start_response, status)
            case _:
                yield from send_success(
                    run, options, receipt, outcome, start_response
                )
                if outcome == "truncate":
                    serving.connection_of(environ).shut_down()

    def control(self, path, environ, start_response):
        """Serves the control paths."""
        is_post = environ["REQUEST_METHOD"] == "POST"
        match path, is_post:
            case "/_control", True:
                fields = attrs.asdict(self.state.behaviour)
                fields |= serving.read_json(environ)
                converter = cattrs.Converter(forbid_extra_keys=True)
                self.state.change(
                    converter.structure(fields, behaviour.Behaviour)
                )
            case "/_control/restart", True:
                self.state.restart()
            case "/_control/runs", False:
                after = int(serving.query_of(environ).get("after", "0"))
                runs = [
                    attrs.asdict(run)
                    for run in self.state.runs
                    if run.index > after
                ]
                return serving.respond_json(start_response, runs)
        fields = attrs.asdict(self.state.behaviour)
        return serving.respond_json(start_response, fields)


def identified(
    start_response: serving.StartResponse, environ: serving.Environ
) -> serving.StartResponse:
    """Returns a WSGI callable that adds the identifier of the attempt."""
    attempt_id = environ.get("HTTP_MULBERRYDECK_ATTEMPT_ID")
    if attempt_id is None:
        return start_response
    added = ("Mulberrydeck-Attempt-Id", attempt_id)

    def start(status: str, headers: list[tuple[str, str]]) -> object:
        return start_response(status, [*headers, added])

    return start


def options_of(environ: serving.Environ) -> RequestOptions:
    """Returns the options in the query of a request."""
    query = serving.query_of(environ)
    work_ms = query.get("work_ms")
    response_bytes = query.get("bytes")
    return RequestOptions(
        work_s=None if work_ms is None else float(work_ms) / 1000,
        response_bytes=None if response_bytes is None else int(response_bytes),
        pace_s=float(query.get("pace_ms", "0")) / 1000,
        chunked=query.get("chunked") == "1",
    )


def receipt_of(run: behaviour.Run, digest: str) -> bytes:
    """Returns the JSON response to a request that set no response size."""
    receipt = {
        "target": run.target,
        "index": run.index,
        "request_id": run.request_id,
        "account": run.account,
        "run_id": run.run_id,
        "received_bytes": run.received_bytes,
        "received_sha256": digest,
    }
    return json.dumps(receipt).encode()


def send_success(
    run, options: RequestOptions, receipt: bytes, fault: str, start_response
):
    """Yields a successful response, complete or damaged by a fault.

    Args:
        run: The request.
        options: Options of the request.
        receipt: Body to send when the request set no response size.
        fault: `done` for none, `truncate` or `overlong`.
        start_response: The WSGI callable.
    """
    size = options.response_bytes
    blocks = [receipt]
    if size is not None:
        blocks = responses.body_blocks(run.request_id, size)
    length = len(receipt) if size is None else size
    headers = [("Target", run.target)]
    if not options.chunked:
        headers.append(("Content-Length", str(length)))
    start_response("200 OK", headers)
    if run.method == "HEAD":
        return
    if fault == "truncate":
        blocks = [b"".join(blocks)[: length // 2]]
    for block in blocks:
        yield block
        gevent.sleep(options.pace_s)
    if fault == "overlong":
        yield FORGED_RESPONSE
