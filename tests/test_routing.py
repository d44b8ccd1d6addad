"""Tests for mothpass.core.routing."""

import unittest

import msgspec

from mothpass.core import errors
from mothpass.core import gates
from mothpass.core import routing
from mothpass.core import targets
from mothpass.ports import targets as targets_port
from tests import routing_fixtures as fixtures


def _place(
    router: routing.Router, chat: int | None, now: float, **fields: object
) -> routing.Placement:
    name = fixtures.SERVICE if chat is None else fixtures.MODEL
    request = routing.RouteRequest(
        name=name,
        chat=chat,
        **fields,  # type: ignore[arg-type]
    )
    return router.choose(request, now=now)


def _choose(
    router: routing.Router, chat: int | None, now: float, **fields: object
) -> str:
    """Returns the target that a request is sent to."""
    choice = _place(router, chat, now, **fields)
    assert isinstance(choice, routing.Send), choice
    return choice.target_id


class PreferenceTest(unittest.TestCase):
    """Tests which target gets a returning chat."""

    def test_all_daemons_prefer_the_same_target_for_a_chat(self) -> None:
        routers = [fixtures.make_warm_router(daemon=i) for i in range(8)]
        for chat in range(50):
            # A daemon's share of the headroom depends on its rank, but not
            # the order of preference.
            preferred = {
                router.rank(fixtures.MODEL, chat)[0] for router in routers
            }
            self.assertEqual(len(preferred), 1)

    def test_a_chat_keeps_its_second_target_while_the_first_is_out(
        self,
    ) -> None:
        router = fixtures.make_warm_router(running=0)
        chats = [c for c in range(200) if _choose(router, c, 1.0) == "e0"]
        router.set_catalogue(
            fixtures.make_catalogue(instances_out=("e0",)), now=1.0
        )
        second = {chat: _choose(router, chat, 1.0) for chat in chats}
        self.assertGreater(len(set(second.values())), 1)
        self.assertEqual(
            second, {chat: _choose(router, chat, 2.0) for chat in chats}
        )
        router.set_catalogue(fixtures.make_catalogue(), now=3.0)
        self.assertEqual({_choose(router, c, 3.0) for c in chats}, {"e0"})


class HeadroomTest(unittest.TestCase):
    """Tests the bounds on a target's load."""

    def test_daemons_together_stay_within_the_headroom_of_one_report(
        self,
    ) -> None:
        routers = [fixtures.make_warm_router(daemon=i) for i in range(8)]
        # With e0 reported well below the others, every daemon prefers it.
        for router in routers:
            router.record_loads(
                [fixtures.make_record("e0", at=1.5, running=2)], now=1.5
            )
        bound = routers[0].find_skew_bound(fixtures.MODEL)
        self.assertEqual(bound, 11)
        sent_to_e0 = 0
        for chat in range(2):
            for router in routers:
                target = _choose(router, chat, 2.0)
                router.start_attempt(target, permit=None, now=2.0)
                sent_to_e0 += target == "e0"
        self.assertGreater(sent_to_e0, 0)
        self.assertLessEqual(2 + sent_to_e0, bound)

    def test_waits_if_every_target_is_at_its_limit(self) -> None:
        router = fixtures.make_warm_router(running=64)
        self.assertIsInstance(_place(router, 1, 1.0), routing.Wait)

    def test_a_service_request_goes_to_the_less_loaded_of_two(self) -> None:
        router = fixtures.make_warm_router()
        first = _choose(router, None, 1.0)
        router.start_attempt(first, permit=None, now=1.0)
        self.assertNotEqual(_choose(router, None, 1.0), first)


class OutOfServiceTest(unittest.TestCase):
    """Tests that targets that may not take new work get none."""

    def test_a_zone_that_is_out_gets_no_request(self) -> None:
        router = fixtures.make_warm_router()
        router.set_catalogue(fixtures.make_catalogue(zones_out=("a",)), now=1.0)
        zones = {
            router.targets[_choose(router, c, 1.0)].instance.availability_zone
            for c in range(100)
        }
        self.assertEqual(zones, {"b", "c"})

    def test_an_attempt_does_not_start_once_its_zone_is_out(
        self,
    ) -> None:
        router = fixtures.make_warm_router()
        target = router.targets[_choose(router, 1, 1.0)]
        zone = target.instance.availability_zone
        router.set_catalogue(
            fixtures.make_catalogue(zones_out=(zone,)), now=1.0
        )
        self.assertFalse(router.start_attempt(target.id, permit=None, now=1.0))

    def test_a_target_leaving_by_list_or_by_report_gets_no_request(
        self,
    ) -> None:
        router = fixtures.make_warm_router()
        router.set_members(fixtures.make_members(leaving=("e0",)), now=1.0)
        leaving = fixtures.make_record(
            "e1", at=2.0, phase=targets_port.Phase.LEAVING
        )
        router.record_loads([leaving], now=2.0)
        target_ids = {_choose(router, chat, 2.0) for chat in range(100)}
        self.assertEqual(target_ids & {"e0", "e1"}, set())

    def test_target_whose_address_a_new_one_has_gets_no_request(self) -> None:
        """Guards against requests to an ended target that is still listed."""
        router = fixtures.make_warm_router()
        listing = fixtures.make_members()
        old = next(item for item in listing.instances if item.id == "e0")
        new = msgspec.structs.replace(old, id="e9")
        members = msgspec.structs.replace(
            listing, instances=[new, *listing.instances]
        )
        router.set_members(members, now=1.0)
        e9_record = fixtures.make_record("e9", at=2.0, running=10)
        router.record_loads([e9_record], now=2.0)
        target_ids = {_choose(router, chat, 2.0) for chat in range(100)}
        self.assertNotIn("e0", target_ids)
        self.assertIn("e9", target_ids)

    def test_rejects_if_every_target_is_out(self) -> None:
        router = fixtures.make_warm_router()
        router.set_catalogue(
            fixtures.make_catalogue(zones_out=("a", "b", "c")), now=1.0
        )
        choice = _place(router, 1, 1.0)
        assert isinstance(choice, errors.Refusal)
        self.assertEqual(choice.code.name, "NO_TARGET")

    def test_an_unreachable_target_gets_no_request_during_its_backoff(
        self,
    ) -> None:
        router = fixtures.make_warm_router()
        target = _choose(router, 1, 1.0)
        router.start_attempt(target, permit=None, now=1.0)
        router.finish_attempt(
            target,
            targets.Outcome.UNREACHABLE,
            first_token_ms=None,
            now=1.0,
        )
        self.assertNotEqual(_choose(router, 1, 1.1), target)


