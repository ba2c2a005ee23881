"""Samples the configuration version of each VM in the background."""

import collections

import gevent

from standins import fleet
from standins import http_client

SAMPLE_INTERVAL_S = 0.1


class VersionWatch:
    """Records every configuration version that a VM shows.

    Attributes:
        running: The fleet.
        seen: Versions by VM name, in the order they were shown, without the
            time before a process has any.
    """

    def __init__(self, running: fleet.Fleet) -> None:
        self.running = running
        self.seen: dict[str, list[int]] = collections.defaultdict(list)
        self.greenlets = [
            gevent.spawn(self._sample, name) for name in running.vms
        ]

    def stop(self) -> None:
        """Ends sampling."""
        gevent.killall(self.greenlets)

    def reversions(self) -> dict[str, list[int]]:
        """Returns the versions of VMs that showed an older one again."""
        return {
            name: versions
            for name, versions in self.seen.items()
            if versions != sorted(versions)
        }

    def _sample(self, name: str) -> None:
        address = self.running.layout.vm_addresses(name).caller
        while True:
            answer = http_client.call(address, "GET", "/v1/status")
            if isinstance(answer, http_client.Answer):
                self._record(name, answer.json()["config_version"])
            gevent.sleep(SAMPLE_INTERVAL_S)

    def _record(self, name: str, version: int) -> None:
        versions = self.seen[name]
        if version and versions[-1:] != [version]:
            versions.append(version)
