"""Tests of the limits of teams, models and services."""

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
    """Admission of one daemon up to its share."""

    def test_rejects_past_the_limit_of_requests_in_flight(self) -> None:
        limiter = _make_limiter(in_flight=2, requests_per_s=1000)
        self.assertIsNone(limiter.admit("barbers", now=0.0))
        self.assertIsNone(limiter.admit("barbers", now=0.0))
        refusal = limiter.admit("barbers", now=0.0)
        assert refusal is not None
        self.assertIs(refusal.code, results.Code.TEAM_LIMIT)
        self.assertIs(refusal.ran, results.Ran.NO)

    def test_admits_again_after_a_release(self) -> None:
        limiter = _make_limiter(in_flight=1, requests_per_s=1000)
        self.assertIsNone(limiter.admit("barbers", now=0.0))
        limiter.release("barbers")
        self.assertIsNone(limiter.admit("barbers", now=0.0))

    def test_admits_the_rate_and_returns_the_retry_time(self) -> None:
        limiter = _make_limiter(in_flight=1000, requests_per_s=10)
        admitted = 0
        for step in range(1000):
            now = step / 100.0
            if limiter.admit("barbers", now=now) is None:
                limiter.release("barbers")
                admitted += 1
        # A burst of 20 and then 10 per second for 10 seconds.
        self.assertEqual(admitted, 119)
        refusal = limiter.admit("barbers", now=9.99)
        assert refusal is not None and refusal.retry_after_ms is not None
        retry_at = 9.99 + refusal.retry_after_ms / 1000.0
        self.assertIsNone(limiter.admit("barbers", now=retry_at))

    def test_shares_of_all_daemons_exceed_the_limit_by_the_headroom_only(
        self,
    ) -> None:
        limiter = _make_limiter(in_flight=80, requests_per_s=80, daemons=8)
        share = limiter.get_share("barbers")
        self.assertLessEqual(8 * share.in_flight, 80 * 1.25 + 8)
        self.assertEqual(8 * share.requests_per_s, 100.0)

    def test_share_of_a_small_team_is_at_least_one_request(self) -> None:
        limiter = _make_limiter(in_flight=1, requests_per_s=1, daemons=1600)
        self.assertIsNone(limiter.admit("barbers", now=0.0))

    def test_new_limits_apply_at_once_and_keep_requests_counted(self) -> None:
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
