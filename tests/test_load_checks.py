"""Tests for mothpass.load.checks and mothpass.load.server_sent_events."""

import hashlib
import json
import unittest

from mothpass.load import checks
from mothpass.load import samples
from mothpass.load import server_sent_events
from mothpass.standin import answers

_MESSAGES = [answers.Message(role="user", content="Explain clause 3.")]
_OTHER_MESSAGES = [answers.Message(role="user", content="Explain clause 4.")]
_MAX_TOKENS = 6
_DONE = b"data: [DONE]\n\n"
_ERROR = {"code": 302, "name": "X", "ran": "unknown", "message": "cut"}


def _encode_event(position: int, token: str, finish: str | None) -> bytes:
    choice = {"delta": {"content": token}, "finish_reason": finish}
    chunk: dict[str, object] = {"choices": [choice]}
    if finish:
        chunk["usage"] = {"prompt_tokens": 9, "cached_tokens": 4}
    return f"id: {position}\ndata: {json.dumps(chunk)}\n\n".encode()


def _encode_answer(messages: list[answers.Message]) -> list[bytes]:
    """Returns the events of a complete answer with its end marker."""
    tokens = answers.compose_answer(messages, _MAX_TOKENS)
    encoded = [
        _encode_event(position, token, None)
        for position, token in enumerate(tokens)
    ]
    return [*encoded, _encode_event(len(tokens), "", "stop"), _DONE]


class StreamCheckTest(unittest.TestCase):
    """Checks streams that are complete, truncated or mixed with another."""

    def check_stream(self, encoded: list[bytes]) -> checks.Verdict:
        check = checks.StreamCheck(messages=_MESSAGES, max_tokens=_MAX_TOKENS)
        splitter = server_sent_events.EventSplitter()
        for event in splitter.feed(b"".join(encoded)):
            check.add_event(event)
        return check.finish()

    def test_complete_answer_reports_its_usage(self) -> None:
        verdict = self.check_stream(_encode_answer(_MESSAGES))
        self.assertIs(verdict.fate, samples.Fate.WHOLE)
        self.assertEqual(verdict.usage.prompt_tokens, 9)
        self.assertEqual(verdict.usage.cached_tokens, 4)

    def test_truncation_after_any_event_is_lost(self) -> None:
        encoded = _encode_answer(_MESSAGES)
        for count in range(len(encoded)):
            with self.subTest(events=count):
                verdict = self.check_stream(encoded[:count])
                self.assertIs(verdict.fate, samples.Fate.LOST)

    def test_truncation_with_an_end_marker_is_wrong(self) -> None:
        encoded = _encode_answer(_MESSAGES)
        verdict = self.check_stream([*encoded[:3], _DONE])
        self.assertIs(verdict.fate, samples.Fate.WRONG)

    def test_answer_of_another_is_wrong(self) -> None:
        verdict = self.check_stream(_encode_answer(_OTHER_MESSAGES))
        self.assertIs(verdict.fate, samples.Fate.WRONG)

    def test_event_of_another_answer_is_wrong(self) -> None:
        encoded = _encode_answer(_MESSAGES)
        encoded[2] = _encode_answer(_OTHER_MESSAGES)[2]
        self.assertIs(self.check_stream(encoded).fate, samples.Fate.WRONG)

    def test_duplicate_event_is_wrong(self) -> None:
        encoded = _encode_answer(_MESSAGES)
        verdict = self.check_stream([*encoded[:2], encoded[1], *encoded[2:]])
        self.assertIs(verdict.fate, samples.Fate.WRONG)

    def test_event_after_the_end_is_wrong(self) -> None:
        encoded = _encode_answer(_MESSAGES)
        verdict = self.check_stream([*encoded, encoded[0]])
        self.assertIs(verdict.fate, samples.Fate.WRONG)

    def test_error_event_is_broken_off_with_its_code(self) -> None:
        event = b"event: error\ndata: " + json.dumps({"error": _ERROR}).encode()
        encoded = [*_encode_answer(_MESSAGES)[:3], event + b"\n\n"]
        verdict = self.check_stream(encoded)
        self.assertIs(verdict.fate, samples.Fate.BROKEN_OFF)
        self.assertEqual((verdict.code, verdict.ran), (302, "unknown"))

    def test_wrong_text_before_an_error_event_is_wrong(self) -> None:
        event = b"event: error\ndata: " + json.dumps({"error": _ERROR}).encode()
        encoded = [*_encode_answer(_OTHER_MESSAGES)[:3], event + b"\n\n"]
        self.assertIs(self.check_stream(encoded).fate, samples.Fate.WRONG)


class EventSplitterTest(unittest.TestCase):
    """Checks that the parser doesn't depend on how the bytes are split."""

    def test_any_split_of_the_bytes_yields_the_same_events(self) -> None:
        data = b"id: 0\ndata: a\n\nevent: error\r\ndata: b\r\n\r\ndata: c\n\n"
        whole = server_sent_events.EventSplitter().feed(data)
        self.assertEqual([item.data for item in whole], [b"a", b"b", b"c"])
        for cut in range(len(data)):
            with self.subTest(cut=cut):
                splitter = server_sent_events.EventSplitter()
                found = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
                self.assertEqual(found, whole)


class BodyCheckTest(unittest.TestCase):
    """Checks the verdict on answers that aren't streamed."""

    def test_receipt_must_match_the_sent_body(self) -> None:
        digest = hashlib.sha256(b"{}").hexdigest()
        answer = json.dumps({"order": 0, "body_sha256": digest}).encode()
        verdict = checks.check_receipt(answer, b"{}")
        self.assertIs(verdict.fate, samples.Fate.WHOLE)
        verdict = checks.check_receipt(answer, b"[]")
        self.assertIs(verdict.fate, samples.Fate.WRONG)

    def test_truncated_body_is_wrong(self) -> None:
        text = "".join(answers.compose_answer(_MESSAGES, _MAX_TOKENS))
        for length, fate in (
            (len(text), samples.Fate.WHOLE),
            (len(text) - 1, samples.Fate.WRONG),
        ):
            message = {"message": {"content": text[:length]}}
            body = json.dumps({"choices": [message]}).encode()
            verdict = checks.check_completion(body, _MESSAGES, _MAX_TOKENS)
            self.assertIs(verdict.fate, fate)

    def test_rejection_without_an_error_object_keeps_its_body(self) -> None:
        verdict = checks.check_rejection(502, b"<html>")
        self.assertIs(verdict.fate, samples.Fate.REFUSED)
        self.assertIn("unreadable error: <html>", verdict.detail)


if __name__ == "__main__":
    unittest.main()
