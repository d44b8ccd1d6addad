"""A fake of a daemon's operator API for the tests of mothpassctl."""

from http import server
import json
import threading
import typing

DISCONNECT = 0
_POLL_INTERVAL_S = 0.01


class FakeDaemon:
    """Sends scripted answers and records the requests.

    Attributes:
        address: ``ip:port`` that it listens on.
        requests: Method, path and body of each request.
        tokens: Value of each request's ``Authorization`` header.
    """

    def __init__(self) -> None:
        self.requests: list[tuple[str, str, typing.Any]] = []
        self.tokens: list[str | None] = []
        self._answers: dict[tuple[str, str], list[tuple[int, object]]] = {}
        self._server = server.ThreadingHTTPServer(
            ("127.0.0.1", 0), self._build_handler()
        )
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(_POLL_INTERVAL_S,)
        )
        self._thread.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def answer(
        self, method: str, path: str, status: int, body: object = None
    ) -> None:
        """Adds an answer to a path; its last answer is repeated.

        DISCONNECT closes the connection without an answer.
        """
        self._answers.setdefault((method, path), []).append((status, body))

    def stop(self) -> None:
        """Stops listening."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def _next_answer(self, method: str, path: str) -> tuple[int, object]:
        answers = self._answers.get((method, path))
        if not answers:
            return 404, {"error": {"code": 110, "name": "NOT_FOUND"}}
        return answers.pop(0) if len(answers) > 1 else answers[0]

    def _build_handler(self) -> type[server.BaseHTTPRequestHandler]:
        fake = self

        class Handler(server.BaseHTTPRequestHandler):
            def _handle(self) -> None:
                size = int(self.headers.get("Content-Length") or 0)
                data = self.rfile.read(size)
                body = json.loads(data) if data else None
                fake.requests.append((self.command, self.path, body))
                fake.tokens.append(self.headers.get("Authorization"))
                status, answer = fake._next_answer(self.command, self.path)
                if status == DISCONNECT:
                    return
                encoded = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(encoded)))
                self.end_headers()
                self.wfile.write(encoded)

            do_GET = do_PUT = do_POST = _handle  # noqa: N815

            def log_message(self, format: str, *args: object) -> None:
                """Suppresses the request log."""

        return Handler


def build_error(code: int, ran: str, **more: object) -> dict[str, object]:
    """Returns the body of an error answer."""
    error = {
        "code": code,
        "name": "X",
        "ran": ran,
        "message": "rejected by the test",
    }
    return {"error": error, **more}
