"""Membership: the platform's lagging list combined with heartbeats."""

import attrs

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.peers import messages

REDIAL_AFTER_S = 2.5


@attrs.define
class Peer:
    """Another VM.

    Attributes:
        name: Unique name.
        peer_address: Where it receives peer messages, `host:port`.
        zone: Availability zone.
        listed: Whether the platform lists it.
        heartbeat: Last heartbeat, or None.
        heard_s: When the last heartbeat came, or -inf.
        missing_since_s: When the platform's list stopped naming it, or None.
        dialled_s: When the connection to it was last opened.
    """

    name: str
    peer_address: str
    zone: str
    listed: bool = False
    heartbeat: messages.Heartbeat | None = None
    heard_s: float = float("-inf")
    missing_since_s: float | None = None
    dialled_s: float = 0.0

    @property
    def leaving(self) -> bool:
        """Whether it said that it is stopping."""
        return self.heartbeat is not None and self.heartbeat.leaving

    def document_version(self, name: str) -> int:
        """Returns the version of a document that it reported, or 0."""
        if self.heartbeat is None:
            return 0
        for document in self.heartbeat.documents:
            if document.name == name:
                return document.version
        return 0


@attrs.define
class MembersState:
    """Known peers.

    Attributes:
        vm_name: Name of this VM.
        peer_timeout_s: Silence after which a peer is taken for dead.
        peers: Peers by name.
        listed_at_s: When the platform's list was last read, or -inf.
        first_listed_at_s: When the list was first read, or inf.
        listed_zones: Zone of each VM in the last list, by name.
        next_heartbeat_s: When heartbeats are due.
        sequence: Counter of heartbeats sent.
    """

    vm_name: str
    peer_timeout_s: float
    peers: dict[str, Peer] = attrs.field(factory=dict)
    listed_at_s: float = float("-inf")
    first_listed_at_s: float = float("inf")
    listed_zones: dict[str, str] = attrs.field(factory=dict)
    next_heartbeat_s: float = 0.0
    sequence: int = 0

    def is_alive(self, name: str, now_s: float) -> bool:
        """Returns whether a peer's heartbeats arrive."""
        peer = self.peers.get(name)
        return peer is not None and (
            now_s - peer.heard_s <= self.peer_timeout_s
        )

    def live_peers(self, now_s: float) -> list[Peer]:
        """Returns peers whose heartbeats arrive, in name order."""
        return [
            self.peers[name]
            for name in sorted(self.peers)
            if self.is_alive(name, now_s)
        ]


def add_seeds(
    state: MembersState, seeds: tuple[str, ...]
) -> list[effects.ConnectPeer]:
    """Connects to the seeds of the settings (`name=ip:port`)."""
    produced = []
    for seed in seeds:
        name, _, address = seed.partition("=")
        produced += _add(state, name, address, "")
    return produced


def _add(
    state: MembersState, name: str, address: str, zone: str
) -> list[effects.ConnectPeer]:
    if name == state.vm_name:
        return []
    known = state.peers.get(name)
    if known is not None and known.peer_address == address:
        return []
    state.peers[name] = Peer(name, address, zone)
    return [effects.ConnectPeer(name, address)]


def vms_listed(state: MembersState, event: events.VmsListed) -> list[object]:
    """Takes the platform's list into account."""
    state.listed_at_s = event.at_s
    state.first_listed_at_s = min(state.first_listed_at_s, event.at_s)
    state.listed_zones = {vm.name: vm.zone for vm in event.vms}
    produced: list[object] = []
    for vm in event.vms:
        produced += _add(state, vm.name, vm.peer_address, vm.zone)
        peer = state.peers.get(vm.name)
        if peer is not None:
            peer.listed = True
            peer.missing_since_s = None
    for peer in state.peers.values():
        if peer.name not in state.listed_zones:
            peer.listed = False
            if peer.missing_since_s is None:
                peer.missing_since_s = event.at_s
    return produced + _forget_missing(state, event.at_s)


def _forget_missing(state: MembersState, now_s: float) -> list[object]:
    gone = [
        peer.name
        for peer in state.peers.values()
        if peer.missing_since_s is not None
        and now_s - peer.missing_since_s > state.peer_timeout_s
        and not state.is_alive(peer.name, now_s)
    ]
    for name in gone:
        del state.peers[name]
    return [effects.DisconnectPeer(name) for name in gone]


def receive_heartbeat(
    state: MembersState, now_s: float, sender: str, beat: messages.Heartbeat
) -> list[object]:
    """Records a heartbeat; an old one of the same process is dropped.

    The platform's list goes before what a peer says of its own address.
    """
    produced: list[object] = []
    peer = state.peers.get(sender)
    if peer is None or not peer.listed:
        produced += _add(state, sender, beat.peer_address, beat.zone)
        peer = state.peers.get(sender)
    if peer is None:
        return produced
    previous = peer.heartbeat
    if (
        previous is not None
        and previous.incarnation == beat.incarnation
        and beat.sequence <= previous.sequence
    ):
        return produced
    peer.zone = beat.zone
    peer.heartbeat = beat
    peer.heard_s = now_s
    return produced


def redial_silent(state: MembersState, now_s: float) -> list[object]:
    """Opens new connections to peers that no longer get our heartbeats.

    A connection can be silent for good while new ones work; the peer's echo
    tells whether our heartbeats still arrive.
    """
    produced: list[object] = []
    for peer in state.peers.values():
        echo_s = peer.heartbeat.echo_s if peer.heartbeat else 0.0
        last_s = max(peer.dialled_s, echo_s)
        if now_s - last_s <= REDIAL_AFTER_S:
            continue
        peer.dialled_s = now_s
        produced.append(effects.DisconnectPeer(peer.name))
        produced.append(effects.ConnectPeer(peer.name, peer.peer_address))
    return produced
