"""Registers this VM in the store, and learns the fleet's secret there."""

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
    """Registers this VM, and learns or creates the fleet's secret."""

    def __init__(
        self,
        client: stores.StoreClient,
        record: registry.VmRecord,
        reports: reporting.Reports,
    ) -> None:
        self.client = client
        self.record = record
        self.reports = reports

    def register(self) -> None:
        """Writes the record of this VM; returns when it is stored."""
        spec = documents.encode_vm_record(self.record)
        kind, name = documents.VMS_KIND, self.record.name
        failures = 0
        while True:
            written = self.client.create(kind, name, spec)
            if _failed_with(written, errors.ConflictError):
                written = self.client.replace(kind, name, spec)
            match written:
                case result.Success(_):
                    self.reports.write("fleet", "This VM is registered.")
                    return
            failures += 1
            self._wait("register", failures, written.failure())

    def deregister(self) -> None:
        """Removes the record of this VM, so that others take its part over.

        A failure only leaves the part unused until the VM is back.
        """
        removed = self.client.delete(documents.VMS_KIND, self.record.name)
        if isinstance(removed, result.Failure):
            reason = str(removed.failure())
            self.reports.write("fleet", "The record stays.", reason=reason)

    def fleet_secret(self) -> str:
        """Returns the secret that all VMs share; the first VM creates it."""
        kind, name = documents.FLEET_KIND, "secret"
        failures = 0
        while True:
            found = self.client.get(kind, name)
            if _failed_with(found, errors.NotFoundError):
                drawn = secrets.token_hex(SECRET_BYTES)
                spec = documents.encode_fleet_secret(drawn)
                found = self.client.create(kind, name, spec)
            match found:
                case result.Success(stored):
                    return documents.fleet_secret(stored)
            failures += 1
            if not _failed_with(found, errors.ConflictError):
                self._wait("read the secret", failures, found.failure())

    def _wait(self, what: str, failures: int, error: Exception) -> None:
        if failures == 1:
            reason = str(error)
            self.reports.write(
                "fleet", "The store is awaited.", to=what, reason=reason
            )
        gevent.sleep(backoff.retry_delay_s(failures))


def _failed_with(answered: result.Result, error: type[Exception]) -> bool:
    return isinstance(answered, result.Failure) and isinstance(
        answered.failure(), error
    )
