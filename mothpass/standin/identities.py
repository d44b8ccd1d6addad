"""What a stand-in target says of itself in each answer."""

import random

import blacksheep

from mothpass.standin import bodies

BOOT_HEADER = "X-Boot-Id"
ATTEMPT_HEADER = "X-Attempt-Id"
_BOOT_ID_BITS = 64


class Identity:
    """Id and boot id of one target.

    Attributes:
        target_id: Instance id.
        boot_id: Changes with each start.
        show_wrong: Whether answers show another boot id than this.
    """

    __slots__ = ("_random", "boot_id", "show_wrong", "target_id")

    def __init__(self, *, target_id: str, random: random.Random) -> None:
        """Draws the first boot id.

        Args:
            target_id: Instance id.
            random: Source of boot ids; not seeded where restarts matter.
        """
        self.target_id = target_id
        self._random = random
        self.boot_id = ""
        self.show_wrong = False
        self.renew()

    def renew(self) -> None:
        """Takes a new boot id, as a start does."""
        self.boot_id = f"{self._random.getrandbits(_BOOT_ID_BITS):016x}"

    def show_boot_id(self) -> str:
        """Returns the boot id to show, wrong where that is asked for."""
        return f"wrong-{self.boot_id}" if self.show_wrong else self.boot_id

    def build_headers(self, attempt_id: str | None) -> dict[str, str]:
        """Returns the headers of an answer."""
        headers = {BOOT_HEADER: self.show_boot_id()}
        if attempt_id:
            headers[ATTEMPT_HEADER] = attempt_id
        return headers

    def refuse(
        self, status: int, message: str, attempt_id: str | None = None
    ) -> blacksheep.Response:
        """Returns a refusal: the call was not run."""
        return bodies.answer_json(
            status,
            bodies.Refused(message=message),
            self.build_headers(attempt_id),
        )
