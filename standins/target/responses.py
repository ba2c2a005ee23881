"""Bodies of answers, which a caller can check against its own request."""

import collections.abc
import hashlib

BLOCK_BYTES = 65_536


def block_of(request_id: str) -> bytes:
    """Returns the block that an answer to this request repeats."""
    digest = hashlib.sha256(request_id.encode()).digest()
    return digest * (BLOCK_BYTES // len(digest))


def body_blocks(
    request_id: str, size_bytes: int
) -> collections.abc.Iterator[bytes]:
    """Yields the answer body of a request in blocks.

    Args:
        request_id: Identifier of the request; it decides the content.
        size_bytes: Length of the whole body, in bytes.
    """
    block = block_of(request_id)
    left_bytes = size_bytes
    while left_bytes > 0:
        yield block[:left_bytes]
        left_bytes -= len(block)


def body(request_id: str, size_bytes: int) -> bytes:
    """Returns the whole answer body of a request."""
    return b"".join(body_blocks(request_id, size_bytes))
