"""Which gates a daemon asks for a permit, and how often."""

from collections import abc
import random as random_module

from mothpass.core import gate_table
from mothpass.core import targets

ASKS_PER_S_AT_GATE = 20.0
ASK_INTERVAL_S = 0.25


class GateDirectory:
    """The gates by partition, as the membership list gives them."""

    __slots__ = ("_daemons", "_gates", "_random")

    def __init__(self, *, random: random_module.Random) -> None:
        """Knows no daemon.

        Args:
            random: Source of randomness.
        """
        self._daemons: list[str] = []
        self._gates: dict[int, tuple[str, ...]] = {}
        self._random = random

    def set_daemons(self, daemons: abc.Collection[str]) -> None:
        """Takes the live daemons of the region; ranks them if they changed."""
        listed = list(daemons)
        if listed == self._daemons:
            return
        self._daemons = listed
        self._gates = {
            number: tuple(
                gate_table.rank_daemons(number, daemons)[
                    : gate_table.GATES_ASKED
                ]
            )
            for number in range(gate_table.PARTITIONS)
        }

    def find_gates(self, target_id: str) -> tuple[str, ...]:
        """Returns the daemons to ask for a target, in order."""
        return self._gates.get(gate_table.find_partition(target_id), ())

    def try_ask(self, target: targets.Target, now: float) -> bool:
        """Takes the leave to ask for a target, False where it is too soon.

        The time between asks grows with the count of daemons, so that what
        one gate is asked does not, and differs so that daemons keep no step.
        """
        if now < target.ask_after or not target.boot_id:
            return False
        fair = max(1, len(self._daemons)) / ASKS_PER_S_AT_GATE
        spread = self._random.uniform(0.75, 1.25)
        target.ask_after = now + max(ASK_INTERVAL_S, fair) * spread
        return True
