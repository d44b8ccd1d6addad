"""Tests for mothpass.ports.targets."""

import unittest

from mothpass.ports import targets


class ScopeKeyTest(unittest.TestCase):
    """Tests the idempotency key that is sent to targets."""

    def test_two_teams_with_the_same_key_differ(self) -> None:
        keys = {
            targets.scope_key(team=team, idempotency_key="k1")
            for team in ("victoria", "kelowna")
        }
        self.assertEqual(len(keys), 2)

    def test_a_key_with_a_slash_equals_no_key_of_another_team(self) -> None:
        keys = {
            targets.scope_key(team="a", idempotency_key="b/c"),
            targets.scope_key(team="b", idempotency_key="c"),
            targets.scope_key(team="a", idempotency_key="c"),
        }
        self.assertEqual(len(keys), 3)


if __name__ == "__main__":
    unittest.main()
