"""Samples the document versions of each VM in the background."""

import collections

import gevent

from standins import fleet
from standins import http_client

SAMPLE_INTERVAL_S = 0.05
DOCUMENTS = ("config_version", "keys_version")


class VersionWatch:
    """Records every configuration and keyring version that a VM reports.

    Attributes:
        running: The fleet.
        reported_versions: Versions by VM and document, in the order in which
            they were reported; reports before a VM has the document are
            ignored.
    """

    def __init__(self, running: fleet.Fleet) -> None:
        self.running = running
        self.reported_versions: dict[tuple[str, str], list[int]] = (
            collections.defaultdict(list)
        )
        self.greenlets = [
            gevent.spawn(self._sample, name) for name in running.vms
        ]

    def stop(self) -> None:
        """Ends sampling."""
        gevent.killall(self.greenlets)

    def reversions(self) -> dict[tuple[str, str], list[int]]:
        """Returns the versions of each VM and document that ever reverted."""
        return {
            key: versions
            for key, versions in self.reported_versions.items()
            if versions != sorted(versions)
        }

    def _sample(self, name: str) -> None:
        address = self.running.layout.vm_addresses(name).caller
        while True:
            response = http_client.call(address, "GET", "/v1/status")
            if isinstance(response, http_client.Response):
                status = response.json()
                for document in DOCUMENTS:
                    self._record(name, document, status[document])
            gevent.sleep(SAMPLE_INTERVAL_S)

    def _record(self, name: str, document: str, version: int) -> None:
        versions = self.reported_versions[name, document]
        if version and versions[-1:] != [version]:
            versions.append(version)
