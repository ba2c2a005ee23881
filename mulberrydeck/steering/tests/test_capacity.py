"""Weights of VMs by their capacity."""

import attrs
import pytest

from mulberrydeck.steering import capacity
from mulberrydeck.steering import registry
from mulberrydeck.steering.tests import samples

MACHINE = registry.VmCapacity(2.0, 500.0, 8000.0, 200.0)


def weights_beside_equal_machines(**changes):
    """Returns the weights of a changed machine and of nine unchanged ones."""
    machines = [attrs.evolve(MACHINE, **changes)] + [MACHINE] * 9
    return capacity.weights(machines)


# Guards against a resource that is left out of the weight.
@pytest.mark.parametrize("resource", capacity.RESOURCES)
def test_each_resource_alone_can_be_the_scarcest(resource):
    fifth = getattr(MACHINE, resource) / 5
    changed, *others = weights_beside_equal_machines(**{resource: fifth})
    # The mean of this resource is 0.92 of what the others have, and these are
    # average in the rest.
    assert changed == pytest.approx(0.2 / 0.92)
    assert others == pytest.approx([1.0] * 9)


# Guards against rates of different resources that are added or multiplied: a
# request needs all of them.
def test_the_scarcest_resource_decides():
    changed, *others = weights_beside_equal_machines(cores=0.4, link_mbps=10.0)
    assert changed == pytest.approx(0.05 / 0.905)
    assert others == pytest.approx([1.0] * 9)


# Guards against a VM that gets more callers for one abundant resource.
def test_an_abundant_resource_does_not_make_up_for_a_scarce_one():
    weak, strong = capacity.weights(
        [registry.VmCapacity(1.0, 500.0, 8000.0, 200.0), MACHINE]
    )
    also_weak, _ = capacity.weights(
        [registry.VmCapacity(1.0, 5000.0, 8000.0, 200.0), MACHINE]
    )
    assert weak < strong
    assert also_weak <= weak


def test_weights_do_not_depend_on_units():
    machines = [MACHINE, registry.VmCapacity(1.0, 400.0, 4000.0, 50.0)]
    scaled = [attrs.evolve(m, memory_mb=m.memory_mb * 8) for m in machines]
    assert capacity.weights(machines) == pytest.approx(capacity.weights(scaled))


def test_unknown_machines_have_the_mean_weight_of_the_others():
    small = registry.VmCapacity(0.5, 200.0, 4000.0, 20.0)
    first, unknown, second = capacity.weights([MACHINE, None, small])
    assert unknown == pytest.approx((first + second) / 2)


def test_a_resource_that_is_not_stated_counts_as_average():
    weights = capacity.weights(
        [registry.VmCapacity(cores=1.0), registry.VmCapacity(cores=3.0)]
    )
    assert weights == pytest.approx([0.5, 1.0])
    partly = [MACHINE, registry.VmCapacity(cores=2.0), MACHINE]
    assert capacity.weights(partly) == pytest.approx([1.0, 1.0, 1.0])


def test_weights_of_no_vm_and_of_unknown_ones():
    assert capacity.weights([]) == []
    assert capacity.weights([None, None]) == [1.0, 1.0]


# Guards against a scheduler that is not the VM with the most cores, or a
# failure at a record of an older version.
def test_cores_of_a_record():
    record = samples.make_record("coast-a-1")
    assert capacity.cores(record) == 1.0
    stated = attrs.evolve(record, capacity=MACHINE)
    assert capacity.cores(stated) == 2.0
    without_cores = registry.VmCapacity(memory_mb=500.0)
    assert capacity.cores(attrs.evolve(record, capacity=without_cores)) == 1.0
