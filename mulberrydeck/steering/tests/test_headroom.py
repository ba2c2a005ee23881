"""Headroom of a VM, from the measured use to the heartbeat and the metrics."""

import errno
import os
import resource

import attrs
import gevent
import pytest
import tomlkit

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.steering import assembly
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import headroom
from mulberrydeck.steering import own_use
from mulberrydeck.steering.tests import samples
from standins import waiting

LIMITS = {"memory_mb": 200.0, "max_descriptors": 1000, "link_mbps": 10.0}


def measure(vm, memory_mb=0.0, descriptors=0, link_mbps=0.0):
    """Applies a measurement; returns the log lines."""
    event = events.UseMeasured(vm.now_s, memory_mb, descriptors, link_mbps)
    return [
        effect for effect in vm.reduce(event) if isinstance(effect, effects.Log)
    ]


@pytest.mark.parametrize(
    ("use", "expected"),
    [(0.0, 1.0), (0.7, 1.0), (0.825, 0.55), (0.95, 0.1), (3.0, 0.1)],
)
def test_headroom_falls_from_70_to_95_percent_of_use(use, expected):
    assert headroom.of_use(use) == pytest.approx(expected)


# Guards against a resource that is measured and not regarded.
@pytest.mark.parametrize(
    "use", [{"memory_mb": 165.0}, {"descriptors": 825}, {"link_mbps": 8.25}]
)
def test_the_scarcest_resource_decides(use):
    vm = samples.Vm(**LIMITS)
    measure(vm, **use)
    assert vm.state.headroom == pytest.approx(0.55)


# Guards against VMs that count as short where the platform states no limits.
def test_resources_without_a_known_limit_are_not_regarded():
    vm = samples.Vm()
    assert measure(vm, 1e6, 1_000_000, 1e6) == []
    assert vm.state.headroom == 1.0


# Guards against a line for each measurement, and against a fall or a recovery
# that is not logged.
def test_a_fall_and_a_return_are_logged_once():
    vm = samples.Vm(**LIMITS)
    assert measure(vm, memory_mb=100.0) == []
    (fall,) = measure(vm, memory_mb=190.0, descriptors=12)
    assert "is short" in fall.text
    assert fall.fields["headroom"] == 0.1
    assert (fall.fields["memory_mb"], fall.fields["descriptors"]) == (190.0, 12)
    assert measure(vm, memory_mb=160.0) == []
    (rise,) = measure(vm, memory_mb=100.0)
    assert "again" in rise.text
    assert rise.fields["headroom"] == 1.0


def test_heartbeats_carry_the_headroom():
    vm = samples.Vm(listed=("coast-a-1", "coast-b-1"), **LIMITS)
    measure(vm, descriptors=900)
    beats = [
        effect.message
        for effect in vm.reduce(events.Ticked(vm.now_s))
        if isinstance(effect, quota_effects.SendMessage)
        and isinstance(effect.message, messages.SteeringHeartbeat)
    ]
    assert [beat.headroom for beat in beats] == [vm.state.headroom]
    assert vm.state.headroom < 1.0


def test_a_meter_measures_memory_descriptors_and_the_mean_of_the_link():
    transferred = [0]
    meter = own_use.UseMeter(lambda: transferred[0], 100.0)
    before = meter.measure(101.0)
    assert 10.0 < before.memory_mb < 4000.0
    opened = [os.open("/dev/null", os.O_RDONLY) for _ in range(5)]
    transferred[0] = 1_000_000
    after = meter.measure(103.0)
    for descriptor in opened:
        os.close(descriptor)
    assert after.descriptors == before.descriptors + 5
    # 8 Mbit in 2 s, of which smoothing takes half at first.
    assert after.link_mbps == pytest.approx(2.0)
    assert (after.at_s, meter.measured_s) == (103.0, 103.0)


# Guards against a measurement that raises, and so says nothing, just when the
# last descriptor is in use.
def test_a_process_without_free_descriptors_counts_as_full(monkeypatch):
    meter = own_use.UseMeter(lambda: 0, 100.0)
    known_mb = meter.measure(101.0).memory_mb

    def fail(*_, **__):
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(os, "listdir", fail)
    monkeypatch.setattr(own_use.pathlib.Path, "read_bytes", fail)
    measured = meter.measure(102.0)
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    assert measured.descriptors == limit
    assert measured.memory_mb == known_mb


# Guards against a meter that is not connected to the state and the metrics.
def test_a_running_vm_measures_its_use_with_each_heartbeat(tmp_path):
    names = ("caller", "ready", "look_up", "peer", "metrics", "platform")
    settings = samples.make_settings(
        memory_mb=1.0,
        beat_interval_s=0.1,
        **{f"{name}_address": "127.0.0.1:0" for name in names},
    )
    vm = assembly.SteeringVm(settings, tmp_path / "vm.toml")
    assert b"mulberrydeck_headroom 1.0" in vm.reports.render()
    ticking = gevent.spawn(vm._tick)
    waiting.until(
        lambda: b"mulberrydeck_headroom 0.1" in vm.reports.render(),
        "the headroom falls",
    )
    ticking.kill()
    assert vm.loop.state.headroom == headroom.MIN_HEADROOM


# Guards against records that state other limits than the platform has set.
@pytest.mark.parametrize(("memory_mb", "writes"), [(200.0, 0), (400.0, 1)])
def test_a_changed_capacity_is_registered_again(tmp_path, memory_mb, writes):
    names = ("caller", "ready", "look_up", "peer", "metrics", "platform")
    settings = samples.make_settings(
        memory_mb=200.0, **{f"{name}_address": "127.0.0.1:0" for name in names}
    )
    path = tmp_path / "vm.toml"
    values = attrs.asdict(settings) | {
        "memory_mb": memory_mb,
        "retry_ratio": 0.3,
    }
    path.write_text(tomlkit.dumps(values))
    vm = assembly.SteeringVm(settings, path)
    written = []
    vm._write_again = lambda: written.append(vm._record().capacity.memory_mb)
    vm.reload()
    gevent.sleep(0)
    assert vm.settings.retry_ratio == 0.3
    assert written == [memory_mb] * writes
