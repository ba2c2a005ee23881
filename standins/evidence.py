"""Keeps the logs and records of tests that failed."""

import contextlib
import json
import os
import pathlib
import re
import shutil
import time

import attrs

DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / ".evidence"
MAX_KEPT = 20
ARRIVALS_FILE = "arrivals.json"
MAX_NAME_LENGTH = 120


def write_arrivals(directory: pathlib.Path, records: object) -> None:
    """Writes the records of stand-ins beside the logs of their deployment.

    Args:
        directory: Directory of the deployment's logs.
        records: `attrs` objects, containers and plain values.
    """
    text = json.dumps(records, default=_encode, indent=1)
    (directory / ARRIVALS_FILE).write_text(text)


def _encode(value: object) -> object:
    if attrs.has(type(value)):
        return attrs.asdict(value, recurse=False)
    if isinstance(value, bytes):
        return f"{len(value)} bytes"
    return str(value)


def keep(
    test: str,
    message: str,
    logs: pathlib.Path | None,
    directory: pathlib.Path = DIRECTORY,
) -> pathlib.Path:
    """Keeps what a failed test left, and removes the oldest evidence.

    Args:
        test: Node id of the test; names its parameters and so its seed.
        message: Report of the failure.
        logs: Directory with settings, logs and records; None if the test has
            none.
        directory: Where evidence is kept.

    Returns:
        The new directory.
    """
    name = re.sub(r"[^\w.\-]+", "-", test)[-MAX_NAME_LENGTH:]
    kept = directory / f"{time.time_ns()}-{name}"
    if logs is None or not logs.exists():
        kept.mkdir(parents=True)
    else:
        shutil.copytree(logs, kept, symlinks=True)
    load = " ".join(f"{average:.2f}" for average in os.getloadavg())
    report = f"test: {test}\nload averages: {load}\n\n{message}\n"
    (kept / "report.txt").write_text(report)
    _remove_oldest(directory)
    return kept


def _remove_oldest(directory: pathlib.Path) -> None:
    kept = sorted(path for path in directory.iterdir() if path.is_dir())
    for path in kept[:-MAX_KEPT]:
        # Tests that run in parallel remove the same directories.
        with contextlib.suppress(FileNotFoundError):
            shutil.rmtree(path)
