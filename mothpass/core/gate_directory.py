"""Finds the gates of each target and limits requests for permits."""

from collections import abc
import random as random_module

from mothpass.core import gate_table
from mothpass.core import targets

# Limits on the permit requests for one target, before jitter: the rate at one
# gate from all daemons together, and the interval between those of one daemon.
MAX_PERMIT_REQUESTS_PER_S = 20.0
MIN_PERMIT_REQUEST_INTERVAL_S = 0.25


class GateDirectory:
    """The gates by partition, derived from the membership list."""

    __slots__ = ("_daemons", "_gates", "_random")

    def __init__(self, *, random: random_module.Random) -> None:
        """Starts without daemons.

        Args:
            random: Source of randomness.
        """
        self._daemons: list[str] = []
        self._gates: dict[int, tuple[str, ...]] = {}
        self._random = random

    def set_daemons(self, daemons: abc.Collection[str]) -> None:
        """Sets the live daemons of the region; ranks them if they changed."""
        listed = list(daemons)
        if listed == self._daemons:
            return
        self._daemons = listed
        self._gates = {
            number: tuple(
                gate_table.rank_daemons(number, daemons)[
                    : gate_table.MAX_GATE_CANDIDATES
                ]
            )
            for number in range(gate_table.PARTITIONS)
        }

    def find_gates(self, target_id: str) -> tuple[str, ...]:
        """Returns the daemons that may grant a target's permits, in order."""
        return self._gates.get(gate_table.find_partition(target_id), ())

    def try_request_permit(self, target: targets.Target, now: float) -> bool:
        """Returns whether a permit may be requested now; if so, records it.

        The interval grows with the number of daemons, so that the load of a
        gate doesn't. It has jitter, so that daemons don't synchronize.
        """
        if now < target.next_permit_request_at or not target.boot_id:
            return False
        fair_interval_s = max(1, len(self._daemons)) / MAX_PERMIT_REQUESTS_PER_S
        jitter = self._random.uniform(0.75, 1.25)
        target.next_permit_request_at = (
            now + max(MIN_PERMIT_REQUEST_INTERVAL_S, fair_interval_s) * jitter
        )
        return True
