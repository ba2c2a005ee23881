"""Short soaks, and seeds that once failed."""

import pytest

from soak import runs

DURATION_S = 6.0
LONG_DURATION_S = 20.0


@pytest.mark.parametrize(
    ("seed", "mesh", "crowded"),
    [(1, True, False), (2, False, False), (3, False, True)],
)
def test_promises_hold_under_series_of_faults(seed, mesh, crowded, tmp_path):
    played = runs.run_seed(
        seed, DURATION_S, tmp_path, mesh, timed=False, crowded=crowded
    )
    assert not played.broken_promises, played.series


@pytest.mark.parametrize("mesh", [True, False])
def test_promises_without_times_hold_while_targets_turn_cold(mesh, tmp_path):
    played = runs.run_seed(
        1001, DURATION_S, tmp_path, mesh, timed=False, cold=True
    )
    assert not played.broken_promises, played.series


# Found calls that ran although they had been refused, with the status of the
# target that ran them, or twice after a rejection that contradicted itself.
@pytest.mark.parametrize("mesh", [True, False])
def test_promises_hold_while_targets_fail_as_operators_reported(mesh, tmp_path):
    played = runs.run_seed(
        2001, DURATION_S, tmp_path, mesh, timed=False, faulty=True
    )
    assert not played.broken_promises, played.series


# Seed, mesh and crowded of each soak, with the cause of its failure.
REGRESSION_SEEDS = (
    # A SIGHUP during imports, before its handler was installed, ended a VM.
    (21, False, False),
    # A request arrived as a planned stop closed its idle connection.
    (11, True, False),
    # A retry that found no target replaced a failed response by "not run".
    (128, False, False),
    # A SIGTERM during imports ended a VM with exit code -15.
    (131, False, False),
    # A stopped process took seconds to close its connections.
    (230, False, False),
    # VMs whose source had lost the store applied a version 6 s late.
    (310, False, True),
    # A leader's watches waited on silent connections while its checks passed.
    (317, False, True),
)


@pytest.mark.parametrize(("seed", "mesh", "crowded"), REGRESSION_SEEDS)
def test_seeds_that_failed_once_pass(seed, mesh, crowded, tmp_path):
    played = runs.run_seed(
        seed, LONG_DURATION_S, tmp_path, mesh, timed=False, crowded=crowded
    )
    assert not played.broken_promises, played.series
