"""Fake compiled configuration and helpers shared by the tests."""

import attrs

from mulberrydeck.core import events
from mulberrydeck.model import configuration
from mulberrydeck.routing import reducer
from mulberrydeck.routing import state as routing_state
from mulberrydeck.settings import declarations

SETTINGS = declarations.Settings(
    name="a",
    zone="z1",
    caller_address="",
    relay_address="",
    peer_address="",
    platform_url="",
    fleet_secret="x",
    slot_wait_s=0.25,
)


@attrs.frozen
class Step:
    zones: tuple[tuple[str, int], ...]


@attrs.frozen
class FakeCompiled:
    targets: tuple[configuration.Target, ...] = ()
    steps: tuple[Step, ...] = (Step((("z1", 1),)),)
    zones: tuple[str, ...] = ("z1", "z2", "far1", "far2")
    version: int = 1

    def targets_in(self, zone):
        return tuple(item for item in self.targets if item.zone == zone)

    def spill_order(self, service, from_zone):
        return self.steps

    def zones_near(self, place):
        return self.zones

    def knows_place(self, place):
        return place != "unknown"

    def region_of(self, zone):
        return "far" if zone.startswith("far") else "near"


def target(name, slots=4, service="s", zone="z1", **kwargs):
    return configuration.Target(
        name, service, zone, "127.0.0.1", 80, slots, **kwargs
    )


def report(slots=4, used=0, healthy=True, leaving=False):
    return events.TargetReport(healthy, leaving, slots, used)


def make_state(compiled, name="a", now_s=0.0):
    state = routing_state.RoutingState(name, "z1", SETTINGS, seed=1)
    reducer.configure(state, now_s, compiled)
    return state


def warm_owner(compiled, now_s=100.0):
    """Returns a sole owner of all targets, which are idle and warmed up."""
    state = make_state(compiled, now_s=now_s - 50.0)
    member = (routing_state.ZoneMember("a", 0.0),)
    reducer.assign(state, now_s - 5.0, 1, member)
    reducer.assign(state, now_s - 3.5, 1, member)
    reducer.assign(state, now_s - 2.0, 1, member)
    reducer.assign(state, now_s, 1, member)
    poll_all(state, now_s)
    return state


def poll_all(state, now_s, **kwargs):
    for name, item in state.targets.items():
        slots = kwargs.get("slots", item.target.slots)
        poll_result = report(**{**kwargs, "slots": slots})
        reducer.handle_poll_result(
            state, now_s, events.TargetPolled(now_s, name, poll_result)
        )
