"""Plan by which a VM keeps in sync with the store."""

import attrs


@attrs.frozen
class SyncPlan:
    """How this VM gets updates of the store.

    Attributes:
        source: Name of the VM from which it gets updates, or empty.
        direct: Whether it watches the store itself.
        shared: Whether VMs share what they read from the store.
        leads: Whether other VMs may get updates from this one.
        decided: Whether the other VMs are known; if not, this VM may be about
            to lead.
    """

    source: str = ""
    direct: bool = True
    shared: bool = False
    leads: bool = False
    decided: bool = True


UNDECIDED = SyncPlan(decided=False)
