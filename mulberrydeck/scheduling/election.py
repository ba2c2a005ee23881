"""Which VM schedules the targets of a service in a region.

Each VM determines it from the heartbeats that it knows, without a message. VMs
that know different heartbeats ask different schedulers for a second or two,
which then choose less well and break no rule.
"""

from mulberrydeck.routing import hashing
from mulberrydeck.scheduling import state as states
from mulberrydeck.steering import capacity
from mulberrydeck.steering import registry
from mulberrydeck.steering import state as steering_states

# Ranking 2,500 VMs takes a millisecond for each service and region. A scheduler
# that stops or does not reply is replaced at once all the same.
ELECTION_INTERVAL_S = 1.0
# Schedulers that are tried one after another.
MAX_SCHEDULERS = 4


def scheduler_of(
    state: steering_states.State, service: str, region: str
) -> str | None:
    """Returns the VM to ask for slots of a service; None if there is none.

    VMs with more cores come first. VMs that did not reply recently are left
    out, and so is every VM of a region whose first ones did not reply.

    Args:
        state: State of this VM.
        service: Name of the service.
        region: Region of the targets.
    """
    client = state.slot_client
    for name in _elected(state, service, region):
        if state.now_s >= client.avoided_until_s.get(name, state.now_s):
            return name
    return None


def _elected(
    state: steering_states.State, service: str, region: str
) -> tuple[str, ...]:
    elected = state.slot_client.elected.get((service, region))
    if elected is None or (
        state.now_s >= elected.elected_s + ELECTION_INTERVAL_S
    ):
        names = _rank(state, service, region)
        elected = states.ElectedSchedulers(names, state.now_s)
        state.slot_client.elected[service, region] = elected
    return elected.names


def _rank(
    state: steering_states.State, service: str, region: str
) -> tuple[str, ...]:
    digest = hashing.digest(service)
    candidates = [
        _candidate(peer.record, digest)
        for peer in state.fleet.serving_peers(state.now_s)
        if peer.record.region == region
    ]
    settings = state.settings
    if region == settings.region and not state.stopping:
        own = registry.own_record(settings, state.fleet.incarnation)
        candidates.append(_candidate(own, digest))
    return tuple(name for _, _, name in sorted(candidates)[:MAX_SCHEDULERS])


def _candidate(
    record: registry.VmRecord, service_digest: int
) -> tuple[float, int, str]:
    rank = hashing.combine(hashing.digest(record.name), service_digest)
    return (-capacity.cores(record), rank, record.name)
