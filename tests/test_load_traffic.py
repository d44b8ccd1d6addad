"""Tests for the validation of profiles and the generation of schedules."""

import json
import pathlib
import tempfile
import typing
import unittest

from mothpass.core import errors
from mothpass.load import profiles
from mothpass.load import recordings
from mothpass.load import runner
from mothpass.load import traffic
from mothpass.standin import answers

_GUILD = pathlib.Path(__file__).resolve().parent.parent / "examples" / "guild"


def build_profile(**changes: typing.Any) -> profiles.Profile:
    """Returns a valid profile of two teams and a service."""
    chats = {"class": "quick", "model": "advice", "turns": 3, "chats": 4}
    document = {
        "seed": 7,
        "duration_ms": 20_000,
        "keys_file": "keys.json",
        "daemons": ["127.0.0.1:1", "127.0.0.2:1"],
        "chats": [
            {"team": "nanaimo-quay", "requests_per_s": 20.0, **chats},
            {"team": "kelowna-lake", "requests_per_s": 20.0, **chats},
        ],
        "calls": [
            {
                "team": "kelowna-lake",
                "class": "payment",
                "service": "chair-payment",
                "requests_per_s": 10.0,
                "resent_share": 0.3,
            }
        ],
        **changes,
    }
    return profiles.decode_profile(json.dumps(document).encode())


class ProfileTest(unittest.TestCase):
    """Checks that invalid profiles are rejected with the paths at fault."""

    def read_paths(self, **changes: typing.Any) -> list[str]:
        with self.assertRaises(errors.DocumentError) as caught:
            build_profile(**changes)
        return [item.path for item in caught.exception.problems]

    def test_reports_each_problem(self) -> None:
        paths = self.read_paths(seed=-1, speed=2, duration_ms="long")
        self.assertEqual(paths, ["$.speed", "$.seed", "$.duration_ms"])

    def test_only_loopback_addresses_are_accepted(self) -> None:
        daemons = ["127.0.0.1:80", "10.0.0.1:80", "0.0.0.0:80"]
        paths = self.read_paths(daemons=daemons)
        self.assertEqual(paths, ["$.daemons[1]", "$.daemons[2]"])

    def test_only_loopback_addresses_get_faults(self) -> None:
        action = {"at_ms": 1, "action": "faults", "name": "10.0.0.1:80"}
        self.assertEqual(self.read_paths(actions=[action]), ["$.actions[0]"])

    def test_instance_actions_need_operator_addresses(self) -> None:
        action = {"at_ms": 1, "action": "zone out", "name": "bc-west-a"}
        paths = self.read_paths(actions=[action])
        self.assertEqual(paths, ["$.watch.operators"])

    def test_profile_without_requests_is_rejected(self) -> None:
        self.assertEqual(self.read_paths(chats=[], calls=[]), ["$"])

    def test_team_without_a_key_is_reported(self) -> None:
        profile = build_profile()
        with tempfile.TemporaryDirectory() as folder:
            keys = json.loads((_GUILD / "keys.json").read_bytes())
            del keys["team_keys"]["nanaimo-quay"]
            path = pathlib.Path(folder) / "keys.json"
            path.write_text(json.dumps(keys))
            with self.assertRaises(errors.DocumentError) as caught:
                profiles.read_keys(path.with_name("profile.json"), profile)
        self.assertIn("no key of nanaimo-quay", str(caught.exception))

    def test_example_profiles_are_valid(self) -> None:
        found = list(_GUILD.parent.glob("*/profiles/*.json"))
        self.assertGreaterEqual(len(found), 4)
        for path in found:
            with self.subTest(profile=path.name):
                plan = runner.read_plan(path)
                self.assertGreater(len(plan.profile.daemons), 1)

    def test_seed_argument_overrides_the_profile(self) -> None:
        path = _GUILD / "profiles" / "steady.json"
        self.assertEqual(runner.read_plan(path).profile.seed, 1)
        self.assertEqual(runner.read_plan(path, seed=9).profile.seed, 9)


