"""A planned stop of a VM that holds its zone's lease."""

from standins import deployments
from standins import fleet


def test_planned_stop_ends_with_exit_code_zero(tmp_path):
    with fleet.Fleet(deployments.small(), tmp_path) as running:
        running.start()
        running.apply()
        running.wait_serving()
        holder = running.status("west-a-vm1")
        assert holder["zone_holder"] == "west-a-vm1"
        assert running.stop_vm("west-a-vm1") == 0
