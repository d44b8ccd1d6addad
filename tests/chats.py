"""Asks a daemon as a caller does and tells what came of it."""

import enum
import http.client
import json
import threading
import typing

import msgspec

from mothpass.standin import answers
from tests import deployments
from tests import http_calls

_PATH = "/v1/chat/completions"


class Kind(enum.StrEnum):
    """What came of a request, as the caller can tell it."""

    WHOLE = "whole"
    ERROR = "error"
    CUT = "cut"
    # Looks whole and isn't, or shows what isn't its own; never right.
    WRONG = "wrong"


class Outcome(msgspec.Struct, kw_only=True):
    """What a caller saw.

    Attributes:
        kind: How it ended.
        status: HTTP status, 0 without an answer.
        positions: Positions of the events shown, in order.
        text: Text that was shown.
        error: The error, where there is one.
    """

    kind: Kind = Kind.CUT
    status: int = 0
    positions: list[int] = []
    text: str = ""
    error: dict[str, typing.Any] | None = None


class Chat:
    """One request that is sent and read, over a connection of its own.

    Attributes:
        outcome: What was seen so far.
    """

    __slots__ = (
        "_address",
        "_deadline_ms",
        "_max_tokens",
        "_messages",
        "_shown",
        "_stream",
        "_thread",
        "outcome",
    )

    def __init__(
        self,
        *,
        address: str,
        content: str,
        max_tokens: int = 6,
        stream: bool = True,
        deadline_ms: int | None = None,
    ) -> None:
        """Sends nothing yet.

        Args:
            address: Address for callers of a daemon.
            content: Text of the one message; also names the chat.
            max_tokens: Tokens of the answer.
            stream: Whether events are asked for.
            deadline_ms: Time that the caller waits, None for that of the
                class.
        """
        self.outcome = Outcome()
        self._address = address
        self._messages = [answers.Message(role="user", content=content)]
        self._max_tokens = max_tokens
        self._deadline_ms = deadline_ms
        self._stream = stream
        self._shown = threading.Event()
        self._thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> Outcome:
        """Sends the request and reads to the end."""
        connection = http_calls.connect(self._address)
        try:
            response = self._send(connection)
            self.outcome.status = response.status
            if response.status != http_calls.OK:
                self.outcome.error = json.loads(response.read())["error"]
                self.outcome.kind = Kind.ERROR
            elif self._stream:
                self._read_stream(response)
            else:
                self._read_whole(response)
        except (OSError, http.client.HTTPException):
            self.outcome.kind = Kind.CUT
        finally:
            connection.close()
        if not self._is_start_of_answer():
            self.outcome.kind = Kind.WRONG
        self._shown.set()
        return self.outcome

    def start(self) -> None:
        """Runs in a thread of its own."""
        self._thread.start()

    def wait_shown(self) -> None:
        """Waits until an event was shown, or it ended."""
        self._shown.wait()

    def join(self) -> Outcome:
        """Waits for the end."""
        self._thread.join()
        return self.outcome

    def _send(
        self, connection: http.client.HTTPConnection
    ) -> http.client.HTTPResponse:
        body = {
            "model": deployments.MODEL,
            "messages": msgspec.to_builtins(self._messages),
            "stream": self._stream,
            "max_tokens": self._max_tokens,
        }
        headers = {
            "Authorization": f"Bearer {deployments.TEAM_KEY}",
            "Content-Type": "application/json",
        }
        if self._deadline_ms is not None:
            headers["X-Deadline-Ms"] = str(self._deadline_ms)
        encoded = json.dumps(body).encode()
        connection.request("POST", _PATH, encoded, headers)
        return connection.getresponse()

    def _read_whole(self, response: http.client.HTTPResponse) -> None:
        document = json.loads(response.read())
        self.outcome.text = document["choices"][0]["message"]["content"]
        self.outcome.kind = self._judge_end()

    def _read_stream(self, response: http.client.HTTPResponse) -> None:
        for event in http_calls.read_events(response):
            if event.kind == "error":
                self.outcome.error = json.loads(event.data)["error"]
                self.outcome.kind = Kind.ERROR
            elif event.data == "[DONE]":
                self.outcome.kind = self._judge_end()
            else:
                self._take_event(event)

    def _take_event(self, event: http_calls.SentEvent) -> None:
        chunk = json.loads(event.data)
        delta = chunk["choices"][0]["delta"]
        self.outcome.positions.append(int(event.id))
        self.outcome.text += delta.get("content", "")
        self._shown.set()

    def _judge_end(self) -> Kind:
        """Returns what an answer is that the daemon says is whole."""
        whole = self.outcome.error is None and answers.is_whole_answer(
            self.outcome.text, self._messages, self._max_tokens
        )
        return Kind.WHOLE if whole else Kind.WRONG

    def _is_start_of_answer(self) -> bool:
        """Tells whether no event was shown twice or out of place."""
        positions = self.outcome.positions
        tokens = answers.compose_answer(self._messages, self._max_tokens)
        in_order = positions == list(range(len(positions)))
        return in_order and "".join(tokens).startswith(self.outcome.text)
