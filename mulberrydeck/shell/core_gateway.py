"""The gateway between the HTTP server and the reducer."""

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
UNCAPPED_LINK_SLICE_BYTES = 1024 * 1024
DIRECTORY_LIFETIME_S = 0.5


class CoreGateway:
    """Implements `core.gateway.Gateway` on the runtime.

    Attributes:
        runtime: Event loop that owns the state.
        runs: Source of the outcomes of single runs.
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
        self._directory_expiry_s = 0.0

    def allow_bytes(self, link: str, count: int) -> int:
        """Blocks the greenlet until the link may carry some bytes.

        Args:
            link: `source/destination` regions.
            count: Number of bytes to send.

        Returns:
            Number of bytes that may be sent now, deducted from the quota.

        Raises:
            errors.LinkBusyError: The link had no quota for the idle timeout.
        """
        state = self.runtime.state
        resource = f"link/{link}"
        size = min(count, self._slice_bytes(resource))
        deadline_s = self.now_s() + state.settings.idle_timeout_s
        while True:
            wait_s = quota.take(state.quota, self.now_s(), resource, size)
            if wait_s <= 0:
                return size
            if quota.has_no_units(state.quota, resource):
                self.submit(events.LinkQuotaNeeded(self.now_s()))
            if self.now_s() >= deadline_s:
                raise errors.LinkBusyError(
                    f"The link {link} had no quota; raise its cap or send less."
                )
            gevent.sleep(min(wait_s, MAX_PACING_WAIT_S))

    def _slice_bytes(self, resource: str) -> int:
        resource_state = self.runtime.state.quota.resources.get(resource)
        if resource_state is None:
            return UNCAPPED_LINK_SLICE_BYTES
        return max(
            MIN_SLICE_BYTES,
            int(resource_state.bound.rate_per_s * PACING_SLICE_S),
        )

    def lookup(self, query: gateway.LookupQuery) -> gateway.LookupResponse:
        """Returns the entry VMs that a caller should use."""
        state = self.runtime.state
        if self.now_s() >= self._directory_expiry_s:
            self._directory = reports.entry_directory(state)
            self._directory_expiry_s = self.now_s() + DIRECTORY_LIFETIME_S
        return reports.respond_to_lookup(state, self._directory, query)

    def status(self) -> gateway.Status:
        """Returns the status of this VM."""
        return reports.status(self.runtime.state)

    def explain(self, query: gateway.ExplainQuery) -> gateway.Explanation:
        """Explains how a request would be handled."""
        return reports.explain(self.runtime.state, query)

    def run_outcome(
        self, key: str, run_id: str
    ) -> gateway.RunOutcome | errors.Problem:
        """Returns the outcome of a run of the key's account, or a refusal."""
        account = authentication.account_of_key(self.runtime.state, key)
        if isinstance(account, errors.Problem):
            return account
        return self.runs.outcome(account, run_id)
