"""Simulated VMs that exchange messages with a delay, and lose some on demand.

Time is simulated. Messages between two VMs keep their order, as on the
connection that VMs keep to each other.
"""

import collections

from mulberrydeck.emulator import clock
from mulberrydeck.peers import slot_messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import registry
from mulberrydeck.steering.tests import samples

Outcome = events.Outcome

SERVICE = "status"
NEAR_S = 0.001
FAR_S = 0.02
TICK_S = 0.1
# By then, all VMs have received a heartbeat of each other.
SETTLED_S = 1.5

# The first VM is the scheduler, since it has the most cores.
VMS = {"coast-a-1": 2.0, "coast-a-2": 1.0, "coast-a-3": 0.5}


class Network:
    """VMs by name, and what they decided for their requests.

    Attributes:
        vms: Simulated VMs by name.
        decisions: Decisions on each request, in their order.
        sent: All slot messages that were sent: sender, receiver and message.
        loses: Returns whether a message is lost.
        stalled: Events that wait for VMs that are stalled, by VM.
    """

    def __init__(self, entries, cores=None, table=None, **settings):
        self.clock = clock.Clock()
        self.clock.now_s = 1000.0
        self.cores = VMS if cores is None else cores
        self.table = table
        self.entries = tuple(entries)
        self.settings = settings
        self.vms = {}
        self.decisions = collections.defaultdict(list)
        self.owners = {}
        self.sent = []
        self.loses = lambda sender, to, message: False
        self.stalled = {}
        for name in self.cores:
            self.start(name, "1")
        self.run(SETTLED_S)

    @property
    def now_s(self):
        return self.clock.now_s

    def start(self, name, process):
        """Starts a VM, or restarts it with a new process."""
        zone = _zone(name)
        vm = samples.Vm(
            table=self.table,
            entries=self.entries,
            name=name,
            zone=zone,
            region=samples.REGION_BY_ZONE[zone],
            slot_scheduling_min_vms=1,
            **self.settings,
            **_limits(self.cores[name]),
        )
        vm.state.fleet.incarnation = f"{name}-{process}"
        self.vms[name] = vm
        self.apply(name, events.VmsListed(self.now_s, self._records(), 4))
        self._tick(vm)

    def kill(self, name):
        """Ends the process of a VM without notice."""
        del self.vms[name]

    def stall(self, name, for_s):
        """Stops a VM for a time; what arrives meanwhile is handled then.

        As in the event loop of a process, timers that are due go first.
        """
        self.stalled[name] = []

        def resume():
            arrived = self.stalled.pop(name)
            for event in (events.Ticked(self.now_s), *arrived):
                self.apply(name, event)

        self.clock.after(for_s, resume)

    def state(self, name="coast-a-1"):
        return self.vms[name].state

    def run(self, for_s):
        self.clock.run(self.now_s + for_s)

    def apply(self, name, event):
        """Passes an event to a VM and carries out the effects."""
        vm = self.vms.get(name)
        if vm is None:
            return
        if name in self.stalled:
            self.stalled[name].append(event)
            return
        vm.now_s = self.now_s
        if self.now_s > event.at_s:
            object.__setattr__(event, "at_s", self.now_s)
        for effect in vm.reduce(event):
            match effect:
                case quota_effects.SendMessage(to, message):
                    self._send(name, to, message)
                case effects.Forward() | effects.Deliver() | effects.Refuse():
                    self.decisions[effect.request_id].append(effect)

    def ask(self, name="coast-a-2", count=1, **changes):
        """Sends requests to a VM; returns the identifier of the last one."""
        for _ in range(count):
            request_id = f"{name}/{len(self.owners)}"
            self.owners[request_id] = name
            values = {
                "host": "permits.example",
                "path": "/read/1",
                "key": "",
                "object_key": "a",
                "timeout_s": 2.0,
            }
            self.apply(
                name,
                events.RequestArrived(
                    self.now_s, request_id, **{**values, **changes}
                ),
            )
        return request_id

    def decide(self, name="coast-a-2", **changes):
        """Sends a request to a VM; returns it with the decision on it."""
        request_id = self.ask(name, **changes)
        self.run(0.01)
        return request_id, self.decision(request_id)

    def decision(self, request_id):
        """Returns the last decision on a request, or None."""
        decisions = self.decisions[request_id]
        return decisions[-1] if decisions else None

    def end(self, request_id, outcome=Outcome.ANSWERED, **changes):
        values = {"status": 200 if outcome is Outcome.ANSWERED else 0}
        self.apply(
            self.owners[request_id],
            events.AttemptEnded(
                self.now_s, request_id, outcome, **{**values, **changes}
            ),
        )

    def close(self, request_id):
        event = events.RequestClosed(self.now_s, request_id)
        self.apply(self.owners[request_id], event)

    def serve(self, request_id, **changes):
        """Ends a request with a response, and closes it."""
        self.end(request_id, **changes)
        self.close(request_id)
        self.run(0.01)

    def fill(self, name="coast-a-2", count=1, **changes):
        """Sends requests that occupy slots; returns their identifiers."""
        asked = [self.ask(name, **changes) for _ in range(count)]
        self.run(0.05)
        for request_id in asked:
            assert isinstance(self.decision(request_id), effects.Forward)
        return asked

    def learn(self, work_s, route="read", vm="coast-a-1"):
        """Lets a scheduler learn the work time without a cached object."""
        self.state(vm).scheduler.expected.mean_s[route, False] = work_s

    def slot_messages(self, kind):
        return [message for _, _, message in self.sent if type(message) is kind]

    def _send(self, sender, to, message):
        if type(message).__module__ == slot_messages.__name__:
            self.sent.append((sender, to, message))
        if self.loses(sender, to, message):
            return
        regions = {samples.REGION_BY_ZONE[_zone(vm)] for vm in (sender, to)}

        def arrive():
            event = events.PeerReceived(self.now_s, sender, message)
            self.apply(to, event)

        self.clock.after(NEAR_S if len(regions) == 1 else FAR_S, arrive)

    def _tick(self, vm):
        name = vm.state.settings.name
        if self.vms.get(name) is vm:
            if name not in self.stalled:
                # Data about targets is current, so that none may be cold.
                checked = events.StoreChecked(self.now_s, self.now_s)
                self.apply(name, checked)
                self.apply(name, events.Ticked(self.now_s))
            self.clock.after(TICK_S, lambda: self._tick(vm))

    def _records(self):
        return tuple(
            registry.VmRecord(
                name,
                _zone(name),
                samples.REGION_BY_ZONE[_zone(name)],
                f"127.0.0.{number}:80",
                f"127.0.0.{number}:81",
                f"process-{name}",
                registry.VmCapacity(cores, 500.0, 8000.0, 100.0),
            )
            for number, (name, cores) in enumerate(self.cores.items())
        )


def _zone(name):
    return name.rpartition("-")[0]


def _limits(cores):
    return {
        "cpu_share": cores,
        "cpu_count": 1,
        "memory_mb": 500.0,
        "max_descriptors": 8000,
        "link_mbps": 100.0,
    }


def forwarded(decision):
    """Returns the target of a decision to forward a request, or None."""
    return decision.target if isinstance(decision, effects.Forward) else None
