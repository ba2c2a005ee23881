"""Blocks of caller addresses and the zone that is closest to each."""

import array
import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import ipaddress
import socket

import attrs

from mulberrydeck.model import findings
from mulberrydeck.model import places

IPV4_BITS = 32

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@attrs.frozen
class Block:
    """A range of IPv4 or IPv6 addresses.

    Attributes:
        first: Lowest address, as a number.
        last: Highest address, as a number.
        zone: Position of its zone.
        key: Path of the key that declares it.
        text: Its text.
    """

    first: int
    last: int
    zone: int
    key: str
    text: str


class BlockIndex:
    """Finds the zone of an address by bisection.

    IPv4 starts are kept in compact arrays, since a fleet may declare several
    hundred thousand of them.

    Args:
        zones: Zones whose blocks are indexed; blocks must not overlap.
    """

    def __init__(self, zones: Iterable[places.Zone]) -> None:
        self.zone_names = tuple(zone.name for zone in zones)
        ranges_4, ranges_6 = _ranges(zones)
        self.firsts_4 = array.array("I", (first for first, _, _ in ranges_4))
        self.lasts_4 = array.array("I", (last for _, last, _ in ranges_4))
        self.zones_4 = array.array("H", (zone for _, _, zone in ranges_4))
        self.firsts_6 = [first for first, _, _ in ranges_6]
        self.lasts_6 = [last for _, last, _ in ranges_6]
        self.zones_6 = [zone for _, _, zone in ranges_6]

    def zone_of(self, address: str) -> str | None:
        """Returns the zone closest to an IP address, or None.

        Args:
            address: Text of an IP address; other texts have no zone.
        """
        try:
            parsed = ipaddress.ip_address(address)
        except ValueError:
            return None
        if isinstance(parsed, ipaddress.IPv6Address):
            mapped = parsed.ipv4_mapped
            if mapped is None:
                return self._find(
                    self.firsts_6, self.lasts_6, self.zones_6, int(parsed)
                )
            parsed = mapped
        return self._find(
            self.firsts_4, self.lasts_4, self.zones_4, int(parsed)
        )

    def _find(
        self,
        firsts: array.array | list[int],
        lasts: array.array | list[int],
        zones: array.array | list[int],
        number: int,
    ) -> str | None:
        position = bisect.bisect_right(firsts, number) - 1
        if position < 0 or lasts[position] < number:
            return None
        return self.zone_names[zones[position]]


def check(zones: Iterable[places.Zone]) -> Iterator[findings.Finding]:
    """Yields malformed and overlapping blocks.

    Args:
        zones: All zones of a configuration.
    """
    blocks_by_family: dict[int, list[Block]] = {4: [], 6: []}
    for position, zone in enumerate(zones):
        for number, text in enumerate(zone.client_blocks):
            key = f"zones[{position}].client_blocks[{number}]"
            try:
                network = ipaddress.ip_network(text)
            except ValueError as error:
                yield findings.Finding(
                    key, text, f"is no CIDR block ({error}); correct it."
                )
                continue
            if str(network) != text:
                yield findings.Finding(key, text, f"write it as {network}.")
            first, last = _bounds(network)
            block = Block(first, last, position, key, text)
            blocks_by_family[network.version].append(block)
    for blocks in blocks_by_family.values():
        yield from _overlaps(blocks)


def _overlaps(blocks: list[Block]) -> Iterator[findings.Finding]:
    blocks.sort(key=lambda block: (block.first, block.last))
    widest = None
    for block in blocks:
        if widest is not None and block.first <= widest.last:
            yield findings.Finding(
                block.key,
                block.text,
                f"overlaps {widest.text} ({widest.key}); remove one of "
                "the two.",
            )
        if widest is None or block.last > widest.last:
            widest = block


def _ranges(
    zones: Iterable[places.Zone],
) -> tuple[list[tuple[int, int, int]], list[tuple[int, int, int]]]:
    ranges_4 = []
    ranges_6 = []
    for position, zone in enumerate(zones):
        for text in zone.client_blocks:
            if ":" in text:
                bounds = _bounds(ipaddress.ip_network(text))
                ranges_6.append((*bounds, position))
            else:
                ranges_4.append((*_bounds_4(text), position))
    return sorted(ranges_4), sorted(ranges_6)


def _bounds(network: Network) -> tuple[int, int]:
    return int(network.network_address), int(network.broadcast_address)


def _bounds_4(text: str) -> tuple[int, int]:
    # `ipaddress` takes seconds for the blocks of a large fleet.
    address, _, length = text.partition("/")
    first = int.from_bytes(socket.inet_aton(address))
    size = 1 << (IPV4_BITS - int(length or IPV4_BITS))
    return first, first + size - 1
