"""Sample settings, tables, targets and states for the tests of steering."""

from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import reducer
from mulberrydeck.steering import registry
from mulberrydeck.steering import settings
from mulberrydeck.steering import state as states
from mulberrydeck.steering import tables

REGION_BY_ZONE = {"coast-a": "coast", "coast-b": "coast", "lake-a": "lake"}


def make_settings(**changes):
    values = {
        "name": "coast-a-1",
        "zone": "coast-a",
        "region": "coast",
        "region_by_zone": REGION_BY_ZONE,
        "caller_address": "127.0.0.1:1",
        "ready_address": "127.0.0.1:2",
        "look_up_address": "127.0.0.1:3",
        "peer_address": "127.0.0.1:4",
        "metrics_address": "127.0.0.1:5",
        "platform_address": "127.0.0.1:6",
        "first_start": True,
    }
    return settings.SteeringSettings(**{**values, **changes})


def make_route(**changes):
    values = {
        "name": "read",
        "host": "permits.example",
        "prefix": "/read/",
        "repeatability": tables.Repeatability.SAFE,
        "services": (tables.WeightedService("status", 1.0),),
        "timeout_s": 2.0,
        "target_latency_s": 0.25,
        "max_attempts": 3,
        "public": True,
    }
    return tables.Route(**{**values, **changes})


def make_table(*routes, version=1, services=(), accounts=(), limits=None):
    return tables.build_table(
        version,
        routes or (make_route(),),
        services or (tables.Service("status", cold_rate_per_s=6.9),),
        accounts,
        limits or tables.CallerLimits(),
    )


def make_entry(name="t1", **changes):
    values = {
        "name": name,
        "service": "status",
        "address": f"10.0.0.{sum(map(ord, name)) % 250}:80",
        "zone": "coast-a",
        "slots": 2,
        "started_ms": 1,
    }
    return registry.TargetEntry(**{**values, **changes})


def make_entries(count=3, **changes):
    return [make_entry(f"t{number}", **changes) for number in range(count)]


def make_record(name, zone="coast-a", port=7):
    return registry.VmRecord(
        name,
        zone,
        REGION_BY_ZONE[zone],
        f"127.0.0.{port}:80",
        f"127.0.0.{port}:81",
        f"process-{name}",
    )


class Vm:
    """State of one VM with a simulated clock; applies events to it."""

    def __init__(
        self, table=None, entries=(), listed=("coast-a-1",), **settings_changes
    ):
        self.now_s = 1000.0
        self.state = states.create(
            make_settings(**settings_changes), "process", self.now_s, seed=1
        )
        self.requests = 0
        records = tuple(make_record(name) for name in listed)
        self.reduce(events.VmsListed(self.now_s, records, 1))
        self.reduce(events.TableLoaded(self.now_s, table or make_table(), 2))
        self.reduce(events.TargetsListed(self.now_s, tuple(entries), 3))

    def reduce(self, event):
        return reducer.reduce(self.state, event)

    def arrive(self, path="/read/1", **changes):
        self.requests += 1
        values = {
            "request_id": f"r{self.requests}",
            "host": "permits.example",
            "path": path,
            "key": "",
            "object_key": "",
            "timeout_s": 2.0,
        }
        event = events.RequestArrived(self.now_s, **{**values, **changes})
        return _find_decision(self.reduce(event))

    def end(self, request_id, outcome, **changes):
        event = events.AttemptEnded(self.now_s, request_id, outcome, **changes)
        return _find_decision(self.reduce(event))

    def close(self, request_id):
        self.reduce(events.RequestClosed(self.now_s, request_id))


def _find_decision(produced):
    for effect in produced:
        if isinstance(effect, effects.Decision):
            return effect
    return None
