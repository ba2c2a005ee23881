"""Response bodies that a caller can check against its request."""

import collections.abc
import hashlib

BLOCK_BYTES = 65_536


def block_of(request_id: str) -> bytes:
    """Returns the block that the response body to a request repeats."""
    digest = hashlib.sha256(request_id.encode()).digest()
    return digest * (BLOCK_BYTES // len(digest))


def body_blocks(
    request_id: str, size_bytes: int
) -> collections.abc.Iterator[bytes]:
    """Yields the response body of a request in blocks.

    Args:
        request_id: Identifier of the request; it determines the content.
        size_bytes: Length of the complete body, in bytes.
    """
    block = block_of(request_id)
    remaining_bytes = size_bytes
    while remaining_bytes > 0:
        yield block[:remaining_bytes]
        remaining_bytes -= len(block)


def body(request_id: str, size_bytes: int) -> bytes:
    """Returns the complete response body of a request."""
    return b"".join(body_blocks(request_id, size_bytes))
