"""Tests of the paths to targets, as a daemon's connections show them."""

import random
import unittest

from mothpass.core import target_paths

_IDS = ("i-1", "i-2", "i-3")


class TargetPathsTest(unittest.TestCase):
    """When a daemon counts as cut off from a service."""

    def setUp(self) -> None:
        self.paths = target_paths.TargetPaths()

    def is_cut_off(self, now: float) -> bool:
        return self.paths.is_cut_off("models", _IDS, now)

    def test_one_unreachable_target_is_not_the_path(self) -> None:
        """Guards against peers that get the work of a crashed target."""
        for at in range(5):
            self.paths.record_unreachable("models", "i-1", float(at))
        self.assertFalse(self.is_cut_off(4.0))
        self.assertTrue(self.paths.is_suspected("models", 4.0))

    def test_two_unreachable_targets_in_a_row_are_the_path(self) -> None:
        self.paths.record_unreachable("models", "i-1", 1.0)
        self.paths.record_unreachable("models", "i-2", 1.3)
        self.assertTrue(self.is_cut_off(1.3))
        self.assertFalse(self.paths.has_tried_all("models", _IDS, 1.3))
        self.paths.record_unreachable("models", "i-3", 1.6)
        self.assertTrue(self.paths.has_tried_all("models", _IDS, 1.6))

    def test_connection_in_between_excludes_the_path(self) -> None:
        self.paths.record_unreachable("models", "i-1", 1.0)
        self.paths.record_connected("models", 1.1)
        self.paths.record_unreachable("models", "i-2", 1.3)
        self.assertFalse(self.is_cut_off(1.3))

    def test_only_target_of_a_service_is_the_path(self) -> None:
        self.paths.record_unreachable("models", "i-1", 1.0)
        self.assertTrue(self.paths.is_cut_off("models", ["i-1"], 1.0))

    def test_services_are_apart(self) -> None:
        for target_id in _IDS:
            self.paths.record_unreachable("plain", target_id, 1.0)
        self.assertFalse(self.is_cut_off(1.0))

    def test_evidence_has_an_age(self) -> None:
        """Guards against failures far apart that add up to a lost path."""
        self.paths.record_unreachable("models", "i-1", 1.0)
        self.paths.record_unreachable("models", "i-2", 60.0)
        self.assertFalse(self.is_cut_off(60.0))
        self.assertFalse(self.paths.is_suspected("models", 90.0))

    def test_slow_failure_without_a_connection_may_be_the_path(self) -> None:
        """Guards against a second wait for the connection timeout."""
        self.paths.record_connected("models", 0.9)

        def may_be_cut_off(attempted_at: float) -> bool:
            return self.paths.may_be_cut_off(
                "models", attempted_at=attempted_at, now=1.3
            )

        self.assertTrue(may_be_cut_off(1.0))
        # Another connection was opened meanwhile.
        self.assertFalse(may_be_cut_off(0.8))
        # A refused connection leaves time for another target.
        self.assertFalse(may_be_cut_off(1.29))


class PickPeerTest(unittest.TestCase):
    """Which peer takes a request."""

    def make_peer(
        self, number: int, zone: str, *cut_off: str
    ) -> target_paths.PeerPath:
        return target_paths.PeerPath(
            id=f"front-{number}",
            address=f"10.0.0.{number}:1",
            availability_zone=zone,
            cut_off_services=list(cut_off),
        )

    def pick(
        self, *peers: target_paths.PeerPath, tried: tuple[str, ...] = ()
    ) -> str | None:
        peer = target_paths.pick_peer(
            peers,
            service="models",
            availability_zone="a",
            tried=tried,
            random=random.Random(1),
        )
        return None if peer is None else peer.id

    def test_peer_in_the_same_zone_goes_first(self) -> None:
        peers = [self.make_peer(n, "b") for n in range(20)]
        self.assertEqual(self.pick(*peers, self.make_peer(20, "a")), "front-20")

    def test_peer_without_a_path_is_left_out(self) -> None:
        """Guards against requests that go from one cut daemon to another."""
        near = self.make_peer(1, "a", "models")
        far = self.make_peer(2, "b", "plain")
        self.assertEqual(self.pick(near, far), "front-2")
        self.assertIsNone(self.pick(near))

    def test_peer_that_was_tried_is_left_out(self) -> None:
        peers = self.make_peer(1, "a"), self.make_peer(2, "b")
        self.assertEqual(self.pick(*peers, tried=("front-1",)), "front-2")

    def test_peer_of_an_older_release_is_left_out(self) -> None:
        """Guards against requests that a peer doesn't understand."""
        self.assertIsNone(self.pick(self.make_peer(1, "")))
