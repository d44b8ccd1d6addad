"""Tests of the numbers that clients state in the headers of requests."""

import unittest

from mothpass.core import prompts
from mothpass.platform import clients
from mothpass.ports import relay

_LARGEST = 10**18 - 1
# More digits than a number of 64 bits has, and than ``int`` takes.
_TOO_LONG = (b"1" + b"0" * 18, b"9" * 30, b"9" * 5000)
_IN_RANGE = b"%d" % _LARGEST


def _read(name: bytes, value: bytes) -> relay.Request:
    head = relay.ClientHead(
        method=b"POST",
        url=b"/chat/1",
        headers=((b"host", b"shop.example"), (name, value)),
        arrived_at=1.0,
    )
    return clients.read_request(head, b"")


class StatedNumberTest(unittest.TestCase):
    """Numbers of any length."""

    def test_too_long_position_is_none(self) -> None:
        """Guards against requests that fail within the daemon."""
        for value in _TOO_LONG:
            with self.subTest(digits=len(value)):
                self.assertIsNone(_read(b"last-event-id", value).position)
        request = _read(b"last-event-id", _IN_RANGE)
        self.assertEqual(request.position, _LARGEST)

    def test_too_long_token_count_is_none(self) -> None:
        """Guards against requests that fail within the daemon."""
        for value in _TOO_LONG:
            with self.subTest(digits=len(value)):
                request = _read(b"token-count", value + b",80")
                self.assertEqual(request.prompt_tokens, 0)
        request = _read(b"token-count", _IN_RANGE + b",80")
        self.assertEqual(request.prompt_tokens, _LARGEST)

    def test_part_with_a_length_that_is_no_number_is_left_out(self) -> None:
        """Guards against requests that fail within the daemon."""
        # A superscript passes for a digit, but not for a number.
        for value in (*_TOO_LONG, b"\xb2"):
            with self.subTest(value=value[:40]):
                request = _read(b"prompt-prefix", b"a:%s,b:5" % value)
                self.assertEqual(
                    request.prompt, (prompts.Part(id="b", tokens=5),)
                )
        request = _read(b"prompt-prefix", b"a:" + _IN_RANGE)
        self.assertEqual(
            request.prompt, (prompts.Part(id="a", tokens=_LARGEST),)
        )


if __name__ == "__main__":
    unittest.main()
