"""Tests that answers arrive whole in each form in which they may come."""

import asyncio
import unittest
from unittest import mock

import msgspec

from mothpass.adapters import http_exchanges
from mothpass.adapters import http_pool
from mothpass.relay import service as service_module
from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire

_ID = b"Attempt-Id: ID\r\n"
_SEAL = b"Server-Seal: " + target_standin.SIGNATURE.encode() + b"\r\n"
_START = b"HTTP/1.1 200 OK\r\n"
_START_1_0 = b"HTTP/1.0 200 OK\r\n"
_STREAM = b"Content-Type: text/event-stream\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_CLOSE = b"Connection: close\r\n"
_OTHER = (
    _START + b"Attempt-Id: other\r\n" + _SEAL + b"Content-Length: 4\r\n\r\nlate"
)
_OTHER_CHUNKED = (
    _START
    + b"Attempt-Id: other\r\n"
    + _SEAL
    + _STREAM
    + _CHUNKED
    + b"\r\n6\r\nid: 7\n\r\n0\r\n\r\n"
)
# Requests in progress at a time, and beside a shutdown.
_REQUESTS = 4
_STOPPED_REQUESTS = 12
# Between the pieces of an answer.
_PAUSE_S = 0.02
_SECOND = _START + _ID + _SEAL + b"Content-Length: 5\r\n\r\nagain"


class Form(msgspec.Struct, frozen=True):
    """Form of an answer.

    Attributes:
        pieces: The answer's bytes, with a pause between two of them.
        body: What the client is to get.
        closes: Whether the target closes the connection behind them.
        drips: Whether each byte of the pieces is sent by itself.
    """

    pieces: tuple[bytes, ...]
    body: bytes
    closes: bool = False
    drips: bool = False


def _encode_chunks(*parts: bytes) -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


