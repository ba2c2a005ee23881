"""Responses that this VM generates itself: lookups, runs, status, metrics."""

import json

import attrs

from mulberrydeck import errors
from mulberrydeck.core import gateway as gateways
from mulberrydeck.frontend import dependencies as dependency_sets
from mulberrydeck.frontend import problems
from mulberrydeck.frontend import requests
from mulberrydeck.observability import metrics as metric_sets

LOOKUP_PATH = "/v1/lookup"
RUNS_PREFIX = "/v1/runs/"
STATUS_PATH = "/v1/status"
EXPLAIN_PATH = "/v1/explain"
METRICS_PATH = "/metrics"

_JSON = [("content-type", "application/json")]


class Views:
    """Handles requests to all paths except those below `/v1/services/`."""

    def __init__(self, dependencies: dependency_sets.Dependencies) -> None:
        """Prepares the views.

        Args:
            dependencies: Dependencies of request handling.
        """
        self.gateway = dependencies.gateway
        self.metrics = dependencies.metrics
        self.by_path = {
            LOOKUP_PATH: self._lookup,
            STATUS_PATH: self._status,
            EXPLAIN_PATH: self._explain,
            METRICS_PATH: self._metrics,
        }

    def serve(self, request: requests.Request) -> None:
        """Responds to a request.

        Raises:
            requests.RefusedError: The path or method is unknown.
        """
        if request.path.startswith(RUNS_PREFIX):
            view = self._run_outcome
        else:
            view = self.by_path.get(request.path)
        if view is None:
            raise requests.RefusedError(problems.NOT_FOUND)
        if request.head.method not in ("GET", "HEAD"):
            raise requests.RefusedError(problems.METHOD_NOT_ALLOWED)
        request.response.closing |= not request.fully_read
        view(request)

    def _lookup(self, request: requests.Request) -> None:
        query = gateways.LookupQuery(
            service=request.parameter("service"),
            place=request.parameter("from"),
            caller_ip=request.connection.peer_ip,
        )
        lookup_response = self.gateway.lookup(query)
        fields = [
            *_JSON,
            ("cache-control", f"max-age={int(lookup_response.lifetime_s)}"),
        ]
        request.response.send_complete(200, fields, _encode(lookup_response))

    def _status(self, request: requests.Request) -> None:
        request.response.send_complete(
            200, _JSON, _encode(self.gateway.status())
        )

    def _explain(self, request: requests.Request) -> None:
        query = gateways.ExplainQuery(
            account=request.parameter("account"),
            service=request.parameter("service"),
            place=request.parameter("from"),
        )
        explanation = self.gateway.explain(query)
        request.response.send_complete(200, _JSON, _encode(explanation))

    def _metrics(self, request: requests.Request) -> None:
        self.metrics.set_status(self.gateway.status())
        fields = [("content-type", metric_sets.CONTENT_TYPE)]
        request.response.send_complete(200, fields, self.metrics.render())

    def _run_outcome(self, request: requests.Request) -> None:
        run_id = request.path[len(RUNS_PREFIX) :]
        key = requests.parse_key(request.head)
        outcome = self.gateway.run_outcome(key, run_id)
        if isinstance(outcome, errors.Problem):
            raise requests.RefusedError(outcome)
        request.response.send_complete(200, _JSON, _encode(outcome))


def _encode(value: object) -> bytes:
    return json.dumps(attrs.asdict(value)).encode()
