"""Uniform hashes that are the same on all VMs."""

import functools
import hashlib

HASH_BITS = 64
DIGEST_CACHE_SIZE = 8192
HASH_RANGE = 2**HASH_BITS
FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9
SECOND_MULTIPLIER = 0x94D049BB133111EB


@functools.lru_cache(maxsize=DIGEST_CACHE_SIZE)
def digest(text: str) -> int:
    """Returns a 64-bit hash of a text."""
    raw = hashlib.blake2b(text.encode(), digest_size=HASH_BITS // 8)
    return int.from_bytes(raw.digest(), "big")


def combine(first: int, second: int) -> int:
    """Returns a 64-bit hash of two digests (the SplitMix64 finaliser).

    See Steele, Lea and Flood, Fast Splittable Pseudorandom Number Generators,
    OOPSLA 2014.
    """
    mixed = first ^ second
    mixed = (mixed ^ (mixed >> 30)) * FIRST_MULTIPLIER % HASH_RANGE
    mixed = (mixed ^ (mixed >> 27)) * SECOND_MULTIPLIER % HASH_RANGE
    return mixed ^ (mixed >> 31)
