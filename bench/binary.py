"""Builds the program as one executable: `dist/mulberrydeck`.

PyInstaller collects interpreter, libraries and sources in a directory. A small
launcher, to which that directory is appended, unpacks it once into a runtime
directory and replaces itself with the program. See docs/design/binary.md.
"""

import hashlib
import os
import pathlib
import stat
import struct
import subprocess
import sys

import click

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "binary"
OUTPUT = ROOT / "dist" / "mulberrydeck"
LAUNCHER_SOURCE = ROOT / "bench" / "launcher.c"
PROGRAM = "mulberrydeck"
MAGIC = b"MULBDECK"
DIGEST_DIGITS = 16
ENTRY = struct.Struct("<IIQ")
TRAILER = struct.Struct(f"<Q{DIGEST_DIGITS}s{len(MAGIC)}s")
ENTRY_POINT = "from mulberrydeck import __main__\n\n__main__.main()\n"
EXCLUDED = (
    "_pytest",
    "hypothesis",
    "pytest",
    "pytest_bdd",
    "setuptools",
    "tkinter",
)


def freeze() -> pathlib.Path:
    """Collects the program in a directory and returns its path."""
    BUILD.mkdir(parents=True, exist_ok=True)
    entry_point = BUILD / "entry_point.py"
    entry_point.write_text(ENTRY_POINT)
    excluded = [f"--exclude-module={name}" for name in EXCLUDED]
    command = [
        sys.executable,
        "-m",
        "PyInstaller",
        "--noconfirm",
        "--log-level=WARN",
        "--onedir",
        "--strip",
        f"--name={PROGRAM}",
        f"--paths={ROOT}",
        f"--specpath={BUILD}",
        f"--workpath={BUILD / 'work'}",
        f"--distpath={BUILD / 'tree'}",
        f"--collect-submodules={PROGRAM}",
        *excluded,
        str(entry_point),
    ]
    # These sources must take precedence over an installed copy of the package.
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    subprocess.run(command, check=True, cwd=BUILD, env=environment)
    return BUILD / "tree" / PROGRAM


def compile_launcher() -> pathlib.Path:
    """Compiles the launcher and returns its path."""
    path = BUILD / "launcher"
    flags = ["-O2", "-Wall", "-Wextra", "-Werror", "-s"]
    command = ["cc", *flags, "-o", str(path), str(LAUNCHER_SOURCE)]
    subprocess.run(command, check=True)
    return path


def pack(tree: pathlib.Path) -> bytes:
    """Returns all files and symbolic links of a directory as entries."""
    pieces = []
    for path in sorted(tree.rglob("*")):
        mode = path.lstat().st_mode
        if stat.S_ISDIR(mode):
            continue
        if stat.S_ISLNK(mode):
            content = str(path.readlink()).encode()
        else:
            content = path.read_bytes()
        name = str(path.relative_to(tree)).encode()
        pieces += [ENTRY.pack(len(name), mode, len(content)), name, content]
    return b"".join(pieces)


def assemble(launcher: bytes, payload: bytes) -> bytes:
    """Returns the content of the executable."""
    digest = hashlib.sha256(launcher + payload).hexdigest()[:DIGEST_DIGITS]
    trailer = TRAILER.pack(len(launcher), digest.encode(), MAGIC)
    return launcher + payload + trailer


def build() -> pathlib.Path:
    """Builds the executable and returns its path."""
    payload = pack(freeze())
    content = assemble(compile_launcher().read_bytes(), payload)
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.unlink(missing_ok=True)
    OUTPUT.write_bytes(content)
    OUTPUT.chmod(0o755)
    return OUTPUT


@click.command()
def main() -> None:
    """Build dist/mulberrydeck."""
    path = build()
    size_mib = path.stat().st_size / 2**20
    click.echo(f"{path.relative_to(ROOT)}: {size_mib:.0f} MiB")


if __name__ == "__main__":
    main()
