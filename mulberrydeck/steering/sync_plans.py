"""Plan by which a VM keeps in sync with the store."""

import attrs


@attrs.frozen
class SyncPlan:
    """From where this VM learns the store's contents.

    Attributes:
        source: Name of the VM that it learns from, or empty.
        direct: Whether it watches the store itself.
        shared: Whether VMs share what they read from the store.
        leads: Whether other VMs may learn from this one.
    """

    source: str = ""
    direct: bool = True
    shared: bool = False
    leads: bool = False
