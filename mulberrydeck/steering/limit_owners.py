"""Which VMs own the units of an account's limit in a large fleet.

All VMs rank the owners by the same hash, so that few owners change when a VM is
added or removed. Each region has an owner, so that its callers are served while
it is cut off from the other regions.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from mulberrydeck.routing import hashing
from mulberrydeck.steering import tables

# At most this many VMs own an account's units, but at least one in each region:
# a borrower sends one message per lender, and the units of a VM that fails are
# unavailable.
MAX_LIMIT_OWNERS = 16
# Minimum share of the burst per owner, in tokens, so that one request to a
# lender usually finds a token.
BURST_TOKENS_PER_OWNER = 5.0


@attrs.frozen
class _Limit:
    account: str
    max_owners: int


@attrs.define
class LimitOwners:
    """Owners of the limits that were asked for, kept while VMs come and go.

    Ranking every VM for every account takes tens of milliseconds in a fleet of
    hundreds, and a release of VMs would cause it several times per second on
    each of them. A VM that is removed changes only the limits that it owned,
    and one that is added can only replace owners.

    Attributes:
        region_by_vm: Region of each registered VM.
        owners: Owners of each limit, sorted.
    """

    region_by_vm: Mapping[str, str] = attrs.field(factory=dict)
    owners: dict[_Limit, tuple[str, ...]] = attrs.field(factory=dict)

    def update(self, region_by_vm: Mapping[str, str]) -> None:
        """Applies a change of the registered VMs."""
        changed = self.region_by_vm.items() ^ region_by_vm.items()
        if not changed:
            return
        removed = {name for name, _ in changed & self.region_by_vm.items()}
        added = {name for name, _ in changed & region_by_vm.items()}
        self.region_by_vm = region_by_vm
        for limit, names in self.owners.items():
            if not removed.isdisjoint(names):
                self.owners[limit] = self._choose(limit, region_by_vm)
            elif added:
                self.owners[limit] = self._choose(limit, added.union(names))

    def of(self, account: tables.Account) -> tuple[str, ...]:
        """Returns the VMs that own units of an account's limit, sorted."""
        max_owners = min(
            MAX_LIMIT_OWNERS, int(account.burst / BURST_TOKENS_PER_OWNER)
        )
        limit = _Limit(account.name, max_owners)
        owners = self.owners.get(limit)
        if owners is None:
            owners = self._choose(limit, self.region_by_vm)
            self.owners[limit] = owners
        return owners

    def _choose(
        self, limit: _Limit, candidates: Iterable[str]
    ) -> tuple[str, ...]:
        digest = hashing.digest(limit.account)
        ranked = sorted(
            candidates,
            key=lambda name: hashing.combine(hashing.digest(name), digest),
        )
        first_by_region: dict[str, str] = {}
        for name in ranked:
            first_by_region.setdefault(self.region_by_vm[name], name)
        chosen = set(first_by_region.values())
        rest = [name for name in ranked if name not in chosen]
        chosen.update(rest[: max(0, limit.max_owners - len(chosen))])
        return tuple(sorted(chosen))
