"""Registration of this VM in the store, and the shared fleet secret."""

import secrets

import gevent
from returns import result

from mulberrydeck import errors
from mulberrydeck.platform import documents
from mulberrydeck.platform import store as stores
from mulberrydeck.steering import backoff
from mulberrydeck.steering import registry
from mulberrydeck.steering import reporting

SECRET_BYTES = 24


class Registration:
    """Registers this VM, and reads or creates the fleet secret."""

    def __init__(
        self,
        client: stores.StoreClient,
        record: registry.VmRecord,
        reports: reporting.Reports,
    ) -> None:
        self.client = client
        self.record = record
        self.reports = reports

    def register(self) -> bool:
        """Stores the record of this VM; retries until that succeeds.

        Returns:
            Whether this VM may not have been registered before.
        """
        spec = documents.encode_vm_record(self.record)
        kind, name = documents.VMS_KIND, self.record.name
        failures = 0
        may_have_created = False
        while True:
            written = self.client.create(kind, name, spec)
            if _failed_with(written, errors.ConflictError):
                written = self.client.replace(kind, name, spec)
            elif not _failed_with(written, errors.PlatformUnavailableError):
                # A create without a response may have been carried out.
                may_have_created = True
            match written:
                case result.Success(_):
                    self.reports.write(
                        "fleet", "This VM is registered.", new=may_have_created
                    )
                    return may_have_created
            failures += 1
            self._wait_to_retry("register", failures, written.failure())

    def deregister(self) -> None:
        """Removes the record of this VM, so that others take over its share.

        If this fails, the share stays unused until the VM is back.
        """
        removed = self.client.delete(documents.VMS_KIND, self.record.name)
        if isinstance(removed, result.Failure):
            reason = str(removed.failure())
            self.reports.write(
                "fleet", "The VM is not deregistered.", reason=reason
            )

    def fleet_secret(self) -> str:
        """Returns the secret shared by all VMs; the first VM creates it."""
        kind, name = documents.FLEET_KIND, "secret"
        failures = 0
        while True:
            outcome = self.client.get(kind, name)
            if _failed_with(outcome, errors.NotFoundError):
                generated = secrets.token_hex(SECRET_BYTES)
                spec = documents.encode_fleet_secret(generated)
                outcome = self.client.create(kind, name, spec)
            match outcome:
                case result.Success(stored):
                    return documents.decode_fleet_secret(stored)
            failures += 1
            if not _failed_with(outcome, errors.ConflictError):
                self._wait_to_retry(
                    "read the secret", failures, outcome.failure()
                )

    def restore_secret(self, secret: str) -> None:
        """Stores the secret shared by all VMs again, unless it exists."""
        kind, name = documents.FLEET_KIND, "secret"
        failures = 0
        while True:
            spec = documents.encode_fleet_secret(secret)
            outcome = self.client.create(kind, name, spec)
            if not isinstance(outcome, result.Failure) or _failed_with(
                outcome, errors.ConflictError
            ):
                return
            failures += 1
            self._wait_to_retry(
                "restore the secret", failures, outcome.failure()
            )

    def _wait_to_retry(
        self, action: str, failures: int, error: Exception
    ) -> None:
        if failures == 1:
            reason = str(error)
            self.reports.write(
                "fleet",
                "A call of the store failed; retrying.",
                to=action,
                reason=reason,
            )
        gevent.sleep(backoff.retry_delay_s(failures))


def _failed_with(outcome: result.Result, error: type[Exception]) -> bool:
    return isinstance(outcome, result.Failure) and isinstance(
        outcome.failure(), error
    )
