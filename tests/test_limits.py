"""Tests for mothpass.core.limits."""

import unittest

from mothpass.core import catalogue
from mothpass.core import limits
from mothpass.core import results


def _make_limiter(
    *, in_flight: int, requests_per_s: int, daemons: int = 1
) -> limits.Limiter:
    limiter = limits.Limiter(code=results.Code.TEAM_LIMIT)
    limiter.set_limits(
        {
            "barbers": catalogue.Limits(
                in_flight=in_flight, requests_per_s=requests_per_s, queued=0
            )
        }
    )
    limiter.set_daemons(daemons)
    return limiter


class LimiterTest(unittest.TestCase):
    """Checks what one daemon admits of its share."""

    def test_refuses_past_the_requests_in_flight(self) -> None:
        limiter = _make_limiter(in_flight=2, requests_per_s=1000)
        self.assertIsNone(limiter.admit("barbers", now=0.0))
        self.assertIsNone(limiter.admit("barbers", now=0.0))
        refusal = limiter.admit("barbers", now=0.0)
        assert refusal is not None
        self.assertIs(refusal.code, results.Code.TEAM_LIMIT)
        self.assertIs(refusal.ran, results.Ran.NO)

    def test_admits_again_after_one_finished(self) -> None:
        limiter = _make_limiter(in_flight=1, requests_per_s=1000)
        self.assertIsNone(limiter.admit("barbers", now=0.0))
        limiter.release("barbers")
        self.assertIsNone(limiter.admit("barbers", now=0.0))

    def test_admits_the_rate_and_says_when_to_come_back(self) -> None:
        limiter = _make_limiter(in_flight=1000, requests_per_s=10)
        admitted = 0
        for step in range(1000):
            now = step / 100.0
            if limiter.admit("barbers", now=now) is None:
                limiter.release("barbers")
                admitted += 1
        # A burst of 20 and 10 a second for 10 seconds.
        self.assertEqual(admitted, 119)
        refusal = limiter.admit("barbers", now=9.99)
        assert refusal is not None and refusal.retry_after_ms is not None
        later = 9.99 + refusal.retry_after_ms / 1000.0
        self.assertIsNone(limiter.admit("barbers", now=later))

    def test_shares_among_daemons_add_up_to_little_more_than_the_limit(
        self,
    ) -> None:
        limiter = _make_limiter(in_flight=80, requests_per_s=80, daemons=8)
        share = limiter.get_share("barbers")
        self.assertLessEqual(8 * share.in_flight, 80 * 1.25 + 8)
        self.assertEqual(8 * share.requests_per_s, 100.0)

    def test_a_small_team_may_still_send_one_through_each_daemon(self) -> None:
        limiter = _make_limiter(in_flight=1, requests_per_s=1, daemons=1600)
        self.assertIsNone(limiter.admit("barbers", now=0.0))

    def test_new_limits_hold_at_once_and_keep_the_count(self) -> None:
        limiter = _make_limiter(in_flight=5, requests_per_s=1000)
        for _ in range(3):
            limiter.admit("barbers", now=0.0)
        limiter.set_limits(
            {
                "barbers": catalogue.Limits(
                    in_flight=3, requests_per_s=1000, queued=0
                )
            }
        )
        self.assertIsNotNone(limiter.admit("barbers", now=0.0))


if __name__ == "__main__":
    unittest.main()
