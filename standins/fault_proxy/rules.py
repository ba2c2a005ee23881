"""Fault rules and their effect on one direction of a connection."""

import itertools
import time

import attrs
import gevent
import gevent.event

from standins.fault_proxy import specification

BURST_S = 0.05


@attrs.frozen
class Rule:
    """A fault between places.

    A rule affects data that flows from a place selected by `source` to one
    selected by `destination`, whichever end opened the connection.

    Attributes:
        source: Selector of the sending place.
        destination: Selector of the receiving place.
        both_ways: Whether data in the opposite direction is affected too.
        kinds: Kinds of link that are affected; empty means all.
        delay_s: One-way delay, in seconds.
        bytes_per_s: Rate that all affected data shares; 0 means no limit.
        freeze: Whether data is held back while the rule is in force; new
            connections are accepted but not forwarded.
        silence_existing: Whether connections that are open when the rule is
            added never carry data again, while new ones work.
        cut: Whether open connections are reset, and new ones on arrival.
        id: Identifier; the proxy sets it.
    """

    source: str = "any"
    destination: str = "any"
    both_ways: bool = True
    kinds: tuple[str, ...] = ()
    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    freeze: bool = False
    silence_existing: bool = False
    cut: bool = False
    id: int = 0

    def affects(
        self,
        kind: str,
        source: specification.Place,
        destination: specification.Place,
    ) -> bool:
        """Returns whether data from one place to another is affected."""
        if self.kinds and kind not in self.kinds:
            return False
        if source.matches(self.source) and destination.matches(
            self.destination
        ):
            return True
        return (
            self.both_ways
            and source.matches(self.destination)
            and destination.matches(self.source)
        )


class Pacer:
    """A byte rate limit that several flows share.

    Attributes:
        bytes_per_s: The rate.
        free_s: Monotonic time by which all admitted bytes are sent at the
            rate, in seconds.
    """

    def __init__(self, bytes_per_s: float):
        self.bytes_per_s = bytes_per_s
        self.free_s = 0.0

    def take(self, size_bytes: int) -> None:
        """Waits until the rate allows `size_bytes` more."""
        now = time.monotonic()
        self.free_s = max(self.free_s, now) + size_bytes / self.bytes_per_s
        gevent.sleep(max(0.0, self.free_s - now - BURST_S))


@attrs.frozen
class Effect:
    """Combined effect of all rules on one direction of a connection.

    Attributes:
        delay_s: One-way delay, in seconds.
        pacers: Byte rate limits.
        frozen: Whether data is held back.
        cut: Whether the connection is reset.
    """

    delay_s: float = 0.0
    pacers: tuple[Pacer, ...] = ()
    frozen: bool = False
    cut: bool = False


class Rules:
    """The rules in force.

    Attributes:
        rules: Rules by identifier.
        generation: Number of changes so far.
        pacers: Pacers of rules with a byte rate, by identifier.
        changed: Event for waiting flows; set and replaced at every change.
    """

    def __init__(self) -> None:
        self.rules: dict[int, Rule] = {}
        self.pacers: dict[int, Pacer] = {}
        self.ids = itertools.count(1)
        self.generation = 0
        self.changed = gevent.event.Event()

    def add(self, rule: Rule) -> Rule:
        """Puts a rule in force and returns it with its identifier."""
        added = attrs.evolve(rule, id=next(self.ids))
        self.rules[added.id] = added
        if added.bytes_per_s > 0:
            self.pacers[added.id] = Pacer(added.bytes_per_s)
        self.wake()
        return added

    def remove(self, rule_id: int) -> None:
        """Removes a rule; unknown identifiers are ignored."""
        self.rules.pop(rule_id, None)
        self.pacers.pop(rule_id, None)
        self.wake()

    def clear(self) -> None:
        """Removes all rules."""
        self.rules.clear()
        self.pacers.clear()
        self.wake()

    def wake(self) -> None:
        """Wakes all flows that wait for a change."""
        self.generation += 1
        previous = self.changed
        self.changed = gevent.event.Event()
        previous.set()

    def effect(
        self,
        kind: str,
        source: specification.Place,
        destination: specification.Place,
    ) -> Effect:
        """Returns the effect on data from one place to another."""
        matching = [
            rule
            for rule in self.rules.values()
            if rule.affects(kind, source, destination)
        ]
        return Effect(
            delay_s=sum(rule.delay_s for rule in matching),
            pacers=tuple(
                self.pacers[rule.id]
                for rule in matching
                if rule.bytes_per_s > 0
            ),
            frozen=any(rule.freeze for rule in matching),
            cut=any(rule.cut for rule in matching),
        )
