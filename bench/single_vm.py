"""One VM's core for benchmarks, driven by events without I/O."""

import attrs

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import reducer
from mulberrydeck.core import shares
from mulberrydeck.core import state as core_state
from mulberrydeck.keys import keyring
from mulberrydeck.model import compiled
from mulberrydeck.model import configuration
from mulberrydeck.model import places
from mulberrydeck.model import selectors
from mulberrydeck.peers import messages
from mulberrydeck.routing import reducer as routing
from mulberrydeck.settings import declarations

SERVICE = "s0"
ACCOUNT = "a0"
START_S = 1000.0
ZONES_PER_REGION = 2
TODAY_VMS = 10
CONFIG_VERSION = 5
KEYS_VERSION = 6
WARM_UP_STEPS = 12
STEP_S = 0.5
REPORTED_SLOTS = 1000
IDLE = events.TargetReport(True, False, REPORTED_SLOTS, 0)


@attrs.frozen
class Size:
    """Sizes of a fleet.

    Attributes:
        accounts: Client accounts, each with a limit.
        targets: Targets in all zones.
        vms: Entry VMs in all zones, this one included.
        zones: Availability zones, two per region.
        blocks: Client blocks (/24) in all zones.
        services: Services.
    """

    accounts: int = 8
    targets: int = 36
    vms: int = 10
    zones: int = 6
    blocks: int = 6
    services: int = 3


def zone_name(number: int) -> str:
    """Returns the name of a zone."""
    return f"zone-{number:02}"


def region_name(zone_number: int) -> str:
    """Returns the name of the region of a zone."""
    return f"region-{zone_number // ZONES_PER_REGION:02}"


def configure(size: Size, port: int, slots: int) -> configuration.Configuration:
    """Returns a configuration of a size.

    Args:
        size: Sizes.
        port: Port of all targets on 127.0.0.1.
        slots: Slots of each target.
    """
    everything = selectors.Selector()
    blocks: list[list[str]] = [[] for _ in range(size.zones)]
    for number in range(size.blocks):
        text = f"{10 + (number >> 16)}.{number >> 8 & 255}.{number & 255}.0/24"
        blocks[number % size.zones].append(text)
    return configuration.Configuration(
        regions=tuple(
            places.Region(region_name(number))
            for number in range(0, size.zones, ZONES_PER_REGION)
        ),
        zones=tuple(
            places.Zone(
                zone_name(number),
                region_name(number),
                client_blocks=tuple(blocks[number]),
            )
            for number in range(size.zones)
        ),
        services=tuple(
            configuration.Service(f"s{number}", {}, (configuration.Route("r"),))
            for number in range(size.services)
        ),
        targets=tuple(
            configuration.Target(
                f"t{number}",
                f"s{number % size.services}",
                zone_name(number // size.services % size.zones),
                "127.0.0.1",
                port,
                slots,
            )
            for number in range(size.targets)
        ),
        accounts=tuple(
            configuration.ClientAccount(f"a{number}")
            for number in range(size.accounts)
        ),
        access=(configuration.AccessRule("all", everything, everything),),
        limits=(
            configuration.LimitRule("all", everything, 1e9, 1_000_000_000),
        ),
    )


def settings(**changes: object) -> declarations.Settings:
    """Returns the settings of the VM."""
    defaults = {
        "name": "vm0000",
        "zone": zone_name(0),
        "caller_address": "127.0.0.1:0",
        "relay_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "platform_url": "http://127.0.0.1:1",
        "fleet_secret": "bench",
    }
    return declarations.Settings(**(defaults | changes))


class SingleVm:
    """The state of one VM and its virtual clock.

    Attributes:
        size: Sizes of the fleet that it belongs to.
        state: Its state.
        now_s: Virtual time of the last event, in seconds.
        secret: Key of the first client account.
    """

    def __init__(
        self,
        size: Size,
        port: int = 1,
        slots: int = 64,
        start_s: float = START_S,
        **changes: object,
    ) -> None:
        self.size = size
        self.state = core_state.create(settings(**changes), "bench")
        self.now_s = start_s
        self.sequence = 0
        issued = keyring.issue(ACCOUNT)
        self.secret = issued.key_text
        self.install(configure(size, port, slots), issued.record)
        division = tuple(
            f"{region_name(number)}/{zone_name(number)}"
            for number in range(size.zones)
        )
        lease = events.ZoneLease("vm0000", "bench", 1, division)
        self.feed(events.ZoneLeaseRead(self.now_s, 1, lease))

    def feed(self, event: object) -> list[object]:
        """Feeds an event and returns its effects."""
        return reducer.reduce(self.state, event)

    def install(
        self, source: configuration.Configuration, record: keyring.KeyRecord
    ) -> None:
        """Puts a configuration and a keyring of one key in force."""
        # No document is encoded, as larger sizes do not fit into one object.
        active = compiled.compile_configuration(source, CONFIG_VERSION)
        self.state.configuration = active
        self.state.documents.by_name["config"].version = CONFIG_VERSION
        routing.configure(self.state.routing, self.now_s, active)
        shares.apply(self.state)
        ring = keyring.add(keyring.Keyring(), record, self.now_s)
        content = keyring.encode(ring)
        self.feed(
            events.DocumentRead(self.now_s, "keys", KEYS_VERSION, content)
        )

    def heartbeat(self, number: int) -> events.PeerReceived:
        """Returns a heartbeat of another VM, numbered from 1."""
        self.sequence += 1
        heartbeat = messages.Heartbeat(
            incarnation=f"i{number}",
            sequence=self.sequence,
            sent_s=self.now_s,
            echo_s=self.now_s,
            zone=zone_name(self.zone_of(number)),
            leaving=False,
            peer_address=f"127.1.0.1:{number}",
            caller_address=f"127.1.0.2:{number}",
            relay_address=f"127.1.0.3:{number}",
            documents=(
                messages.DocumentVersion("config", CONFIG_VERSION, 1.0),
                messages.DocumentVersion("keys", KEYS_VERSION, 1.0),
            ),
            holder_epoch=1 if number < self.size.zones else 0,
            loads=tuple(
                messages.ServiceLoad(f"s{service}", 4, 5)
                for service in range(self.size.services)
            ),
        )
        return events.PeerReceived(self.now_s, f"vm{number:04}", heartbeat)

    def zone_of(self, number: int) -> int:
        """Returns the zone of a VM.

        The first zone gets none of the VMs from number `TODAY_VMS` on.
        """
        if number < TODAY_VMS:
            return number % self.size.zones
        return 1 + number % (self.size.zones - 1)

    def join_peers(self) -> None:
        """Feeds a heartbeat of each other VM."""
        for number in range(1, self.size.vms):
            self.feed(self.heartbeat(number))

    def serve(self) -> None:
        """Lets the VM take ownership of targets and warm them up."""
        for _ in range(WARM_UP_STEPS):
            self.now_s += STEP_S
            self.join_peers()
            for effect in self.feed(events.Tick(self.now_s)):
                if isinstance(effect, effects.PollTarget):
                    self.report(effect.target)

    def report(self, target: str) -> None:
        """Feeds a report that a target is idle."""
        self.feed(events.TargetPolled(self.now_s, target, IDLE))
