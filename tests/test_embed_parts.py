"""Tests of the examples choose_target and guard_cold_target."""

import typing
import unittest

from tests import embed_examples


class ChooseTargetTest(unittest.TestCase):
    """Checks how the example routes chats."""

    def setUp(self) -> None:
        self.example: typing.Any = embed_examples.load("choose_target")
        self.router = self.example.build_router()

    def test_chat_returns_to_its_engine(self) -> None:
        for number in range(20):
            chat = f"chat-{number}"
            first = self.example.choose_for_chat(self.router, chat, 1.0)
            again = self.example.choose_for_chat(self.router, chat, 2.0)
            self.assertEqual(first, again)

    def test_chats_spread_over_all_engines(self) -> None:
        found = {
            self.example.choose_for_chat(self.router, f"chat-{number}", 1.0)
            for number in range(50)
        }
        self.assertEqual(len(found), 3)


class GuardColdTargetTest(unittest.TestCase):
    """Checks which permits the example grants."""

    def setUp(self) -> None:
        self.example: typing.Any = embed_examples.load("guard_cold_target")

    def test_grants_the_limit_less_the_reserve(
        self,
    ) -> None:
        table = self.example.build_gate(now=0.0)
        granted = self.example.count_grants(table, count=100, now=2.0)
        self.assertEqual(granted, self.example.COLD_START.in_flight - 1)

    def test_denies_permits_once_the_lease_has_ended(self) -> None:
        table = self.example.build_gate(now=0.0)
        granted = self.example.count_grants(table, count=100, now=60.0)
        self.assertEqual(granted, 0)


if __name__ == "__main__":
    unittest.main()
