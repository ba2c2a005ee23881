"""No decision reads the time of day, which may jump by seconds and back."""

import ast
import pathlib

import pytest

import mulberrydeck

ROOT = pathlib.Path(mulberrydeck.__file__).parent
DECIDING_PACKAGES = (
    "core",
    "forward",
    "peers",
    "platform",
    "quota",
    "routing",
    "shell",
    "steering",
)
# A header field for targets, which compare it with their own time of day.
ALLOWED = frozenset(("forward/hops.py",))
TIMES_OF_DAY = frozenset(
    (
        "time.time",
        "time.time_ns",
        "time.CLOCK_REALTIME",
        "time.localtime",
        "time.gmtime",
        "datetime.datetime",
    )
)


def times_of_day(source):
    """Returns the names in a module's source that give the time of day."""
    return {
        f"{node.value.id}.{node.attr}"
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name)
    } & TIMES_OF_DAY


@pytest.mark.parametrize("package", DECIDING_PACKAGES)
def test_no_deciding_module_reads_the_time_of_day(package):
    paths = [
        path
        for path in (ROOT / package).rglob("*.py")
        if "tests" not in path.parts
    ]
    assert paths
    reading = {
        str(path.relative_to(ROOT))
        for path in paths
        if times_of_day(path.read_text())
    }
    assert reading <= ALLOWED


def test_a_module_that_reads_the_time_of_day_is_found():
    assert times_of_day("import time\nnow = time.time()") == {"time.time"}
    assert not times_of_day("import time\nnow = time.monotonic()")
