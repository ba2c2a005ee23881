"""Which VM of a zone follows the store for the others.

Load answered: large fleets, in which a watch on each VM turns every change of
a target into as many priced calls as there are VMs. One VM of a zone follows
the store, and the others follow that VM; they agree on it without a message of
its own, by the order of names and what heartbeats say.
"""

import attrs

from mulberrydeck.steering import members

# A VM that did not answer in time is passed over for this long, in which it
# either answers again or is found dead by its missing heartbeats.
PASSED_OVER_S = 3.0


@attrs.frozen
class Plan:
    """How this VM learns what the store holds.

    Attributes:
        source: VM that it follows, or empty.
        direct: Whether it follows the store itself.
        patient: Whether it tries seldom, since others try too.
    """

    source: str = ""
    direct: bool = True
    patient: bool = False


@attrs.define
class Feeding:
    """What decides the plan.

    Attributes:
        plan: The plan in force.
        passed_over: Until when a VM is not followed, in seconds, by name.
    """

    plan: Plan = Plan()
    passed_over: dict[str, float] = attrs.field(factory=dict)


def choose(
    feeding: Feeding, fleet: members.Fleet, now_s: float, lost: bool
) -> Plan:
    """Returns the plan that is due now.

    The first VM of the zone that reaches the store follows it; a VM that has
    lost the store goes on trying, and follows another one meanwhile.

    Args:
        feeding: State of the decision.
        fleet: Known VMs.
        now_s: Current time, in seconds.
        lost: Whether this VM follows the store and cannot reach it.
    """
    own = fleet.settings.name
    if fleet.is_mesh or own not in fleet.names:
        return Plan()
    failed_before = 0
    source = ""
    for name in _zone_order(fleet):
        if name == own:
            if not lost:
                return Plan()
            continue
        peer = fleet.peers[name]
        if not fleet.is_alive(peer, now_s) or peer.leaving:
            continue
        if peer.reaches_store and now_s >= feeding.passed_over.get(name, 0.0):
            source = name
            break
        failed_before += name < own
    return Plan(source, direct=lost, patient=lost and failed_before > 0)


def failed(feeding: Feeding, now_s: float, name: str) -> None:
    """Notes that a VM does not answer, or cannot reach the store."""
    feeding.passed_over[name] = now_s + PASSED_OVER_S


def _zone_order(fleet: members.Fleet) -> list[str]:
    zone = fleet.settings.zone
    return [
        name
        for name in fleet.names
        if name == fleet.settings.name or fleet.peers[name].record.zone == zone
    ]
