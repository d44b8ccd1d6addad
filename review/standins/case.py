"""Runs one case: its record, its time limit and its exit status."""

import asyncio
from collections import abc
import os
import pathlib
import shutil
import sys
import traceback

from review.standins import fleet as fleet_module
from review.standins import store as store_module

TIME_LIMIT_S = 110.0
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_FAILED = 2


class Case:
    """What a case has to hand.

    Attributes:
        has_trouble: Whether the disruption is to be made.
        store: The platform's store.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Starts the record of a case in its folder."""
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = store_module.Store()
        self._fleets: list[fleet_module.Fleet] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._record = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115
        self.start = asyncio.get_running_loop().time()

    def record(self, text: str, at: float | None = None) -> None:
        """Writes a line with its time to the record."""
        if at is None:
            at = asyncio.get_running_loop().time()
        self._record.write(f"{at - self.start:8.3f} {text}\n")

    def make_fleet(self, count: int, store: str = "") -> fleet_module.Fleet:
        """Creates daemons, which end with the case.

        Args:
            count: Number of daemons.
            store: Address of a proxy before the store, if there is one.
        """
        fleet = fleet_module.Fleet(store or self.store.address, count)
        self._fleets.append(fleet)
        return fleet

    def start_task(self, work: abc.Coroutine[None, None, None]) -> None:
        """Starts work that ends with the case at the latest."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Ends all processes; keeps their logs if KEEP_LOGS is set."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for fleet in self._fleets:
            await fleet.stop()
            if not os.environ.get("KEEP_LOGS"):
                shutil.rmtree(fleet.folder, ignore_errors=True)
        self._record.close()


# Plays a case; returns whether the rule was broken.
Play = abc.Callable[[Case], abc.Awaitable[bool]]


async def _run(folder: pathlib.Path, play: Play) -> int:
    case = Case(folder)
    try:
        await case.store.open("127.0.0.1")
        async with asyncio.timeout(TIME_LIMIT_S):
            is_broken = await play(case)
        case.record("rule broken" if is_broken else "rule held")
        return EXIT_BROKEN if is_broken else EXIT_HELD
    except Exception:  # noqa: BLE001 - any other end means that it couldn't run
        case.record(f"the case couldn't run: {traceback.format_exc()}")
        traceback.print_exc()
        return EXIT_FAILED
    finally:
        await case.close()


def main(path: str, play: Play) -> None:
    """Runs a case and exits with its status."""
    sys.exit(asyncio.run(_run(pathlib.Path(path).resolve().parent, play)))