def _frame_by_length(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n" % len(body)


def _make_framings(body: bytes, kind: bytes) -> dict[str, Form]:
    """Returns the forms of a body with a cut in its middle.

    Args:
        body: The body.
        kind: Its field Content-Type.
    """
    length = _frame_by_length(body)
    fields = _ID + _SEAL + kind
    middle = len(body) // 2
    parts = (body[:middle], body[middle:]) if body else ()
    chunks = _encode_chunks(*parts, b"")
    chunked = fields + _CHUNKED

    def form(
        head: bytes, *rest: bytes, start: bytes = _START, closes: bool = False
    ) -> Form:
        return Form((start + head + b"\r\n", *rest), body, closes)

    extended = b"".join(
        b'%X;name="a;b";flag\r\n%s\r\n' % (len(part), part) for part in parts
    )
    plain = _START + fields + length + b"\r\n" + body
    forms = {
        "length": form(fields + length, *parts),
        "length, all in one piece": Form((plain,), body),
        "length, Connection: close": form(
            fields + length + _CLOSE, *parts, closes=True
        ),
        "length, connection ends without a word": form(
            fields + length, *parts, closes=True
        ),
        "chunks": form(chunked, chunks),
        "chunks, all in one piece": Form(
            (_START + chunked + b"\r\n" + chunks,), body
        ),
        "chunks, Connection: close": form(
            chunked + _CLOSE, chunks, closes=True
        ),
        "chunks, Connection: close, stays open": form(chunked + _CLOSE, chunks),
        "chunks, connection ends without a word": form(
            chunked, chunks, closes=True
        ),
        "HTTP/1.0, length": form(
            fields + length, *parts, start=_START_1_0, closes=True
        ),
        "HTTP/1.0, length, keep-alive": form(
            fields + length + b"Connection: keep-alive\r\n",
            *parts,
            start=_START_1_0,
        ),
        "HTTP/1.0, length, stays open": form(
            fields + length, *parts, start=_START_1_0
        ),
        "Keep-Alive: timeout=5": form(
            chunked + b"Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n",
            chunks,
        ),
        "Keep-Alive: timeout=0": form(
            chunked + b"Keep-Alive: timeout=0, max=1\r\n", chunks
        ),
        "chunks with extensions": form(chunked, extended + b"0;last=1\r\n\r\n"),
        "trailers": form(
            chunked + b"Trailer: Sum\r\n",
            chunks[:-2] + b"Sum: 1\r\nServer-Seal: x\r\n\r\n",
        ),
        "chunk sizes with zeros": form(
            chunked,
            b"".join(b"000%X\r\n%s\r\n" % (len(p), p) for p in parts)
            + b"000\r\n\r\n",
        ),
        "chunks of one byte": form(
            chunked,
            _encode_chunks(*(body[i : i + 1] for i in range(len(body))), b""),
        ),
        "end of the chunks torn": form(
            chunked, chunks[:-4], chunks[-4:-1], chunks[-1:]
        ),
        "names and codings in other letters": form(
            fields.lower().replace(b"id: id", b"id: ID")
            + b"TRANSFER-ENCODING: Chunked\r\n",
            chunks,
        ),
        "no reason": form(chunked, chunks, start=b"HTTP/1.1 200 \r\n"),
        "no reason, no space": form(chunked, chunks, start=b"HTTP/1.1 200\r\n"),
        "no space behind colons": form(chunked.replace(b": ", b":"), chunks),
        "interim answers": Form(
            (
                b"HTTP/1.1 100 Continue\r\n\r\n",
                b"HTTP/1.1 102 Processing\r\n\r\n",
                b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
                + _START
                + chunked
                + b"\r\n",
                chunks,
            ),
            body,
        ),
        "interim answer in one piece, ends with connection": Form(
            (
                b"HTTP/1.1 100 Continue\r\n\r\n"
                + _START
                + chunked
                + b"\r\n"
                + chunks,
            ),
            body,
            closes=True,
        ),
        "late answer in front": Form(
            (_OTHER + _START + chunked + b"\r\n", chunks), body
        ),
        "late stream in front": Form(
            (_OTHER_CHUNKED, _START + chunked + b"\r\n" + chunks), body
        ),
        "two late answers in front, in pieces": Form(
            (
                _OTHER[:20],
                _OTHER[20:] + _OTHER_CHUNKED[:70],
                _OTHER_CHUNKED[70:] + _START + chunked + b"\r\n",
                chunks,
            ),
            body,
        ),
        "late failure in front": Form(
            (
                b"HTTP/1.1 503 X\r\nAttempt-Id: other\r\nNot-Run: 1\r\n"
                b"Content-Length: 0\r\n\r\n",
                _START + chunked + b"\r\n" + chunks,
            ),
            body,
        ),
        "second answer behind": form(chunked, chunks + _SECOND),
        "second answer behind, later": form(chunked, chunks, _SECOND),
        "second answer behind the last": form(
            chunked + _CLOSE, chunks + _SECOND
        ),
        "second answer behind HTTP/1.0": form(
            fields + length, body + _SECOND, start=_START_1_0
        ),
        "no HTTP behind a length": form(fields + length, body + b"\x00no HTTP"),
        "no HTTP behind chunks": form(chunked, chunks + b"\x00no HTTP"),
        "no HTTP behind, ends": form(chunked, chunks + b"x", closes=True),
        "empty lines behind": form(chunked, chunks + b"\r\n\r\n"),
        "torn head behind": form(chunked, chunks + _SECOND[:30], closes=True),
    }
    slow = _START + chunked + b"\r\n" + chunks
    forms["byte by byte"] = Form((slow,), body, drips=True)
    ending = {
        "connection": (_START, b""),
        "connection, Connection: close": (_START, _CLOSE),
        "connection, HTTP/1.0": (_START_1_0, b""),
    }
    for name, (start, close) in ending.items():
        forms[f"ends with {name}"] = form(
            fields + close, *parts, start=start, closes=True
        )
        forms[f"ends with {name}, in one piece"] = Form(
            (start + fields + close + b"\r\n" + body,), body, closes=True
        )
        forms[f"late answer in front, ends with {name}"] = Form(
            (_OTHER, start + fields + close + b"\r\n", *parts),
            body,
            closes=True,
        )
    return forms


_EVENTS = target_standin.make_events(0, target_standin.EVENTS)
_FRAMINGS = _make_framings(_EVENTS, _STREAM)
_BODY = b"the target's bytes"
_PLAIN_FRAMINGS = _make_framings(_BODY, b"") | {
    f"empty body, {name}": form
    for name, form in _make_framings(b"", b"").items()
}
_part = target_standin.make_event
_LARGE = b"".join(
    b"id: %d\ndata: %s\n\n" % (number, b"x" * 60_000) for number in range(5)
)
# Streams whose events have other forms than those of most targets.
_BODIES = {
    "ids from 1": _part(1) + _part(2),
    "ids from a large one": b"".join(_part(10**12 + n) for n in range(3)),
    "one event, id 0": _part(0),
    "skipped ids": _part(0) + _part(3) + _part(4) + _part(90),
    "no ids": b"data: a\n\ndata: b\n\n",
    "ids at some events": _part(0) + b"data: a\n\n" + _part(1),
    "ids at the last event only": b"data: a\n\n" + _part(1),
    "ids at the first event only": _part(0) + b"data: a\n\n",
    "comments": b": a\n\n" + _part(0) + b":\n\n" + _part(1) + b": end\n\n",
    "comments in events": b": a\nid: 0\n: b\ndata: x\n\n" + _part(1),
    "CRLF": _EVENTS.replace(b"\n", b"\r\n"),
    "CR": _EVENTS.replace(b"\n", b"\r"),
    "line ends of all kinds": b"id: 0\r\ndata: a\n\r\nid: 1\rdata: b\r\r"
    b"id: 2\ndata: c\r\n\r\nid: 3\ndata: d\n\n",
    "another version first": b"weight-versions: 2\n" + _part(0) + _part(1),
    "another version amid": _part(0) + b"weight-versions: 2\n" + _part(1),
    "several fields": b"event: token\nretry: 100\nid: 0\ndata: a\ndata: b\n\n"
    b"data: c\nevent: x\nodd\nid: 1\n\n",
    "no data": b"id: 0\n\nid: 1\n\n",
    "fields without a space": b"id:0\ndata:a\n\nid:1\ndata:b\n\n",
    "empty lines first": b"\n" + _EVENTS,
    "empty lines between": _part(0) + b"\n\n" + _part(1) + b"\n",
    "bytes that are no text": b"id: 0\ndata: \xff\x00\xfe\x85\x0b\x0c\x1c\n\n",
    "large events": _LARGE,
}
_EVENT_FORMS = {
    name: Form(
        (
            _START + _ID + _SEAL + _STREAM + _CHUNKED + b"\r\n",
            _encode_chunks(body[:5]),
            _encode_chunks(body[5:-1], body[-1:], b""),
        ),
        body,
    )
    for name, body in _BODIES.items()
} | {
    f"{name}, ends with its connection": Form(
        (_START + _ID + _SEAL + _STREAM + b"\r\n" + body,), body, closes=True
    )
    for name, body in _BODIES.items()
}


def _play(form: Form) -> target_standin.Script:
    """Returns a script that runs the request and answers in a form."""

    async def run(
        target: target_standin.Target,
        request: wire.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = request.headers["attempt-id"]
        target.runs.append(request_id)
        for number, text in enumerate(form.pieces):
            if number:
                await asyncio.sleep(_PAUSE_S)
            piece = text.replace(b"ID", request_id.encode())
            step = 1 if form.drips else max(1, len(piece))
            for start in range(0, len(piece), step):
                writer.write(piece[start : start + step])
                await asyncio.sleep(0)
        if form.closes:
            await writer.drain()
            writer.close()

    return run


_acquire = http_pool.ConnectionPool.acquire


async def _acquire_new(
    pool: http_pool.ConnectionPool, address: str, *, fresh: bool
) -> http_exchanges.Connection:
    """Opens a connection, as bytes behind an answer may meet the next one."""
    del fresh
    return await _acquire(pool, address, fresh=True)


class _FormsTest(fleet.FleetTest):
    """Base class: each form of an answer for a request of its own.

    Attributes:
        may_answer: Set unless targets are to wait before they answer.
    """

    async def asyncSetUp(self) -> None:
        patch = mock.patch.object(
            http_pool.ConnectionPool, "acquire", _acquire_new
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        await super().asyncSetUp()

    async def add_daemon(
        self,
        number: int,
        store: str = "",
        links: dict[str, str] | None = None,
        cut: fleet.Cut | None = None,
    ) -> None:
        await super().add_daemon(number, store, links, cut)
        service = self.services[-1]
        service.settings = msgspec.structs.replace(
            service.settings, repeat_extra=1000
        )

    def answer_in_forms(
        self, forms: list[Form], broken_events: int = 0
    ) -> None:
        """Makes targets answer in the form whose number the path ends with.

        Args:
            forms: The forms.
            broken_events: Events after which the first run of each request
                breaks off, 0 for none.
        """
        seen = set()

        async def run(
            target: target_standin.Target,
            request: wire.Request,
            writer: asyncio.StreamWriter,
        ) -> None:
            request_id = request.headers["attempt-id"]
            script = _play(forms[int(request.url.rpartition("/")[2])])
            if broken_events and request_id not in seen:
                script = target_standin.break_stream(broken_events)
            seen.add(request_id)
            await self.may_answer.wait()
            await script(target, request, writer)

        for target in (*self.plain, *self.models):
            target.answer = run

    async def request_all(
        self, path: str, count: int, at_a_time: int, fields: dict[str, str]
    ) -> list[tuple[wire.Answer, int]]:
        """Returns the answer for each form and the runs of its request."""
        turns = asyncio.Semaphore(at_a_time)

        async def request(number: int) -> tuple[wire.Answer, int]:
            headers = self.make_chat_headers(**fields)
            headers["Prompt-Prefix"] = f"{number + 1:x}aa:80,{number + 1:x}bb:9"
            async with turns:
                answer = await self.send_request(
                    "POST", f"{path}{number}", headers, b"x"
                )
            runs = [run for item in self.plain for run in item.runs]
            runs += [run for item in self.models for run in item.runs]
            return answer, runs.count(headers["Attempt-Id"])

        return await asyncio.gather(*map(request, range(count)))

    async def check_whole(
        self,
        path: str,
        forms: dict[str, Form],
        body: bytes | None = None,
        *,
        broken_events: int = 0,
        **fields: str,
    ) -> None:
        """Checks that clients get whole answers, and no run too many.

        Args:
            path: Start of the path, of the route.
            forms: The forms by name.
            body: What clients get, None for the body of each form.
            broken_events: See ``answer_in_forms``.
            **fields: Further headers of the requests.
        """
        self.answer_in_forms([*forms.values()], broken_events)
        results = await self.request_all(path, len(forms), _REQUESTS, fields)
        for (name, form), (answer, runs) in zip(
            forms.items(), results, strict=True
        ):
            with self.subTest(name, path=path):
                self.assertEqual(answer.status, 200)
                self.assertEqual(
                    answer.body, form.body if body is None else body
                )
                self.assertTrue(answer.is_whole)
                self.assertEqual(
                    answer.headers["server-seal"], target_standin.SIGNATURE
                )
                # Others may be sent again when the machine is busy, and get
                # the same form again.
                if path in ("/once/", "/pay/"):
                    self.assertEqual(runs, 1)


_REST = target_standin.make_events(2, target_standin.EVENTS)
_REST_FRAMINGS = _make_framings(_REST, _STREAM)


class AnswerFormsTest(_FormsTest):
    """Answers in all allowed forms, at a daemon that reaches the targets."""

    async def test_streams_are_whole(self) -> None:
        """Guards against whole streams without an end at the client."""
        for path in ("/chat/", "/once/"):
            await self.check_whole(path, _FRAMINGS)
            await self.check_whole(path, _EVENT_FORMS)

    async def test_plain_answers_are_whole(self) -> None:
        """Guards against failures in place of whole answers."""
        for path in ("/read/", "/pay/"):
            await self.check_whole(path, _PLAIN_FRAMINGS)

    async def test_rest_of_a_broken_stream_is_whole(self) -> None:
        """Guards against streams that go on and get no end."""
        await self.check_whole(
            "/chat/", _REST_FRAMINGS, _EVENTS, broken_events=2
        )
        # The second run begins anew; what the client has is dropped.
        await self.check_whole("/chat/", _FRAMINGS, _EVENTS, broken_events=2)

    async def test_stream_that_a_client_takes_up_is_whole(self) -> None:
        """Guards against streams that no client can take up."""
        await self.check_whole("/chat/", _REST_FRAMINGS, Last_Event_Id="1")
        await self.check_whole("/chat/", _FRAMINGS, _REST, Last_Event_Id="1")
        ends = _make_framings(b"", _STREAM)
        await self.check_whole("/chat/", ends, Last_Event_Id="3")


class HeadAnswerTest(_FormsTest):
    """The answer to a request for the head alone."""

    async def test_answer_to_head_has_no_body(self) -> None:
        """Guards against a wait for a body that never comes."""

        async def run(
            target: target_standin.Target,
            request: wire.Request,
            writer: asyncio.StreamWriter,
        ) -> None:
            request_id = request.headers["attempt-id"]
            target.runs.append(request_id)
            head = _START + _ID + _SEAL + _frame_by_length(_BODY) + b"\r\n"
            writer.write(head.replace(b"ID", request_id.encode()))

        for target in self.plain:
            target.answer = run
        client = await wire.Client.connect(self.addresses[0])
        self.addCleanup(client.close)
        client.send("HEAD", "/read/1", self.make_headers())
        self.assertEqual((await client.read_head()).status, 200)


class PeerFormsTest(AnswerFormsTest):
    """The same by way of a peer, as the first daemon reaches no target."""

    daemons = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.wait_for(
            lambda: all(
                len(service.fleet_sync.list_peer_ids()) == 2
                for service in self.services
            )
        )
        self.cut_daemon(0, fleet.Cut.SILENT)
        await self.send_request("GET", "/read/1")
        await self.send_request("GET", "/chat/1", self.make_chat_headers())
        monitor = self.services[0].fleet_sync.path_monitor
        await self.wait_for(
            lambda: monitor.is_cut_off("plain") and monitor.is_cut_off("models")
        )


class ShutdownFormsTest(_FormsTest):
    """The same around a SIGTERM, for targets that are soon done."""

    async def check_stopping(self, path: str, forms: dict[str, Form]) -> None:
        """Stops a daemon beside requests that targets have begun to run."""
        await self.asyncTearDown()
        self.services.clear()
        self.addresses.clear()
        await self.add_daemon(0)
        [service] = self.services
        service.settings = msgspec.structs.replace(
            service.settings, grace_s=1.6
        )
        self.answer_in_forms([*forms.values()])
        targets = (*self.plain, *self.models)
        for target in targets:
            target.requests.clear()
        self.may_answer.clear()
        requesting = asyncio.ensure_future(
            self.request_all(path, len(forms), len(forms), {})
        )
        await self.wait_for(
            lambda: sum(len(item.requests) for item in targets) == len(forms)
        )
        stopping = asyncio.ensure_future(service.stop())
        await asyncio.sleep(_PAUSE_S)
        self.may_answer.set()
        results = await requesting
        await stopping
        for (name, form), (answer, _) in zip(
            forms.items(), results, strict=True
        ):
            with self.subTest(name, path=path):
                self.assertEqual((answer.status, answer.body), (200, form.body))
                self.assertTrue(answer.is_whole)

    async def test_answers_are_whole(self) -> None:
        """Guards against a shutdown that cuts what arrives whole."""
        patch = mock.patch.object(service_module, "BALANCER_DRAIN_S", 0.2)
        patch.start()
        self.addCleanup(patch.stop)
        streams = _FRAMINGS | _EVENT_FORMS
        for path, forms in (("/once/", streams), ("/pay/", _PLAIN_FRAMINGS)):
            names = [*forms]
            for start in range(0, len(names), _STOPPED_REQUESTS):
                part = {
                    name: forms[name]
                    for name in names[start : start + _STOPPED_REQUESTS]
                }
                await self.check_stopping(path, part)


if __name__ == "__main__":
    unittest.main()
