"""Membership, from the platform's list of VMs and from heartbeats.

The platform's list may lag behind.
"""

import attrs

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.peers import messages

RECONNECT_AFTER_S = 2.5


@attrs.define
class Peer:
    """Another VM.

    Attributes:
        name: Name of the VM.
        peer_address: Where it receives peer messages, `host:port`.
        zone: Its availability zone.
        listed: Whether it is in the platform's last list.
        heartbeat: Last heartbeat, or None.
        last_heartbeat_s: When the last heartbeat arrived, in seconds, or -inf.
        unlisted_since_s: When it was first missing from the platform's list, in
            seconds, or None.
        reconnected_s: When it was last reconnected, in seconds, or 0.
    """

    name: str
    peer_address: str
    zone: str
    listed: bool = False
    heartbeat: messages.Heartbeat | None = None
    last_heartbeat_s: float = float("-inf")
    unlisted_since_s: float | None = None
    reconnected_s: float = 0.0

    @property
    def leaving(self) -> bool:
        """Whether it reported that it is stopping."""
        return self.heartbeat is not None and self.heartbeat.leaving

    def document_version(self, name: str) -> int:
        """Returns the version that it reports of a document, or 0."""
        if self.heartbeat is None:
            return 0
        for document in self.heartbeat.documents:
            if document.name == name:
                return document.version
        return 0


@attrs.define
class MembersState:
    """The peers that this VM knows.

    Attributes:
        vm_name: Name of this VM.
        peer_timeout_s: Time without heartbeats after which a peer counts as
            unreachable, in seconds.
        peers: Peers by name.
        list_read_s: When the platform's list was last read, in seconds, or
            -inf.
        list_first_read_s: When it was first read, in seconds, or inf.
        listed_zones: Zone of each VM in the last list, by name.
        next_heartbeat_s: When the next heartbeats are due, in seconds.
        sequence: Sequence number of the last heartbeats sent.
    """

    vm_name: str
    peer_timeout_s: float
    peers: dict[str, Peer] = attrs.field(factory=dict)
    list_read_s: float = float("-inf")
    list_first_read_s: float = float("inf")
    listed_zones: dict[str, str] = attrs.field(factory=dict)
    next_heartbeat_s: float = 0.0
    sequence: int = 0

    def is_alive(self, name: str, now_s: float) -> bool:
        """Returns whether a peer sent a heartbeat within the timeout."""
        peer = self.peers.get(name)
        return peer is not None and (
            now_s - peer.last_heartbeat_s <= self.peer_timeout_s
        )

    def live_peers(self, now_s: float) -> list[Peer]:
        """Returns the live peers, in name order."""
        return [
            self.peers[name]
            for name in sorted(self.peers)
            if self.is_alive(name, now_s)
        ]


def add_seeds(
    state: MembersState, seeds: tuple[str, ...]
) -> list[effects.ConnectPeer]:
    """Connects to the seeds in the settings, each `name=ip:port`."""
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
    existing = state.peers.get(name)
    if existing is not None and existing.peer_address == address:
        return []
    state.peers[name] = Peer(name, address, zone)
    return [effects.ConnectPeer(name, address)]


def apply_vm_list(state: MembersState, event: events.VmsListed) -> list[object]:
    """Adds listed VMs and removes those neither listed nor reachable."""
    state.list_read_s = event.at_s
    state.list_first_read_s = min(state.list_first_read_s, event.at_s)
    state.listed_zones = {vm.name: vm.zone for vm in event.vms}
    produced: list[object] = []
    for vm in event.vms:
        produced += _add(state, vm.name, vm.peer_address, vm.zone)
        peer = state.peers.get(vm.name)
        if peer is not None:
            peer.listed = True
            peer.unlisted_since_s = None
    for peer in state.peers.values():
        if peer.name not in state.listed_zones:
            peer.listed = False
            if peer.unlisted_since_s is None:
                peer.unlisted_since_s = event.at_s
    return produced + _remove_unlisted(state, event.at_s)


def _remove_unlisted(state: MembersState, now_s: float) -> list[object]:
    removed = [
        peer.name
        for peer in state.peers.values()
        if peer.unlisted_since_s is not None
        and now_s - peer.unlisted_since_s > state.peer_timeout_s
        and not state.is_alive(peer.name, now_s)
    ]
    for name in removed:
        del state.peers[name]
    return [effects.DisconnectPeer(name) for name in removed]


def record_heartbeat(
    state: MembersState,
    now_s: float,
    sender: str,
    heartbeat: messages.Heartbeat,
) -> list[object]:
    """Records a heartbeat, unless a later one of its process arrived before.

    The platform's list takes precedence over the address in a heartbeat.
    """
    produced: list[object] = []
    peer = state.peers.get(sender)
    if peer is None or not peer.listed:
        produced += _add(state, sender, heartbeat.peer_address, heartbeat.zone)
        peer = state.peers.get(sender)
    if peer is None:
        return produced
    previous = peer.heartbeat
    if (
        previous is not None
        and previous.incarnation == heartbeat.incarnation
        and heartbeat.sequence <= previous.sequence
    ):
        return produced
    peer.zone = heartbeat.zone
    peer.heartbeat = heartbeat
    peer.last_heartbeat_s = now_s
    return produced


def reconnect_unacknowledged(state: MembersState, now_s: float) -> list[object]:
    """Reconnects to peers that no longer acknowledge heartbeats of this VM.

    A connection can stop delivering for good while new connections work. The
    `echo_s` of a peer's heartbeat tells which heartbeat reached it last.
    """
    produced: list[object] = []
    for peer in state.peers.values():
        echo_s = peer.heartbeat.echo_s if peer.heartbeat else 0.0
        last_s = max(peer.reconnected_s, echo_s)
        if now_s - last_s <= RECONNECT_AFTER_S:
            continue
        peer.reconnected_s = now_s
        produced.append(effects.DisconnectPeer(peer.name))
        produced.append(effects.ConnectPeer(peer.name, peer.peer_address))
    return produced
