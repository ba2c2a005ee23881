"""Decodes and encodes the capacity in the records of entry VMs.

It is decoded apart from the rest of a record: a VM whose capacity cannot be
read must still be known to the others, as an average one.
"""

import msgspec

from mulberrydeck.steering import registry


class _VmCapacity(msgspec.Struct, rename="pascal"):
    cores: float = 0.0
    memory_mb: float = 0.0
    descriptors: float = 0.0
    link_mbps: float = 0.0


class _RecordPart(msgspec.Struct, rename="pascal"):
    """The only field of a VM's record that is read here."""

    capacity: _VmCapacity | None = None


_decoder = msgspec.json.Decoder(_RecordPart)


def decode(spec: msgspec.Raw) -> registry.VmCapacity | None:
    """Returns the capacity in the specification of a VM's record.

    Returns:
        The capacity; None if it is missing, malformed or implausible.
    """
    try:
        document = _decoder.decode(spec).capacity
    # Integers of thousands of digits raise a `ValueError`.
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    if document is None:
        return None
    return registry.plausible_capacity(
        document.cores,
        document.memory_mb,
        document.descriptors,
        document.link_mbps,
    )


def encode(capacity: registry.VmCapacity | None) -> dict[str, object]:
    """Returns the fields that a capacity adds to the record of a VM."""
    if capacity is None:
        return {}
    return msgspec.to_builtins(
        _RecordPart(
            _VmCapacity(
                capacity.cores,
                capacity.memory_mb,
                capacity.descriptors,
                capacity.link_mbps,
            )
        )
    )
