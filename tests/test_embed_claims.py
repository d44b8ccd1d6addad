"""Tests of the example claims_once."""

import typing
import unittest

from mothpass.core import errors
from mothpass.core import results
from tests import embed_examples


class ClaimsOnceTest(unittest.TestCase):
    """Checks that the example pays at most once."""

    def setUp(self) -> None:
        self.example: typing.Any = embed_examples.load("claims_once")
        self.rows = self.example.ClaimRows()
        self.paid: list[bytes] = []

    def pay(self, body: bytes) -> bytes:
        self.paid.append(body)
        return b"receipt"

    def pay_and_lose_answer(self, body: bytes) -> bytes:
        self.paid.append(body)
        raise errors.TargetAnswerLostError("cut")

    def test_second_attempt_gets_the_receipt_of_the_first(self) -> None:
        receipts = [
            self.example.pay_once(
                self.rows, key="k", body=b"30", token=token, pay=self.pay
            )
            for token in ("a", "b")
        ]
        self.assertEqual(receipts, [b"receipt", b"receipt"])
        self.assertEqual(len(self.paid), 1)

    def test_lost_answer_is_not_paid_again(self) -> None:
        for token in ("a", "b"):
            refusal = self.example.pay_once(
                self.rows,
                key="k",
                body=b"30",
                token=token,
                pay=self.pay_and_lose_answer,
            )
            self.assertIs(refusal.ran, results.Ran.UNKNOWN)
        self.assertEqual(len(self.paid), 1)


if __name__ == "__main__":
    unittest.main()
