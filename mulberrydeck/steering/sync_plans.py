"""How a VM learns what the store holds."""

import attrs


@attrs.frozen
class SyncPlan:
    """How this VM learns what the store holds.

    Attributes:
        source: VM that it learns from, or empty.
        direct: Whether it follows the store itself.
        shared: Whether VMs share what they read.
        leads: Whether others may learn from it.
    """

    source: str = ""
    direct: bool = True
    shared: bool = False
    leads: bool = False
