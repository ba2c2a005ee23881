"""Blocks of caller addresses and the zone that is closest to each."""

import array
import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import ipaddress
import operator
import re
import socket

import attrs

from mulberrydeck.model import findings
from mulberrydeck.model import places

IPV4_BITS = 32
IPV4_BYTES = 4

Network = ipaddress.IPv4Network | ipaddress.IPv6Network

_block_pattern_4 = re.compile(r"[0-9.]{7,15}/(0|[12]?[0-9]|3[0-2])")


@attrs.frozen
class DeclaredBlock:
    """A client block with its position in the configuration.

    Attributes:
        zone_position: Position of its zone in the table `zones`, from 0.
        position: Its position within the zone's blocks, from 0.
        text: CIDR block as written in the configuration.
    """

    zone_position: int
    position: int
    text: str

    @property
    def key(self) -> str:
        """Path of the configuration key that declares it."""
        return f"zones[{self.zone_position}].client_blocks[{self.position}]"


Range = tuple[int, int, DeclaredBlock]


class BlockIndex:
    """Finds the zone of an address by bisection.

    IPv4 ranges are kept in compact arrays, since a fleet may declare several
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
    ranges_4: list[Range] = []
    ranges_6: list[Range] = []
    for position, zone in enumerate(zones):
        for number, text in enumerate(zone.client_blocks):
            block = DeclaredBlock(position, number, text)
            bounds = _canonical_bounds_4(text)
            if bounds is not None:
                ranges_4.append((*bounds, block))
                continue
            problem = _problem(text)
            if problem:
                yield findings.Finding(block.key, text, problem)
                continue
            bounds = _bounds(ipaddress.ip_network(text))
            ranges_6.append((*bounds, block))
    yield from _overlaps(ranges_4)
    yield from _overlaps(ranges_6)


def _problem(text: str) -> str:
    """Returns why the text of a block is invalid; empty if it is valid."""
    try:
        network = ipaddress.ip_network(text)
    except ValueError as error:
        return f"is not a CIDR block ({error}); correct it."
    if str(network) != text:
        return f"write it as {network}."
    return ""


def _overlaps(ranges: list[Range]) -> Iterator[findings.Finding]:
    ranges.sort(key=operator.itemgetter(0, 1))
    highest_last = -1
    highest_block = None
    for first, last, block in ranges:
        if first <= highest_last:
            yield findings.Finding(
                block.key,
                block.text,
                f"overlaps {highest_block.text} ({highest_block.key}); "
                "remove one of the two.",
            )
        if last > highest_last:
            highest_last = last
            highest_block = block


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


# The functions below do without `ipaddress`, which would take many seconds for
# the IPv4 blocks of a large fleet.


def _bounds_4(text: str) -> tuple[int, int]:
    address, _, length = text.partition("/")
    first = int.from_bytes(socket.inet_aton(address))
    size = 1 << (IPV4_BITS - int(length or IPV4_BITS))
    return first, first + size - 1


def _canonical_bounds_4(text: str) -> tuple[int, int] | None:
    """Returns the bounds of an IPv4 block in canonical form, else None."""
    if not _block_pattern_4.fullmatch(text):
        return None
    try:
        first, last = _bounds_4(text)
    except (OSError, ValueError):
        return None
    address = socket.inet_ntoa(first.to_bytes(IPV4_BYTES))
    is_aligned = first & (last - first) == 0
    if is_aligned and text.startswith(f"{address}/"):
        return first, last
    return None