class ScheduleTest(unittest.TestCase):
    """Checks the schedule that is generated from a profile."""

    def plan(self, **changes: typing.Any) -> list[traffic.PlannedRequest]:
        return list(traffic.plan_requests(build_profile(**changes), None))

    def test_same_seed_gives_the_same_requests(self) -> None:
        self.assertEqual(self.plan(), self.plan())
        self.assertNotEqual(self.plan(), self.plan(seed=8))

    def test_requests_are_ordered_and_within_the_duration(self) -> None:
        times = [item.at_ms for item in self.plan()]
        self.assertEqual(times, sorted(times))
        self.assertLess(times[-1], 20_000)

    def test_rates_are_kept(self) -> None:
        planned = self.plan()
        chats = [item for item in planned if item.team == "nanaimo-quay"]
        # 400 are expected; the margin is five standard deviations of 20.
        self.assertTrue(300 < len(chats) < 500, len(chats))

    def test_number_of_requests_is_bounded(self) -> None:
        self.assertEqual(len(self.plan(request_limit=11)), 11)

    def test_surge_multiplies_one_team_for_its_time(self) -> None:
        surge = {
            "team": "kelowna-lake",
            "from_ms": 5000,
            "until_ms": 10_000,
            "multiple": 10.0,
        }
        planned = self.plan(surges=[surge], calls=[])

        def count(team: str, start: int) -> int:
            return sum(
                item.team == team and start <= item.at_ms < start + 5000
                for item in planned
            )

        surging = count("kelowna-lake", 5000)
        self.assertTrue(800 < surging < 1200, surging)
        self.assertLess(count("kelowna-lake", 10_000), 200)
        self.assertLess(count("nanaimo-quay", 5000), 200)

    def test_later_turn_repeats_the_earlier_messages(self) -> None:
        turns: dict[str, list[traffic.PlannedRequest]] = {}
        for item in self.plan(calls=[]):
            turns.setdefault(item.chat_id, []).append(item)
        longest = max(turns.values(), key=len)
        self.assertEqual(len(longest), 3)
        for earlier, later in zip(longest, longest[1:], strict=False):
            answer = answers.compose_answer(earlier.messages, 32)
            answer_message = answers.Message(
                role="assistant", content="".join(answer)
            )
            previous = [*earlier.messages, answer_message]
            self.assertEqual(later.messages[: len(previous)], previous)
            self.assertTrue(later.returning)
        self.assertFalse(longest[0].returning)

    def test_chat_pauses_between_two_requests(self) -> None:
        last: dict[str, float] = {}
        for item in self.plan(calls=[]):
            previous = last.get(item.chat_id, -3000.0)
            self.assertGreaterEqual(item.at_ms - previous, 3000.0)
            last[item.chat_id] = item.at_ms
        # Four chats alone can't sustain 20 requests per second.
        self.assertGreater(len(last), 100)

    def test_requests_are_resent_with_the_same_key_and_body(self) -> None:
        service_requests = [item for item in self.plan() if not item.messages]
        bodies: dict[str, set[bytes]] = {}
        for item in service_requests:
            bodies.setdefault(item.idempotency_key, set()).add(item.body)
        self.assertTrue(all(len(found) == 1 for found in bodies.values()))
        resent = sum(item.returning for item in service_requests)
        self.assertEqual(len(service_requests) - len(bodies), resent)
        self.assertGreater(resent, len(service_requests) // 6)

    def test_recorded_chats_get_a_new_chat_id_each_round(self) -> None:
        recording = recordings.read_recording(_GUILD / "chats.json")
        recorded = {
            "file": "../chats.json",
            "class": "lease",
            "requests_per_s": 10.0,
        }
        profile = build_profile(chats=[], calls=[], recorded=recorded)
        planned = list(traffic.plan_requests(profile, recording))
        seen = [(item.chat_id, item.turn) for item in planned]
        self.assertEqual(len(seen), len(set(seen)))
        first = {item.messages[0].content for item in planned}
        self.assertEqual(first, {x.turns[0] for x in recording.chats})


if __name__ == "__main__":
    unittest.main()
