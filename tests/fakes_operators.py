"""A small fake of a daemon's operators' API for the tools' tests."""

from http import server
import json
import threading
import typing

CUT = 0
_POLL_S = 0.01


class FakeDaemon:
    """Answers from a script and keeps what it was asked.

    Attributes:
        address: Where it listens.
        calls: Method, path and body of each request.
    """

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, typing.Any]] = []
        self.tokens: list[str | None] = []
        self._script: dict[tuple[str, str], list[tuple[int, object]]] = {}
        self._server = server.ThreadingHTTPServer(
            ("127.0.0.1", 0), self._build_handler()
        )
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(_POLL_S,)
        )
        self._thread.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def answer(
        self, method: str, path: str, status: int, body: object = None
    ) -> None:
        """Adds an answer; the last one of a path stays. CUT hangs up."""
        self._script.setdefault((method, path), []).append((status, body))

    def stop(self) -> None:
        """Stops listening."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def _take(self, method: str, path: str) -> tuple[int, object]:
        answers = self._script.get((method, path))
        if not answers:
            return 404, {"error": {"code": 110, "name": "NOT_FOUND"}}
        return answers.pop(0) if len(answers) > 1 else answers[0]

    def _build_handler(self) -> type[server.BaseHTTPRequestHandler]:
        fake = self

        class Handler(server.BaseHTTPRequestHandler):
            def _serve(self) -> None:
                size = int(self.headers.get("Content-Length") or 0)
                data = self.rfile.read(size)
                body = json.loads(data) if data else None
                fake.calls.append((self.command, self.path, body))
                fake.tokens.append(self.headers.get("Authorization"))
                status, answer = fake._take(self.command, self.path)
                if status == CUT:
                    return
                encoded = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(encoded)))
                self.end_headers()
                self.wfile.write(encoded)

            do_GET = do_PUT = do_POST = _serve  # noqa: N815

            def log_message(self, format: str, *args: object) -> None:
                """Keeps the tests' output clean."""

        return Handler


def refuse(code: int, ran: str, **more: object) -> dict[str, object]:
    """Returns the body of an error answer."""
    error = {"code": code, "name": "X", "ran": ran, "message": "told so"}
    return {"error": error, **more}
