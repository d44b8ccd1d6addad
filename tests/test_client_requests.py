"""Tests for mothpass.daemon.client_requests."""

import unittest

import msgspec

from mothpass.daemon import client_requests
from tests import daemon_parts

_NOW = 100.0


class ReadChatTest(unittest.TestCase):
    """Checks the validation of chat requests."""

    def setUp(self) -> None:
        entries = daemon_parts.build_catalogue()
        self.catalogue_index = client_requests.CatalogueIndex(entries=entries)
        self.team = entries.teams[0]

    def _read(
        self,
        *messages: tuple[str, str],
        chat_id: str | None = None,
        header_chat_id: str = "",
        deadline_ms: str = "",
        **extra: object,
    ) -> client_requests.ClientRequest:
        body = {
            "model": "advice",
            "messages": [{"role": x, "content": y} for x, y in messages],
            "chat_id": chat_id,
            **extra,
        }
        headers = client_requests.Headers(
            request_id="r", chat_id=header_chat_id, deadline_ms=deadline_ms
        )
        return client_requests.read_chat_request(
            self.catalogue_index,
            self.team,
            headers,
            msgspec.json.encode(body),
            now=_NOW,
        )

    def test_later_turn_of_a_chat_has_the_same_hash(self) -> None:
        first = self._read(("system", "s"), ("user", "lease"))
        later = self._read(
            ("system", "s"),
            ("user", "lease"),
            ("assistant", "a"),
            ("user", "more"),
        )
        other = self._read(("system", "s"), ("user", "other"))
        self.assertEqual(first.chat_hash, later.chat_hash)
        self.assertNotEqual(first.chat_hash, other.chat_hash)

    def test_header_takes_precedence_over_the_chat_id_field(self) -> None:
        by_header = self._read(
            ("user", "x"), chat_id="field", header_chat_id="header"
        )
        by_field = self._read(("user", "y"), chat_id="header")
        self.assertEqual(by_header.chat_hash, by_field.chat_hash)

    def test_chats_of_two_teams_have_different_hashes(self) -> None:
        first = self._read(("user", "x"), chat_id="c")
        self.team = msgspec.structs.replace(self.team, name="another")
        self.assertNotEqual(
            first.chat_hash, self._read(("user", "x"), chat_id="c").chat_hash
        )

    def test_forwards_unknown_fields_and_requests_a_stream(self) -> None:
        request = self._read(("user", "x"), temperature=0.5, stream=False)
        target_body = msgspec.json.decode(request.body)
        self.assertEqual(target_body["temperature"], 0.5)
        self.assertIs(target_body["stream"], True)
        self.assertFalse(request.stream)

    def test_service_class_bounds_the_deadline(self) -> None:
        self.assertEqual(self._read(("user", "x")).deadline, _NOW + 5)
        shorter = self._read(("user", "x"), deadline_ms="300")
        self.assertEqual(shorter.deadline, _NOW + 0.3)
        longer = self._read(("user", "x"), deadline_ms="9" * 30)
        self.assertEqual(longer.deadline, _NOW + 5)

    def test_less_urgent_service_class_applies(self) -> None:
        self.team = msgspec.structs.replace(self.team, service_class="slow")
        request = self._read(("user", "x"))
        self.assertEqual((request.service_class, request.priority), ("slow", 5))


if __name__ == "__main__":
    unittest.main()
