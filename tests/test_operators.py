"""Tests for mothpass.daemon.operators."""

from collections import abc
import hashlib
import typing
import unittest

import blacksheep
from blacksheep import testing
import msgspec

from mothpass.core import results
from mothpass.core import store_budgets
from mothpass.daemon import operators
from mothpass.daemon import proposals
from tests import catalogue_fixtures
from tests import fakes_platform

_TOKEN = "operator-token-0001"


async def _read_page() -> object:
    return {"daemons": []}


def _build_stream(data: bytes) -> abc.Callable[[], abc.AsyncIterator[bytes]]:
    """Returns a function that streams a body in two chunks."""

    async def provide() -> abc.AsyncIterator[bytes]:
        yield data[:500]
        yield data[500:]

    return provide


class OperatorsTest(unittest.IsolatedAsyncioTestCase):
    """Sends requests to the routes with fakes of the platform."""

    async def asyncSetUp(self) -> None:
        self.tables = fakes_platform.MemoryTables()
        self.objects = fakes_platform.MemoryObjects()
        node = catalogue_fixtures.build_node("d1", self.tables, self.objects)
        self.node = node
        self.app = blacksheep.Application(router=blacksheep.Router())
        operators.register_routes(
            self.app,
            operators.Dependencies(
                token_sha256=[hashlib.sha256(_TOKEN.encode()).hexdigest()],
                catalogues=node.catalogues,
                proposals=node.proposals,
                read_status=_read_page,
                read_fleet=_read_page,
            ),
        )
        await self.app.start()  # type: ignore[no-untyped-call]
        self.client = testing.TestClient(self.app)

    async def asyncTearDown(self) -> None:
        await self.app.stop()  # type: ignore[no-untyped-call]

    async def send_request(
        self,
        method: str,
        path: str,
        body: object = None,
        token: str | None = _TOKEN,
    ) -> tuple[int, typing.Any]:
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        send: abc.Callable[..., abc.Awaitable[blacksheep.Response]]
        send = getattr(self.client, method)
        if method == "get":
            bare, _, query = path.partition("?")
            response = await send(bare, headers=headers, query=query)
        else:
            content = blacksheep.StreamedContent(
                b"application/json", _build_stream(msgspec.json.encode(body))
            )
            response = await send(path, headers=headers, content=content)
        data = await response.read()
        return response.status, msgspec.json.decode(data or b"null")

    async def propose(
        self, base: int, catalogue: object
    ) -> tuple[int, typing.Any]:
        body = {"base_version": base, "catalogue": catalogue, "author": "ann"}
        return await self.send_request("put", "/v1/catalogue", body)

    async def test_missing_token_gets_401(self) -> None:
        status, page = await self.send_request("get", "/v1/status", token=None)
        self.assertEqual(status, 401)
        self.assertEqual(page["error"]["name"], "UNAUTHENTICATED")

    async def test_wrong_token_gets_403(self) -> None:
        status, _ = await self.send_request("get", "/v1/fleet", token="wrong")
        self.assertEqual(status, 403)

    async def test_first_catalogue_is_accepted_and_shown(self) -> None:
        status, page = await self.propose(0, catalogue_fixtures.CATALOGUE)
        self.assertEqual((status, page), (200, {"version": 1}))
        status, page = await self.send_request("get", "/v1/catalogue")
        self.assertEqual((status, page["version"]), (200, 1))
        self.assertEqual(page["catalogue"]["teams"][0]["name"], "north")

    async def test_catalogue_is_unknown_before_the_first_poll(
        self,
    ) -> None:
        status, page = await self.send_request("get", "/v1/catalogue")
        self.assertEqual((status, page["error"]["name"]), (503, "NO_CATALOGUE"))

    async def test_empty_store_shows_version_zero(self) -> None:
        await self.node.catalogues.poll()
        status, page = await self.send_request("get", "/v1/catalogue")
        self.assertEqual((status, page["version"]), (200, 0))

    async def test_all_problems_are_listed_and_nothing_is_accepted(
        self,
    ) -> None:
        broken = {**catalogue_fixtures.CATALOGUE, "colour": 1, "teams": [{}]}
        status, page = await self.propose(0, broken)
        self.assertEqual(status, 422)
        paths = [item["path"] for item in page["problems"]]
        self.assertIn("$.colour", paths)
        self.assertIn("$.teams[0].owner", paths)
        self.assertEqual(self.tables.list_rows("catalogue"), [])

    async def test_old_base_gets_409_with_the_accepted_version(self) -> None:
        await self.propose(0, catalogue_fixtures.CATALOGUE)
        status, page = await self.propose(0, catalogue_fixtures.CATALOGUE)
        self.assertEqual((status, page["present_version"]), (409, 1))

    async def test_unconfirmed_change_gets_504(self) -> None:
        await self.node.catalogues.poll()
        self.tables.faults.drop_writes = proposals.MAX_CONFIRM_TRIES
        status, page = await self.propose(0, catalogue_fixtures.CATALOGUE)
        self.assertEqual((status, page["error"]["ran"]), (504, "unknown"))

    async def test_check_does_not_accept_the_catalogue(self) -> None:
        status, page = await self.send_request(
            "post", "/v1/catalogue/check", catalogue_fixtures.CATALOGUE
        )
        self.assertEqual((status, page), (200, {"problems": []}))
        self.assertEqual(self.tables.list_rows("catalogue"), [])

    async def test_zone_is_taken_out_and_back_in(self) -> None:
        await self.propose(0, catalogue_fixtures.CATALOGUE)
        path = "/v1/availability-zones/zone-a"
        _, page = await self.send_request(
            "post", f"{path}/out", {"author": "ann"}
        )
        self.assertEqual(page, {"version": 2})
        self.assertTrue(self.node.find_zone("zone-a").out)
        await self.send_request("post", f"{path}/in", {"author": "ann"})
        self.assertFalse(self.node.find_zone("zone-a").out)

    async def test_unknown_zone_gets_404(self) -> None:
        await self.propose(0, catalogue_fixtures.CATALOGUE)
        status, _ = await self.send_request(
            "post", "/v1/availability-zones/none/out", {"author": "ann"}
        )
        self.assertEqual(status, 404)

    async def test_earlier_version_is_rebuilt(self) -> None:
        await self.propose(0, catalogue_fixtures.CATALOGUE)
        await self.send_request(
            "post", "/v1/instances/e1/out", {"author": "bo"}
        )
        _, page = await self.send_request("get", "/v1/catalogue/1")
        self.assertEqual(page["catalogue"]["instances_out"], [])
        status, _ = await self.send_request("get", "/v1/catalogue/9")
        self.assertEqual(status, 404)

    async def test_history_is_newest_first(self) -> None:
        await self.propose(0, catalogue_fixtures.CATALOGUE)
        await self.send_request(
            "post", "/v1/instances/e1/out", {"author": "bo"}
        )
        _, page = await self.send_request("get", "/v1/history?limit=1")
        self.assertEqual(len(page["changes"]), 1)
        self.assertEqual(page["changes"][0]["author"], "bo")
        self.assertEqual(page["changes"][0]["summary"], "put instances_out/e1")

    async def test_body_of_wrong_type_gets_400(self) -> None:
        status, _ = await self.send_request("put", "/v1/catalogue", "text")
        self.assertEqual(status, 400)

    async def test_body_over_the_limit_gets_413(self) -> None:
        limit = operators.MAX_BODY_BYTES
        self.addCleanup(setattr, operators, "MAX_BODY_BYTES", limit)
        operators.MAX_BODY_BYTES = 1000
        status, _ = await self.send_request("put", "/v1/catalogue", "x" * 2000)
        self.assertEqual(status, 413)

    async def test_exhausted_store_budget_gets_503(self) -> None:
        await self.propose(0, catalogue_fixtures.CATALOGUE)
        while self.node.budget.try_take(
            store_budgets.Kind.READ, store_budgets.Priority.CLAIM, now=0.0
        ):
            pass
        status, page = await self.send_request(
            "post", "/v1/instances/e1/out", {"author": "bo"}
        )
        self.assertEqual(status, 503)
        self.assertEqual(page["error"]["code"], results.Code.STORE_UNAVAILABLE)


if __name__ == "__main__":
    unittest.main()
