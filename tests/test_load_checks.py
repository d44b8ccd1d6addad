"""Tests that the load tool knows a whole answer of its own from others."""

import hashlib
import json
import unittest

from mothpass.load import checks
from mothpass.load import samples
from mothpass.load import server_sent_events
from mothpass.standin import answers

_MESSAGES = [answers.Message(role="user", content="Explain clause 3.")]
_OTHERS = [answers.Message(role="user", content="Explain clause 4.")]
_TOKENS = 6
_DONE = b"data: [DONE]\n\n"
_ERROR = {"code": 302, "name": "X", "ran": "unknown", "message": "cut"}


def _write_event(position: int, token: str, finish: str | None) -> bytes:
    choice = {"delta": {"content": token}, "finish_reason": finish}
    chunk: dict[str, object] = {"choices": [choice]}
    if finish:
        chunk["usage"] = {"prompt_tokens": 9, "cached_tokens": 4}
    return f"id: {position}\ndata: {json.dumps(chunk)}\n\n".encode()


def _write_stream(messages: list[answers.Message]) -> list[bytes]:
    """Returns the events of a whole answer, with the mark of its end."""
    tokens = answers.compose_answer(messages, _TOKENS)
    written = [
        _write_event(position, token, None)
        for position, token in enumerate(tokens)
    ]
    return [*written, _write_event(len(tokens), "", "stop"), _DONE]


class StreamCheckTest(unittest.TestCase):
    """Checks the verdict on streams that are whole, cut or crossed."""

    def judge(self, written: list[bytes]) -> checks.Verdict:
        check = checks.StreamCheck(messages=_MESSAGES, max_tokens=_TOKENS)
        splitter = server_sent_events.EventSplitter()
        for event in splitter.feed(b"".join(written)):
            check.add_event(event)
        return check.finish()

    def test_whole_answer_with_its_usage(self) -> None:
        verdict = self.judge(_write_stream(_MESSAGES))
        self.assertIs(verdict.fate, samples.Fate.WHOLE)
        self.assertEqual(verdict.usage.prompt_tokens, 9)
        self.assertEqual(verdict.usage.cached_tokens, 4)

    def test_cut_at_each_event_is_lost_not_whole(self) -> None:
        written = _write_stream(_MESSAGES)
        for count in range(len(written)):
            with self.subTest(events=count):
                verdict = self.judge(written[:count])
                self.assertIs(verdict.fate, samples.Fate.LOST)

    def test_cut_that_ends_like_a_whole_answer_is_wrong(self) -> None:
        written = _write_stream(_MESSAGES)
        verdict = self.judge([*written[:3], _DONE])
        self.assertIs(verdict.fate, samples.Fate.WRONG)

    def test_answer_of_another_is_wrong(self) -> None:
        verdict = self.judge(_write_stream(_OTHERS))
        self.assertIs(verdict.fate, samples.Fate.WRONG)

    def test_event_of_another_answer_is_wrong(self) -> None:
        written = _write_stream(_MESSAGES)
        written[2] = _write_stream(_OTHERS)[2]
        self.assertIs(self.judge(written).fate, samples.Fate.WRONG)

    def test_event_that_comes_twice_is_wrong(self) -> None:
        written = _write_stream(_MESSAGES)
        verdict = self.judge([*written[:2], written[1], *written[2:]])
        self.assertIs(verdict.fate, samples.Fate.WRONG)

    def test_event_after_the_end_is_wrong(self) -> None:
        written = _write_stream(_MESSAGES)
        verdict = self.judge([*written, written[0]])
        self.assertIs(verdict.fate, samples.Fate.WRONG)

    def test_error_event_is_broken_off_with_its_code(self) -> None:
        event = b"event: error\ndata: " + json.dumps({"error": _ERROR}).encode()
        written = [*_write_stream(_MESSAGES)[:3], event + b"\n\n"]
        verdict = self.judge(written)
        self.assertIs(verdict.fate, samples.Fate.BROKEN_OFF)
        self.assertEqual((verdict.code, verdict.ran), (302, "unknown"))

    def test_wrong_start_stays_wrong_before_an_error_event(self) -> None:
        event = b"event: error\ndata: " + json.dumps({"error": _ERROR}).encode()
        written = [*_write_stream(_OTHERS)[:3], event + b"\n\n"]
        self.assertIs(self.judge(written).fate, samples.Fate.WRONG)


class SplitterTest(unittest.TestCase):
    """Checks that events come whole however the bytes arrive."""

    def test_each_split_of_the_bytes_gives_the_same_events(self) -> None:
        data = b"id: 0\ndata: a\n\nevent: error\r\ndata: b\r\n\r\ndata: c\n\n"
        whole = server_sent_events.EventSplitter().feed(data)
        self.assertEqual([item.data for item in whole], [b"a", b"b", b"c"])
        for cut in range(len(data)):
            with self.subTest(cut=cut):
                splitter = server_sent_events.EventSplitter()
                found = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
                self.assertEqual(found, whole)


class CallTest(unittest.TestCase):
    """Checks the verdict on answers that come as one body."""

    def test_receipt_of_the_same_body_is_whole(self) -> None:
        digest = hashlib.sha256(b"{}").hexdigest()
        answer = json.dumps({"order": 0, "body_sha256": digest}).encode()
        verdict = checks.check_receipt(answer, b"{}")
        self.assertIs(verdict.fate, samples.Fate.WHOLE)
        verdict = checks.check_receipt(answer, b"[]")
        self.assertIs(verdict.fate, samples.Fate.WRONG)

    def test_body_that_is_cut_is_wrong(self) -> None:
        text = "".join(answers.compose_answer(_MESSAGES, _TOKENS))
        for length, fate in (
            (len(text), samples.Fate.WHOLE),
            (len(text) - 1, samples.Fate.WRONG),
        ):
            message = {"message": {"content": text[:length]}}
            body = json.dumps({"choices": [message]}).encode()
            verdict = checks.check_completion(body, _MESSAGES, _TOKENS)
            self.assertIs(verdict.fate, fate)

    def test_refusal_without_the_error_object_is_told(self) -> None:
        verdict = checks.check_rejection(502, b"<html>")
        self.assertIs(verdict.fate, samples.Fate.REFUSED)
        self.assertIn("unreadable error: <html>", verdict.detail)


if __name__ == "__main__":
    unittest.main()
