"""Loopback addresses of one deployment.

Each running deployment reserves a subnet of 127.0.0.0/8, so that several can
run on one machine with fixed port numbers, and so that the fault proxy can
identify the sender of a connection by its IP address.
"""

import random
import socket

import attrs

EXAMPLE_PREFIX = "127.10"
FIRST_SUBNET = 20
LAST_SUBNET = 250
LOCK_PORT = 20_999
PROXIED_OFFSET = 10_000
CALLER_PORT = 8080
RELAY_PORT = 8081
PEER_PORT = 8082
PLATFORM_PORT = 7000
CONTROL_PORT = 7001
# Third octet of the addresses of the platform and the fault proxy's controls.
SHARED_ZONE = 250
CALLER_HOST = 200
CALLER_BLOCKS = 3
# Distance in the third octet between two client blocks of a zone.
CALLER_BLOCK_STEP = 50


class NoSubnetError(Exception):
    """All subnets are in use; end another deployment first."""


@attrs.frozen
class Subnet:
    """A subnet of the loopback network, reserved for one deployment.

    Attributes:
        prefix: First two octets of its addresses, such as `127.20`.
        lock: Bound socket that reserves the subnet.
    """

    prefix: str
    lock: socket.socket = attrs.field(repr=False, eq=False)

    def ip(self, zone_number: int, host_number: int) -> str:
        """Returns an IP address of the subnet.

        Args:
            zone_number: Number of the zone, from 1.
            host_number: Number of the host in the zone, from 1.
        """
        return f"{self.prefix}.{zone_number}.{host_number}"

    def release(self) -> None:
        """Releases the subnet."""
        self.lock.close()


def reserve() -> Subnet:
    """Returns a subnet that no other deployment on this machine uses.

    Raises:
        NoSubnetError: All subnets are in use.
    """
    numbers = list(range(FIRST_SUBNET, LAST_SUBNET))
    random.shuffle(numbers)
    for number in numbers:
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.255.254", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return Subnet(f"127.{number}", lock)
    raise NoSubnetError("All loopback subnets are in use; end a deployment.")


def proxied(address: str) -> str:
    """Returns the fault proxy's listening address for a direct address."""
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + PROXIED_OFFSET}"
