"""Tests of the example that uses the claims alone."""

import typing
import unittest

from mothpass.core import errors
from mothpass.core import results
from tests import embed_examples


class ClaimsOnceTest(unittest.TestCase):
    """Pays through the example."""

    def setUp(self) -> None:
        self.example: typing.Any = embed_examples.load("claims_once")
        self.rows = self.example.Rows()
        self.paid: list[bytes] = []

    def pay(self, body: bytes) -> bytes:
        self.paid.append(body)
        return b"receipt"

    def lose(self, body: bytes) -> bytes:
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

    def test_lost_answer_is_never_paid_again(self) -> None:
        for token in ("a", "b"):
            refusal = self.example.pay_once(
                self.rows, key="k", body=b"30", token=token, pay=self.lose
            )
            self.assertIs(refusal.ran, results.Ran.UNKNOWN)
        self.assertEqual(len(self.paid), 1)


if __name__ == "__main__":
    unittest.main()
