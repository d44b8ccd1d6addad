"""Blocking HTTP requests for tests, each over a new connection."""

import collections
from collections import abc
import http.client
import json

import msgspec

OK = 200
# Longer than the deadline of the tests' service class, so that a client always
# receives the daemon's final response.
_TIMEOUT_S = 30.0
_READ_SIZE_BYTES = 65_536


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def decode(self) -> dict[str, object]:
        """Returns the body as a JSON object."""
        decoded: dict[str, object] = json.loads(self.body)
        return decoded


class ServerSentEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Server-sent event as received."""

    kind: str
    id: str
    data: str


def connect(
    address: str, timeout_s: float = _TIMEOUT_S
) -> http.client.HTTPConnection:
    """Returns a connection that opens with its first request."""
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=timeout_s)


def call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = _TIMEOUT_S,
) -> Answer:
    """Sends one request and reads the complete response.

    Raises:
        OSError: If the connection failed or was lost.
        http.client.HTTPException: If the response is truncated.
    """
    connection = connect(address, timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        return read_answer(connection)
    finally:
        connection.close()


def read_answer(connection: http.client.HTTPConnection) -> Answer:
    """Reads the response to the last request of a connection."""
    response = connection.getresponse()
    return Answer(
        status=response.status,
        headers={name.lower(): value for name, value in response.getheaders()},
        body=response.read(),
    )


def read_events(
    response: http.client.HTTPResponse,
) -> abc.Iterator[ServerSentEvent]:
    """Yields server-sent events until the response ends.

    Raises:
        OSError: If no byte arrived within the timeout, or the connection was
            lost.
        http.client.HTTPException: If the response is truncated.
    """
    fields: dict[str, str] = collections.defaultdict(str)
    for line in _read_lines(response):
        if line:
            name, _, value = line.partition(": ")
            fields[name] = value
            continue
        yield ServerSentEvent(
            kind=fields["event"], id=fields["id"], data=fields["data"]
        )
        fields.clear()


def _read_lines(response: http.client.HTTPResponse) -> abc.Iterator[str]:
    """Yields lines; unlike readline(), it detects a missing last chunk."""
    partial_line = b""
    while data := response.read1(_READ_SIZE_BYTES):
        *lines, partial_line = (partial_line + data).split(b"\n")
        for line in lines:
            yield line.decode().rstrip("\r")
