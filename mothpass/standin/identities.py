"""Builds the headers that identify a stand-in target in its responses."""

import random

import blacksheep

from mothpass.standin import bodies

BOOT_HEADER = "X-Boot-Id"
ATTEMPT_HEADER = "X-Attempt-Id"
_BOOT_ID_BITS = 64


class Identity:
    """Instance id and boot id of one target.

    Attributes:
        target_id: Instance id.
        boot_id: Id of the current boot, new with each start.
        shows_wrong_boot_id: Whether responses carry another boot id.
    """

    __slots__ = ("_random", "boot_id", "shows_wrong_boot_id", "target_id")

    def __init__(self, *, target_id: str, random: random.Random) -> None:
        """Generates the first boot id.

        Args:
            target_id: Instance id.
            random: Source of boot ids; must not be seeded where restarts
                matter.
        """
        self.target_id = target_id
        self._random = random
        self.boot_id = ""
        self.shows_wrong_boot_id = False
        self.renew_boot_id()

    def renew_boot_id(self) -> None:
        """Generates a new boot id, as a restart does."""
        self.boot_id = f"{self._random.getrandbits(_BOOT_ID_BITS):016x}"

    def get_shown_boot_id(self) -> str:
        """Returns the boot id for responses, a wrong one if that is set."""
        return (
            f"wrong-{self.boot_id}"
            if self.shows_wrong_boot_id
            else self.boot_id
        )

    def build_headers(self, attempt_id: str | None) -> dict[str, str]:
        """Returns the headers of a response."""
        headers = {BOOT_HEADER: self.get_shown_boot_id()}
        if attempt_id:
            headers[ATTEMPT_HEADER] = attempt_id
        return headers

    def build_rejection(
        self, status: int, message: str, attempt_id: str | None = None
    ) -> blacksheep.Response:
        """Builds a rejection that states why the request was not run."""
        return bodies.build_json_response(
            status,
            bodies.Rejection(message=message),
            self.build_headers(attempt_id),
        )