class ColdTest(unittest.TestCase):
    """Tests how requests reach a cold target."""

    def _make_cold(self, *, daemon: int = 0) -> routing.Router:
        """Returns a router with reports of cold and idle engines only."""
        router = fixtures.make_router(daemon=daemon)
        records = [
            fixtures.make_record(f"e{i}", at=1.0, phase=targets_port.Phase.COLD)
            for i in range(5)
        ]
        router.record_loads(records, now=1.0)
        return router

    def test_each_engine_has_one_reserve_among_all_daemons(self) -> None:
        reserved: list[str] = []
        for daemon in range(8):
            router = self._make_cold(daemon=daemon)
            for chat in range(40):
                choice = _place(router, chat, 1.0)
                if isinstance(choice, routing.Send):
                    assert choice.permit is not None
                    reserved.append(choice.target_id)
        self.assertEqual(sorted(reserved), [f"e{i}" for i in range(5)])

    def test_permit_requests_without_a_reserve_are_rate_limited(self) -> None:
        router = self._make_cold()
        placements = [_place(router, chat, 1.0) for chat in range(40)]
        permit_requests = [
            x for x in placements if isinstance(x, routing.RequestPermit)
        ]
        self.assertLessEqual(len(permit_requests), 5)
        self.assertEqual(
            len({x.target_id for x in permit_requests}), len(permit_requests)
        )
        self.assertIsInstance(_place(router, 1, 1.1), routing.Wait)

    def test_no_attempt_at_a_cold_target_starts_without_a_permit(self) -> None:
        router = self._make_cold()
        self.assertFalse(router.start_attempt("e0", permit=None, now=1.0))

    def test_an_expired_permit_starts_no_attempt(self) -> None:
        router = self._make_cold()
        permit = gates.Permit(
            target_id="e0",
            boot_id="b1",
            source=gates.Source.GATE,
            gate="d1",
            number=1,
            fencing=1,
            dispatch_by=2.0,
        )
        self.assertFalse(router.start_attempt("e0", permit=permit, now=2.0))
        self.assertTrue(router.start_attempt("e0", permit=permit, now=1.9))

    def test_chats_stay_at_a_warm_target_while_their_preferred_is_cold(
        self,
    ) -> None:
        router = fixtures.make_warm_router()
        cold = fixtures.make_record(
            "e0", at=2.0, boot_id="b2", phase=targets_port.Phase.COLD
        )
        router.record_loads([cold], now=2.0)
        chats = [
            chat
            for chat in range(400)
            if router.rank(fixtures.MODEL, chat)[0] == "e0"
        ]
        moved = [_place(router, chat, 2.0) for chat in chats]
        warm = [
            x
            for x in moved
            if isinstance(x, routing.Send) and x.target_id != "e0"
        ]
        self.assertGreaterEqual(len(warm), len(chats) - 2)


class CountsTest(unittest.TestCase):
    """Tests the counts that daemons publish to each other."""

    def test_counts_of_all_other_daemons_replace_reports(self) -> None:
        router = fixtures.make_warm_router(running=10)
        for daemon in range(1, 8):
            router.record_counts(f"d{daemon}", {"e0": 2}, now=2.0)
        loads = [router.targets[f"e{i}"].load for i in range(2)]
        self.assertEqual(loads, [14, 0])

    def test_reports_are_used_while_one_daemon_is_silent(self) -> None:
        router = fixtures.make_warm_router(running=10)
        for daemon in range(1, 7):
            router.record_counts(f"d{daemon}", {"e0": 2}, now=2.0)
        self.assertEqual(router.targets["e0"].load, 10)

    def test_counts_near_the_watermark_are_published_early_at_a_limited_rate(
        self,
    ) -> None:
        router = fixtures.make_warm_router(running=10)
        publications: list[float] = []
        router.publish_now = lambda: publications.append(1.0)
        for _ in range(30):
            router.start_attempt("e0", permit=None, now=1.0)
        self.assertEqual(
            len(publications), int(routing.EARLY_PUBLICATION_BURST)
        )

    def test_a_target_that_one_daemon_found_dead_is_cold_to_another(
        self,
    ) -> None:
        first = fixtures.make_warm_router(daemon=0)
        second = fixtures.make_warm_router(daemon=1)
        first.start_attempt("e0", permit=None, now=1.0)
        first.finish_attempt(
            "e0", targets.Outcome.LOST, first_token_ms=None, now=1.5
        )
        second.record_dead_boots(first.list_dead_boots(now=1.6), now=1.6)
        self.assertTrue(second.targets["e0"].is_cold())
        self.assertFalse(second.targets["e1"].is_cold())


if __name__ == "__main__":
    unittest.main()
