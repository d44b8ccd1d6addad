"""Tests of which software version may go on with a stream."""

import unittest

import msgspec

from mothpass.core import stream_origins
from mothpass.core import target_table
from mothpass.relay import gossip
from tests import registrations

_DAEMONS = 195
# Streams that begin at each daemon, well above the deployments' peaks.
_STREAMS_PER_S = 8.0
_ONE = frozenset({1})
_TWO = frozenset({1, 2})


def make_versions(
    known: frozenset[int], *, is_complete: bool = True
) -> stream_origins.Versions:
    """Returns versions that have served of late."""
    return stream_origins.Versions(known=known, is_complete=is_complete)


def answer(
    recorded: int | None = None,
    *,
    known: frozenset[int] = _ONE,
    is_complete: bool = True,
    is_confirmed: bool = True,
) -> stream_origins.Answer:
    """Returns what a daemon answers."""
    return stream_origins.answer_origin(
        recorded=recorded,
        versions=make_versions(known, is_complete=is_complete),
        is_confirmed=is_confirmed,
    )


class AnswerTest(unittest.TestCase):
    """What a daemon knows by itself."""

    def test_recorded_version_goes_before_all(self) -> None:
        self.assertEqual(
            answer(
                7, known=_TWO, is_complete=False, is_confirmed=False
            ).version,
            7,
        )

    def test_only_version_is_certain_at_a_daemon_that_is_confirmed(
        self,
    ) -> None:
        self.assertEqual(answer().version, 1)
        for uncertain in (
            answer(is_complete=False),
            answer(is_confirmed=False),
            answer(known=frozenset()),
        ):
            self.assertEqual(uncertain, stream_origins.Answer())

    def test_several_versions_are_ambiguous(self) -> None:
        self.assertTrue(answer(known=_TWO).is_ambiguous)


class GapTest(unittest.TestCase):
    """A daemon whose targets may have come and gone unseen."""

    def test_daemon_with_a_gap_leaves_the_version_to_peers(self) -> None:
        """Guards against a version that only others have seen."""
        history = stream_origins.VersionHistory()
        history.record_start(0.0)
        table = target_table.TargetTable()
        table.put(registrations.make_registration(1), 0.0)
        registered = table.list_registered("models")
        history.record_gap(100.0)
        gap = history.assess("models", registered, 101.0)
        own = stream_origins.answer_origin(
            recorded=None, versions=gap, is_confirmed=True
        )
        self.assertEqual(own, stream_origins.Answer())
        for answers, version in (
            ([own], None),
            ([own, stream_origins.Answer(version=7)], 7),
            ([own, stream_origins.Answer(is_ambiguous=True)], None),
        ):
            with self.subTest(answers=answers):
                merged = stream_origins.merge_answers(
                    answers, versions=gap, is_confirmed=True
                )
                self.assertEqual(merged, version)
        later = history.assess(
            "models", registered, 101.0 + stream_origins.LIFETIME_S
        )
        self.assertFalse(later.has_gap)


class MergeTest(unittest.TestCase):
    """What a daemon makes of its peers' answers."""

    def merge(
        self,
        *answers: stream_origins.Answer,
        known: frozenset[int] = _ONE,
        is_confirmed: bool = True,
    ) -> int | None:
        return stream_origins.merge_answers(
            answers, versions=make_versions(known), is_confirmed=is_confirmed
        )

    def test_peer_that_knows_decides(self) -> None:
        known = stream_origins.Answer(version=2)
        ambiguous = stream_origins.Answer(is_ambiguous=True)
        self.assertEqual(self.merge(ambiguous, known, known=_TWO), 2)

    def test_peers_that_differ_decide_nothing(self) -> None:
        answers = [stream_origins.Answer(version=item) for item in (1, 2)]
        self.assertIsNone(self.merge(*answers))

    def test_ambiguous_answer_excludes_a_guess(self) -> None:
        """Guards against a version that left before this daemon started."""
        ambiguous = stream_origins.Answer(is_ambiguous=True)
        self.assertIsNone(self.merge(ambiguous, stream_origins.Answer()))

    def test_streams_go_on_after_the_loss_of_all_daemons(self) -> None:
        """Guards against refusals while no daemon has been up for long."""
        self.assertEqual(self.merge(stream_origins.Answer()), 1)
        self.assertEqual(self.merge(), 1)
        self.assertIsNone(self.merge(known=_TWO))
        self.assertIsNone(self.merge(is_confirmed=False))


class OriginsTest(unittest.TestCase):
    """Origins that daemons record and announce."""

    def test_announcements_of_a_large_fleet_are_bounded_and_complete(
        self,
    ) -> None:
        """Guards against datagrams that grow with the streams of a fleet."""
        origins = stream_origins.StreamOrigins()
        interval_s = (_DAEMONS - 1) / gossip.MAX_SENDS_PER_S
        announced: set[int] = set()
        begun: set[int] = set()
        for round_number in range(60):
            now = round_number * interval_s
            for number in range(int(_STREAMS_PER_S * interval_s)):
                stream = stream_origins.fingerprint(f"{round_number} {number}")
                begun.add(stream)
                origins.record(stream_origins.Origin(stream, 1), now)
            taken = origins.take_announcements(
                gossip.MAX_STREAM_ORIGINS_PER_MESSAGE
            )
            self.assertLessEqual(len(msgspec.msgpack.encode(taken)), 480)
            announced.update(item.stream for item in taken)
        self.assertEqual(announced, begun)

    def test_origins_are_kept_for_a_lifetime_and_not_for_good(self) -> None:
        origins = stream_origins.StreamOrigins()
        origins.record(stream_origins.Origin(5, 1), 100.0)
        late = 100.0 + stream_origins.LIFETIME_S - 0.1
        origins.merge([stream_origins.Origin(6, 1)], late)
        self.assertEqual(origins.find(5), 1)
        for turn in range(1, 4):
            at = late + turn * stream_origins.LIFETIME_S
            origins.merge([stream_origins.Origin(10 + turn, 1)], at)
        self.assertIsNone(origins.find(5))
