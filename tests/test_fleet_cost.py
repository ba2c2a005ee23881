"""The benchmark of the reducer by size of the fleet."""

from bench import fleet_cost


def test_all_events_of_a_large_fleet_are_measured():
    cost = fleet_cost.measure_fleet(40)
    assert min(cost.tick, cost.heartbeat, cost.digest, cost.request) > 0
