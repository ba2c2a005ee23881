"""The gateway between the HTTP side and the reducer."""

import gevent

from mulberrydeck import errors
from mulberrydeck.core import authentication
from mulberrydeck.core import events
from mulberrydeck.core import gateway
from mulberrydeck.core import reports
from mulberrydeck.quota import reducer as quota
from mulberrydeck.routing import lookup
from mulberrydeck.runs import recorder
from mulberrydeck.shell import runtime as runtime_module

MAX_PACING_WAIT_S = 0.02
PACING_SLICE_S = 0.01
MIN_SLICE_BYTES = 2048
MAX_SLICE_BYTES = 1024 * 1024
DIRECTORY_LIFETIME_S = 0.5


class CoreGateway:
    """Implements `core.gateway.Gateway` on the runtime.

    Attributes:
        runtime: Owner of the state.
        runs: Reads outcomes of single runs.
    """

    def __init__(
        self, runtime: runtime_module.Runtime, runs: recorder.RunRecorder
    ) -> None:
        self.runtime = runtime
        self.runs = runs
        self.now_s = runtime.now_s
        self.submit = runtime.submit
        self.decide = runtime.decide
        self._directory: lookup.Directory | None = None
        self._directory_until_s = 0.0

    def allow_bytes(self, link: str, count: int) -> int:
        """Blocks until the link may carry some bytes; returns how many."""
        state = self.runtime.state
        resource = f"link/{link}"
        size = min(count, self._slice_bytes(resource))
        ends_s = self.now_s() + state.settings.idle_timeout_s
        while True:
            wait_s = quota.take(state.quota, self.now_s(), resource, size)
            if wait_s <= 0:
                return size
            if quota.has_no_units(state.quota, resource):
                self.submit(events.LinkQuotaNeeded(self.now_s()))
            if self.now_s() >= ends_s:
                raise errors.LinkBusyError(
                    f"The link {link} had no room; raise its cap or send less."
                )
            gevent.sleep(min(wait_s, MAX_PACING_WAIT_S))

    def _slice_bytes(self, resource: str) -> int:
        found = self.runtime.state.quota.resources.get(resource)
        if found is None:
            return MAX_SLICE_BYTES
        return max(
            MIN_SLICE_BYTES, int(found.bound.rate_per_s * PACING_SLICE_S)
        )

    def lookup(self, query: gateway.LookupQuery) -> gateway.LookupResponse:
        """Answers which entry VMs to use."""
        state = self.runtime.state
        if self.now_s() >= self._directory_until_s:
            self._directory = reports.entry_directory(state)
            self._directory_until_s = self.now_s() + DIRECTORY_LIFETIME_S
        return reports.respond_to_lookup(state, self._directory, query)

    def status(self) -> gateway.Status:
        """Returns what is in force on this VM."""
        return reports.status(self.runtime.state)

    def explain(self, query: gateway.ExplainQuery) -> gateway.Explanation:
        """Tells how a request would be treated."""
        return reports.explain(self.runtime.state, query)

    def run_outcome(
        self, key: str, run_id: str
    ) -> gateway.RunOutcome | errors.Problem:
        """Returns what is known of a single run of the key's account."""
        account = authentication.account_of_key(self.runtime.state, key)
        if isinstance(account, errors.Problem):
            return account
        return self.runs.outcome(account, run_id)
