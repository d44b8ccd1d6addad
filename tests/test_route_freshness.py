"""Tests of how far routes of a known age may be relied on."""

import unittest

from mothpass.core import route_freshness

_LIMIT_S = 3.0


def assess(age_s: float, *, is_newer_known: bool) -> route_freshness.Standing:
    """Returns the standing of routes by their age."""
    return route_freshness.assess(
        confirmed_at=100.0 - age_s,
        is_newer_known=is_newer_known,
        limit_s=_LIMIT_S,
        now=100.0,
    )


class AssessTest(unittest.TestCase):
    """route_freshness.Standing of routes, by their age and what peers have."""

    def test_recent_routes_are_current_unless_a_peer_has_newer_ones(
        self,
    ) -> None:
        self.assertIs(
            assess(1.0, is_newer_known=False), route_freshness.Standing.CURRENT
        )
        self.assertIs(
            assess(1.0, is_newer_known=True),
            route_freshness.Standing.UNCONFIRMED,
        )

    def test_age_leaves_time_for_the_datagram_that_carries_it(self) -> None:
        age_s = _LIMIT_S - route_freshness.AGE_TOLERANCE_S
        self.assertIs(
            assess(age_s, is_newer_known=False),
            route_freshness.Standing.CURRENT,
        )
        self.assertIs(
            assess(age_s + 0.01, is_newer_known=False),
            route_freshness.Standing.UNCONFIRMED,
        )

    def test_age_alone_never_makes_routes_outdated(self) -> None:
        """Guards against a fleet that stops serving with the store."""
        self.assertIs(
            assess(1e9, is_newer_known=False),
            route_freshness.Standing.UNCONFIRMED,
        )
        self.assertIs(
            assess(float("inf"), is_newer_known=False),
            route_freshness.Standing.UNCONFIRMED,
        )

    def test_routes_past_their_time_are_outdated(self) -> None:
        self.assertIs(
            assess(_LIMIT_S, is_newer_known=True),
            route_freshness.Standing.OUTDATED,
        )

    def test_confirmations_that_arrive_out_of_order_keep_the_latest(
        self,
    ) -> None:
        freshness = route_freshness.Freshness()
        freshness.confirm(5.0)
        freshness.confirm(3.0)
        self.assertEqual(freshness.confirmed_at, 5.0)
