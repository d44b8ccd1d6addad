"""Tests of daemons that are cut off from targets and still reach peers."""

from tests.platform import fleet
from tests.platform import target_standin


class AttemptLogTest(fleet.FleetTest):
    """What the logs say of attempts that end with their deadline."""

    async def find_connect_ms(self) -> object:
        """Returns the field of the only attempt of a short request."""
        headers = self.make_headers(Deadline_Ms="150")
        with self.assertLogs("mothpass.requests", "INFO") as logs:
            await self.send_request("GET", "/read/1", headers)
        (attempt,) = [
            record.__dict__["fields"]
            for record in logs.records
            if record.getMessage() == "attempt"
        ]
        self.assertEqual(attempt["end"], "lost")
        return attempt["connect_ms"]

    async def test_attempt_without_a_connection_says_so(self) -> None:
        """Guards against a cut that looks like a slow target."""
        for target in self.plain:
            target.answer = target_standin.hang
        self.assertIsNotNone(await self.find_connect_ms())
        self.cut_daemon(0, fleet.Cut.SILENT)
        self.assertIsNone(await self.find_connect_ms())
