"""Measures the encoded size of configurations and the cost of applying them.

Run `python -m bench.document_cost`.
"""

import time

import attrs
import msgspec

from bench import single_vm
from mulberrydeck.model import compiled
from mulberrydeck.model import configuration
from mulberrydeck.model import documents

SIZES = {
    "today": single_vm.Size(),
    "5,000 accounts": single_vm.Size(accounts=5000),
    "10,000 targets": single_vm.Size(targets=10000),
    "51,000 client blocks": single_vm.Size(blocks=51_000),
    "510,000 client blocks": single_vm.Size(blocks=510_000),
}


@attrs.frozen
class Row:
    """Figures of one size.

    Attributes:
        name: Name of the size.
        size_kb: Encoded size, in kilobytes.
        decode_ms: Processor time to decode it, in milliseconds.
        compile_ms: Processor time to compile it to indexes, in milliseconds.
    """

    name: str
    size_kb: float
    decode_ms: float
    compile_ms: float


def measure(name: str, size: single_vm.Size) -> Row:
    """Returns the figures of a size."""
    note = documents.new_note("bench", (), None)
    source = single_vm.configure(size, 80, 4)
    document = documents.ConfigurationDocument(note, source)
    content = msgspec.json.encode(document)
    started_s = time.process_time()
    decoded: configuration.Configuration = documents.decode(
        content
    ).configuration
    decoded_s = time.process_time()
    compiled.compile_configuration(decoded, 1)
    compiled_s = time.process_time()
    return Row(
        name,
        len(content) / 1000,
        (decoded_s - started_s) * 1000,
        (compiled_s - decoded_s) * 1000,
    )


def render() -> str:
    """Returns the figures as a Markdown table."""
    lines = ["| size | encoded | decode | index |", "|---|---|---|---|"]
    for name, size in SIZES.items():
        row = measure(name, size)
        lines.append(
            f"| {row.name} | {row.size_kb:.0f} kB | {row.decode_ms:.1f} ms | "
            f"{row.compile_ms:.1f} ms |"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    print(render())
