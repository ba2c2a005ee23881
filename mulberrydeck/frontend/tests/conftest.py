"""Servers and targets that end with the test."""

import pytest

from mulberrydeck.frontend import dependencies
from mulberrydeck.frontend import server
from mulberrydeck.frontend.tests import fakes


@pytest.fixture
def targets():
    started = []

    def start(*steps):
        started.append(fakes.ScriptedTarget(*steps))
        return started[-1]

    yield start
    for target in started:
        target.stop()


@pytest.fixture
def serve():
    started = []

    def start(gateway, kind=server.CallerServer, **changes):
        wired = dependencies.build(fakes.settings(**changes), gateway)
        started.append(kind(wired))
        started[-1].start()
        return started[-1]

    yield start
    for one in started:
        one.stop(graceful=False)
