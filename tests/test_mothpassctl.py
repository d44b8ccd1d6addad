"""Tests for mothpassctl against a fake of the operators' API."""

import contextlib
import io
import json
import os
import pathlib
import re
import tempfile
import typing
import unittest
from unittest import mock

from cleo.io.inputs import string_input

from mothpass.control import exits
from mothpass.core import results
from mothpass.programs import mothpassctl
from tests import fakes_operators

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_GUILD = _ROOT / "examples" / "guild" / "catalogue.json"
_TOKEN = "token-of-the-tests-0001"
_AUTHOR = "kim"


class CommandCase(unittest.TestCase):
    """Base of tests that run commands and capture their output."""

    def setUp(self) -> None:
        self.daemon = self.start_daemon()
        self.catalogue = json.loads(_GUILD.read_bytes())

    def start_daemon(self) -> fakes_operators.FakeDaemon:
        daemon = fakes_operators.FakeDaemon()
        self.addCleanup(daemon.stop)
        return daemon

    def run_command(self, line: str, *addresses: str) -> int:
        config = {
            "addresses": list(addresses) or [self.daemon.address],
            "token": _TOKEN,
            "author": _AUTHOR,
            "timeout_ms": 1200,
        }
        out, err = io.StringIO(), io.StringIO()
        with (
            tempfile.NamedTemporaryFile("w", suffix=".json") as file,
            mock.patch.dict(os.environ, {"MOTHPASS_CONFIG": file.name}),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            json.dump(config, file)
            file.flush()
            app = mothpassctl.build_application()
            status = app.run(string_input.StringInput(line))
        self.out, self.err = out.getvalue(), err.getvalue()
        return status

    def find_closed_address(self) -> str:
        daemon = fakes_operators.FakeDaemon()
        daemon.stop()
        return daemon.address


class ApplyTest(CommandCase):
    """Checks the outcomes of proposed changes."""

    def _answer_put(self, status: int, body: object = None) -> None:
        self.daemon.answer("PUT", "/v1/catalogue", status, body)

    def test_sends_catalogue_on_top_of_the_version_in_force(self) -> None:
        self.catalogue["instances_out"] = ["guild-engine-1"]
        shown = {"version": 6, "digest": "d", "catalogue": self.catalogue}
        self.daemon.answer("GET", "/v1/catalogue", 200, shown)
        self._answer_put(200, {"version": 7})
        self.assertEqual(self.run_command(f"apply {_GUILD}"), exits.Exit.DONE)
        _, _, body = self.daemon.requests[-1]
        self.assertEqual(body["base_version"], 6)
        self.assertEqual(body["author"], _AUTHOR)
        self.assertEqual(len(body["catalogue"]["teams"]), 10)
        self.assertEqual(self.daemon.tokens[-1], f"Bearer {_TOKEN}")
        self.assertIn("accepted as version 7", self.out)

    def test_same_catalogue_is_not_sent(self) -> None:
        shown = {"version": 6, "digest": "d", "catalogue": self.catalogue}
        self.daemon.answer("GET", "/v1/catalogue", 200, shown)
        self.assertEqual(self.run_command(f"apply {_GUILD}"), exits.Exit.DONE)
        self.assertIn("nothing to change: version 6", self.out)
        self.assertEqual([x[0] for x in self.daemon.requests], ["GET"])

    def test_same_catalogue_on_a_given_base_is_no_new_version(self) -> None:
        self._answer_put(200, {"version": 6})
        status = self.run_command(f"apply {_GUILD} --base 6")
        self.assertEqual(status, exits.Exit.DONE)
        self.assertIn("nothing to change: version 6", self.out)

    def test_first_catalogue_has_base_zero(self) -> None:
        code = int(results.Code.NO_CATALOGUE)
        refusal = fakes_operators.build_error(code, "no")
        self.daemon.answer("GET", "/v1/catalogue", 503, refusal)
        self._answer_put(200, {"version": 1})
        self.assertEqual(self.run_command(f"apply {_GUILD}"), exits.Exit.DONE)
        self.assertEqual(self.daemon.requests[-1][2]["base_version"], 0)

    def test_conflict_shows_version_in_force(self) -> None:
        self._answer_put(
            409, fakes_operators.build_error(401, "no", present_version=9)
        )
        status = self.run_command(f"apply {_GUILD} --base 6")
        self.assertEqual(status, exits.Exit.CONFLICT)
        self.assertIn("present version is 9", self.err)

    def test_problems_found_by_daemon_are_shown_with_path(self) -> None:
        problems = [{"path": "$.teams[0].uses[1]", "message": "unknown"}]
        self._answer_put(
            422, fakes_operators.build_error(402, "no", problems=problems)
        )
        status = self.run_command(f"apply {_GUILD} --base 6")
        self.assertEqual(status, exits.Exit.BAD_INPUT)
        self.assertIn("$.teams[0].uses[1]: unknown", self.err)

    def test_bad_file_is_not_sent(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"teams": 3}')
            file.flush()
            status = self.run_command(f"apply {file.name} --base 1")
        self.assertEqual(status, exits.Exit.BAD_INPUT)
        self.assertIn("$.models: missing field", self.err)
        self.assertEqual(self.daemon.requests, [])

    def test_lost_response_is_read_back_as_accepted(self) -> None:
        self._answer_put(fakes_operators.DISCONNECT)
        shown = {"version": 7, "digest": "d", "catalogue": self.catalogue}
        self.daemon.answer("GET", "/v1/catalogue/7", 200, shown)
        status = self.run_command(f"apply {_GUILD} --base 6")
        self.assertEqual(status, exits.Exit.DONE)
        self.assertIn("accepted as version 7, as read back", self.out)

    def test_lost_response_is_read_back_as_conflict(self) -> None:
        self._answer_put(fakes_operators.DISCONNECT)
        self.catalogue["instances_out"] = ["x"]
        shown = {"version": 7, "digest": "d", "catalogue": self.catalogue}
        self.daemon.answer("GET", "/v1/catalogue/7", 200, shown)
        status = self.run_command(f"apply {_GUILD} --base 6")
        self.assertEqual(status, exits.Exit.CONFLICT)

    def test_lost_response_without_read_back_is_unconfirmed(self) -> None:
        other = self.start_daemon()
        self._answer_put(fakes_operators.DISCONNECT)
        other.answer("PUT", "/v1/catalogue", 200, {"version": 7})
        status = self.run_command(
            f"apply {_GUILD} --base 6", self.daemon.address, other.address
        )
        self.assertEqual(status, exits.Exit.UNCONFIRMED)
        self.assertNotIn("PUT", [method for method, _, _ in other.requests])

    def test_unconfirmed_response_is_read_back(self) -> None:
        code = int(results.Code.CHANGE_UNCONFIRMED)
        self._answer_put(504, fakes_operators.build_error(code, "unknown"))
        shown = {"version": 7, "digest": "d", "catalogue": self.catalogue}
        self.daemon.answer("GET", "/v1/catalogue/7", 200, shown)
        status = self.run_command(f"apply {_GUILD} --base 6")
        self.assertEqual(status, exits.Exit.DONE)

    def test_malformed_success_is_read_back(self) -> None:
        self._answer_put(200, {"accepted": True})
        shown = {"version": 7, "digest": "d", "catalogue": self.catalogue}
        self.daemon.answer("GET", "/v1/catalogue/7", 200, shown)
        status = self.run_command(f"apply {_GUILD} --base 6")
        self.assertEqual(status, exits.Exit.DONE)
        self.assertIn("accepted as version 7, as read back", self.out)

    def test_wait_ends_when_version_is_in_force(self) -> None:
        self._answer_put(200, {"version": 7})
        self.daemon.answer("GET", "/v1/catalogue", 200, {"version": 6})
        self.daemon.answer("GET", "/v1/catalogue", 200, {"version": 7})
        status = self.run_command(f"apply {_GUILD} --base 6 --wait 5")
        self.assertEqual(status, exits.Exit.DONE)
        reads = [x for x in self.daemon.requests if x[0] == "GET"]
        self.assertEqual(len(reads), 2)

    def test_wait_timeout_is_unconfirmed(self) -> None:
        self._answer_put(200, {"version": 7})
        self.daemon.answer("GET", "/v1/catalogue", 200, {"version": 6})
        status = self.run_command(f"apply {_GUILD} --base 6 --wait 0")
        self.assertEqual(status, exits.Exit.UNCONFIRMED)
        self.assertIn(self.daemon.address, self.err)


class ServiceChangeTest(CommandCase):
    """Checks changes of service and the failover between daemons."""

    _PATH = "/v1/availability-zones/bc-west-b/out"

    def test_fails_over_when_first_daemon_is_unreachable(self) -> None:
        self.daemon.answer("POST", self._PATH, 200, {"version": 8})
        status = self.run_command(
            "zone out bc-west-b",
            self.find_closed_address(),
            self.daemon.address,
        )
        self.assertEqual(status, exits.Exit.DONE)
        expected = ("POST", self._PATH, {"author": _AUTHOR})
        self.assertEqual(self.daemon.requests, [expected])

    def test_fails_over_after_lost_response(self) -> None:
        first = self.start_daemon()
        first.answer("POST", self._PATH, fakes_operators.DISCONNECT)
        self.daemon.answer("POST", self._PATH, 200, {"version": 8})
        status = self.run_command(
            "zone out bc-west-b", first.address, self.daemon.address
        )
        self.assertEqual(status, exits.Exit.DONE)

    def test_lost_response_of_only_daemon_is_unconfirmed(self) -> None:
        self.daemon.answer("POST", self._PATH, fakes_operators.DISCONNECT)
        status = self.run_command("zone out bc-west-b")
        self.assertEqual(status, exits.Exit.UNCONFIRMED)

    def test_malformed_success_is_unconfirmed(self) -> None:
        self.daemon.answer("POST", self._PATH, 200, {"accepted": True})
        status = self.run_command("zone out bc-west-b")
        self.assertEqual(status, exits.Exit.UNCONFIRMED)

    def test_rejection_without_effect_is_reported(self) -> None:
        code = int(results.Code.STORE_UNAVAILABLE)
        refusal = fakes_operators.build_error(code, "no")
        self.daemon.answer("POST", self._PATH, 503, refusal)
        status = self.run_command("zone out bc-west-b")
        self.assertEqual(status, exits.Exit.REFUSED)
        self.assertIn("rejected by the test", self.err)

    def test_wrong_token_is_rejected(self) -> None:
        path = "/v1/instances/guild-engine-1/in"
        refusal = fakes_operators.build_error(102, "no")
        self.daemon.answer("POST", path, 401, refusal)
        status = self.run_command("instance in guild-engine-1")
        self.assertEqual(status, exits.Exit.REFUSED)

    def test_no_daemon_reachable(self) -> None:
        status = self.run_command("zone out x", self.find_closed_address())
        self.assertEqual(status, exits.Exit.NO_DAEMON)


class ShowTest(CommandCase):
    """Checks the commands that show versions."""

    def _show(self, version: int, catalogue: object) -> None:
        path = f"/v1/catalogue/{version}"
        body = {"version": version, "digest": "d", "catalogue": catalogue}
        self.daemon.answer("GET", path, 200, body)

    def test_show_prints_a_file_that_can_be_applied(self) -> None:
        self._show(4, self.catalogue)
        self.assertEqual(self.run_command("show 4"), exits.Exit.DONE)
        self.assertEqual(json.loads(self.out)["teams"][3]["weight"], 1)
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(self.out)
            file.flush()
            status = self.run_command(f"check {file.name}")
        self.assertEqual(status, exits.Exit.DONE)

    def test_show_of_unknown_version_is_rejected(self) -> None:
        self.assertEqual(self.run_command("show 77"), exits.Exit.REFUSED)

    def test_diff_of_two_versions_names_each_field(self) -> None:
        self._show(4, self.catalogue)
        changed = json.loads(json.dumps(self.catalogue))
        changed["teams"][3]["limits"]["in_flight"] = 9
        changed["teams"].reverse()
        changed["instances_out"] = ["guild-engine-2"]
        del changed["teams"][0]
        self._show(5, changed)
        self.assertEqual(self.run_command("diff 4 5"), exits.Exit.DONE)
        lines = self.out.splitlines()
        self.assertEqual(len(lines), 3)
        self.assertIn("~ teams.nanaimo-quay.limits.in_flight: 32 -> 9", lines)
        self.assertIn("+ instances_out.guild-engine-2: true", lines)
        self.assertTrue(lines[1].startswith("- teams.williams-lake"), lines)

    def test_diff_of_a_file_with_itself(self) -> None:
        self.run_command(f"diff {_GUILD} {_GUILD}")
        self.assertEqual(self.out, "no difference\n")

    def test_history_as_json(self) -> None:
        change = {"version": 3, "author": "a", "at": 1500, "summary": "s"}
        body = {"changes": [change]}
        self.daemon.answer("GET", "/v1/history?limit=2", 200, body)
        status = self.run_command("history --limit 2 --json")
        self.assertEqual(status, exits.Exit.DONE)
        self.assertEqual(json.loads(self.out), [change])
        self.run_command("history --limit 2")
        self.assertIn("3  1970-01-01 00:00:01Z  a  s", self.out)

    def test_malformed_number_is_bad_input(self) -> None:
        status = self.run_command("history --limit few")
        self.assertEqual(status, exits.Exit.BAD_INPUT)


class StatusTest(CommandCase):
    """Checks the status of the fleet, complete and partial."""

    def _page(self, name: str, **more: typing.Any) -> dict[str, typing.Any]:
        target = {
            "id": "guild-engine-0",
            "availability_zone": "bc-west-a",
            "phase": "cold",
            "state": "live",
            "load": 3,
            "bound": 4,
            "cold_allowance": 4,
            "gate": "guild-daemon-2",
            "gate_fencing": 12,
            "out": True,
        }
        quick = {"count": 3, "p50_ms": 10.0, "p95_ms": 20.0, "p99_ms": 30.0}
        slow = {"count": 1, "p50_ms": 50.0, "p95_ms": 60.0, "p99_ms": 70.0}
        first = slow if name == "d2" else quick
        team = {"name": "quay", "requests": 5, "first_token": first}
        zone = {"name": "bc-west-a", "out": True, "targets": 2}
        return {
            "id": name,
            "state": "ready",
            "catalogue": {"version": 5, "digest": "abc"},
            "availability_zones": [zone],
            "targets": [target],
            "teams": [team],
            **more,
        }

    def test_shows_targets_teams_and_versions(self) -> None:
        other = self.start_daemon()
        self.daemon.answer("GET", "/v1/status", 200, self._page("d1"))
        newer = self._page("d2", catalogue={"version": 6})
        other.answer("GET", "/v1/status", 200, newer)
        status = self.run_command("status", self.daemon.address, other.address)
        self.assertEqual(status, exits.Exit.DONE)
        self.assertNotIn("PARTIAL", self.out)
        self.assertIn("catalogue versions differ: [5, 6]", self.out)
        self.assertRegex(self.out, r"bc-west-a +OUT +2")
        pattern = r"guild-engine-0 .* cold OUT +3/4 +4 +guild-daemon-2 +12"
        self.assertRegex(self.out, pattern)
        self.assertRegex(self.out, r"quay +10 .* 20\.0 +30\.0 +70\.0")

    def test_shows_store_state(self) -> None:
        for store_up, word in ((True, "up"), (False, "DOWN"), (None, "-")):
            with self.subTest(store_up=store_up):
                daemon = self.start_daemon()
                page = self._page("d1", control={"store_up": store_up})
                daemon.answer("GET", "/v1/status", 200, page)
                self.run_command("status", daemon.address)
                self.assertRegex(self.out, rf"d1 .* 0\.0 +{word} +0/0")

    def test_shows_processor_share_in_percent(self) -> None:
        for share, shown in ((0.0123, "1.23"), (0.0, "0.00"), (None, "-")):
            with self.subTest(share=share):
                daemon = self.start_daemon()
                control = {"bytes_per_s": 900.0, "processor_share": share}
                page = self._page("d1", control=control)
                daemon.answer("GET", "/v1/status", 200, page)
                self.run_command("status", daemon.address)
                self.assertIn("CORE %", self.out)
                self.assertRegex(self.out, rf"d1 .* 900 +{shown} +0\.0")

    def test_watch_refreshes_until_interrupted(self) -> None:
        self.daemon.answer("GET", "/v1/status", 200, self._page("d1"))
        newer = self._page("d1", catalogue={"version": 6, "digest": "def"})
        self.daemon.answer("GET", "/v1/status", 200, newer)
        pauses = [None, KeyboardInterrupt]
        with mock.patch("time.sleep", side_effect=pauses) as sleep:
            status = self.run_command("status --watch")
        self.assertEqual(status, exits.Exit.DONE)
        self.assertRegex(self.out, r"(?s)d1 .* 5 abc.*d1 .* 6 def")
        self.assertEqual(sleep.call_args.args, (2.0,))

    def test_reports_partial_status(self) -> None:
        gone = self.find_closed_address()
        self.daemon.answer("GET", "/v1/status", 200, self._page("d1"))
        status = self.run_command("status", gone, self.daemon.address)
        self.assertEqual(status, exits.Exit.DONE)
        self.assertIn("PARTIAL: 1 of 2 daemons answered", self.out)
        self.assertIn(f"no answer: {gone}", self.out)

    def test_json_lists_missing_daemons(self) -> None:
        gone = self.find_closed_address()
        self.daemon.answer("GET", "/v1/status", 200, self._page("d1"))
        self.run_command("status --json", gone, self.daemon.address)
        shown = json.loads(self.out)
        self.assertFalse(shown["complete"])
        self.assertEqual(list(shown["missing"]), [gone])
        self.assertEqual(shown["pages"][self.daemon.address]["id"], "d1")

    def test_malformed_page_counts_as_missing(self) -> None:
        self.daemon.answer("GET", "/v1/status", 200, {"targets": 3})
        status = self.run_command("status")
        self.assertEqual(status, exits.Exit.NO_DAEMON)

    def test_no_daemon_reachable(self) -> None:
        status = self.run_command("status", self.find_closed_address())
        self.assertEqual(status, exits.Exit.NO_DAEMON)


class ConfigTest(CommandCase):
    """Checks the sources of addresses and token."""

    def test_command_line_overrides_file(self) -> None:
        other = self.start_daemon()
        other.answer("GET", "/v1/history?limit=20", 200, {"changes": []})
        line = f"history --operators {other.address} --token {'t' * 16}"
        self.assertEqual(self.run_command(line), exits.Exit.DONE)
        self.assertEqual(other.tokens, [f"Bearer {'t' * 16}"])
        self.assertEqual(self.daemon.requests, [])

    def test_short_token_is_bad_input(self) -> None:
        status = self.run_command("history --token short")
        self.assertEqual(status, exits.Exit.BAD_INPUT)
        self.assertIn("$.token", self.err)


class ExitTableTest(unittest.TestCase):
    """Compares the documented table of exit codes with the code."""

    def test_documentation_lists_each_exit_code(self) -> None:
        page = (_ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
        rows = re.findall(r"^\| (\d) \| `(\w+)` \| (.+) \|$", page, re.M)
        expected = [
            (str(int(code)), code.name, meaning)
            for code, meaning in exits.MEANINGS.items()
        ]
        self.assertEqual(rows, expected)
        self.assertEqual(len(exits.MEANINGS), len(exits.Exit))


if __name__ == "__main__":
    unittest.main()
