"""Concurrent configuration changes, with lost replies and stale reads."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from beamhatch.decide.configuration import AlreadyAccepted, Change, Configuration, Conflict, Head, NextHead
from beamhatch.ids import ChangeId
from beamhatch.settings.check import digest_document, encode_document
from beamhatch.settings.schema import Workspace


class ConfigurationMachine(RuleBasedStateMachine):
    """Two VMs and one key-value cell with a revision, with the history of all heads."""

    def __init__(self) -> None:
        super().__init__()
        self.cell = (0, Head())
        self.past = [Head()]
        self.bodies: dict[str, bytes] = {}
        self.nodes = [Configuration(), Configuration()]
        for node in self.nodes:
            node.apply(Head(), {})
        self.seen: list[list[int]] = [[], []]
        self.accepted: dict[str, int] = {}
        self.weight = 0

    @rule(name=st.sampled_from(["a", "b"]), stale=st.booleans(), again=st.booleans(), node=st.integers(0, 1))
    def change(self, name: str, stale: bool, again: bool, node: int) -> None:
        """Plan on a head that may be old, swap, and try the same change once more as after a lost reply."""
        self.weight += 1
        body = encode_document(Workspace(name=name, weight=self.weight % 900 + 1))
        self.bodies[digest_document(body)] = body
        revision, head = self.cell
        read = self.past[-2] if stale and len(self.past) > 1 else head
        seen = {f"workspace/{name}": read.documents.get(f"workspace/{name}")}
        change = Change(ChangeId(f"c{self.weight}"), "op", "", {f"workspace/{name}": body}, base=seen)
        plan = self.nodes[node].plan(change, read, self.bodies, 0.0)
        assert isinstance(plan, NextHead)
        if read is head:
            self.cell = (revision + 1, plan.head)
            self.past.append(plan.head)
            self.accepted[change.change] = plan.head.sequence
        if again:
            second = self.nodes[node].plan(change, self.cell[1], self.bodies, 0.0)
            if change.change in self.accepted:
                assert second == AlreadyAccepted(self.accepted[change.change])
            elif seen[f"workspace/{name}"] != self.cell[1].documents.get(f"workspace/{name}"):
                assert isinstance(second, Conflict)

    @rule(node=st.integers(0, 1), back=st.integers(0, 3))
    def tell(self, node: int, back: int) -> None:
        """Tell a node any head that ever was."""
        head = self.past[max(0, len(self.past) - 1 - back)]
        self.nodes[node].apply(head, self.bodies)

    @rule(node=st.integers(0, 1))
    def restart(self, node: int) -> None:
        """A VM that restarts takes what its hall has in force."""
        fresh = Configuration()
        other = self.nodes[1 - node]
        fresh.apply(other.head, other.bodies)
        self.nodes[node] = fresh
        self.seen[node] = []

    @invariant()
    def no_sequence_goes_back_and_each_is_one_configuration(self) -> None:
        for node, seen in zip(self.nodes, self.seen, strict=True):
            seen.append(node.head.sequence)
            assert seen == sorted(seen)
            assert node.head == self.past[node.head.sequence]
            assert set(node.documents) == set(node.head.documents)

    @invariant()
    def an_accepted_change_stays_in_the_head(self) -> None:
        notes = {note.change: note.sequence for note in self.cell[1].changes}
        for change, sequence in self.accepted.items():
            if self.cell[1].sequence - sequence < 100:
                assert notes[change] == sequence


TestConfiguration = ConfigurationMachine.TestCase
