"""Speed, tail and reports of emulated targets."""

import pytest

from mulberrydeck.emulator import clock
from mulberrydeck.emulator import targets
from mulberrydeck.emulator.tests import samples
from mulberrydeck.platform import headers


@pytest.fixture(autouse=True)
def fixture_no_spread(monkeypatch):
    """Makes requests take exactly their mean processing time."""
    monkeypatch.setattr(targets, "WORK_SPREAD", 0.0)


def run_noise(*changes):
    """Returns when a request of 1 s ends, given times and noise factors."""
    clock_ = clock.Clock()
    target = samples.make_target(clock_)
    ends = []
    target.try_accept(
        samples.make_job(on_done=lambda: ends.append(clock_.now_s))
    )
    for at_s, factor in changes:
        clock_.run(at_s)
        target.set_noise_factor(factor)
    clock_.run(20.0)
    assert target.load == 0
    return ends


@pytest.mark.parametrize(
    ("changes", "end_s"),
    [
        ([], 1.0),
        ([(0.0, 2.5)], 2.5),
        ([(0.4, 2.5)], 1.9),
        ([(0.4, 2.5), (0.9, 1.0)], 1.3),
        ([(0.0, 2.5), (0.5, 2.0), (0.5, 1.0)], 1.3),
    ],
)
def test_noise_slows_the_requests_in_progress_while_it_lasts(changes, end_s):
    """Noise that only slowed new requests would last as long as they do."""
    assert run_noise(*changes) == [pytest.approx(end_s)]


def test_requests_of_the_tail_take_longer_and_cached_objects_shorter():
    clock_ = clock.Clock()
    target = samples.make_target(clock_)
    ends = []
    for work_factor in (4.0, 1.0):
        target.try_accept(
            samples.make_job(
                on_done=lambda: ends.append(clock_.now_s),
                work_factor=work_factor,
            )
        )
    clock_.run(20.0)
    assert ends == [pytest.approx(4.0), pytest.approx(4.3)]


def test_responses_report_load_and_speed_of_their_time():
    clock_ = clock.Clock()
    target = samples.make_target(clock_)
    for _ in range(3):
        target.try_accept(samples.make_job())
    target.set_noise_factor(2.5)
    assert target.reported_load() == headers.TargetLoad(1, 2, 1, 2.5)


def test_targets_of_other_deployments_report_no_speed():
    target = samples.make_target(clock.Clock(), reports_speed=False)
    target.set_noise_factor(2.5)
    assert target.reported_load() == headers.TargetLoad(0, 0, 1, None)


def test_reports_are_as_old_as_the_emulation_says():
    """Fresh reports would hide that VMs with old ones make the same choice."""
    clock_ = clock.Clock()
    target = samples.make_target(clock_, report_age_s=0.5)
    target.try_accept(samples.make_job())
    reported = []
    for at_s in (0.4, 0.5, 1.4, 1.5):
        clock_.run(at_s)
        reported.append(target.reported_load().running)
    assert reported == [0, 1, 1, 0]
