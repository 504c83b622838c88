"""A stand-in for the optional package xxhash, for machines on which the deploy file's build alone was made.

The program uses two of its functions, to tell documents apart and to find damage in a file. Any good hash serves.
"""

from __future__ import annotations

import hashlib


def xxh3_64_intdigest(data: bytes) -> int:
    """Return a hash of 64 bits."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def xxh3_128_hexdigest(data: bytes) -> str:
    """Return a hash of 128 bits in hexadecimal digits."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()
