"""Tests that each check of a soak run's history detects violations."""

import unittest

from tests.soak import checkers


def make_sent_request(
    name: str, kind: str, at: float = 0.0
) -> checkers.SentRequest:
    """Returns a request of team red to daemon 0."""
    return checkers.SentRequest(
        id=name,
        kind=kind,
        key="key-of-red",
        daemon=0,
        at=at,
        deadline=at + 3.0,
    )


def make_run(
    name: str,
    kind: str,
    *,
    at: float = 0.1,
    team: str = "red",
    target: str = "i-1",
) -> checkers.Run:
    """Returns a run of a request."""
    return checkers.Run(
        id=name, target=target, path=f"/{kind}/1", team=team, at=at
    )


def make_received_answer(
    name: str,
    body: str,
    *,
    status: int = 200,
    is_whole: bool = True,
    is_signed: bool = True,
    at: float = 0.2,
) -> checkers.ReceivedAnswer:
    """Returns the answer to a request."""
    return checkers.ReceivedAnswer(
        id=name,
        status=status,
        body=body,
        is_whole=is_whole,
        is_signed=is_signed,
        at=at,
    )


class CheckersTest(unittest.TestCase):
    """One violating history for each guarantee."""

    def setUp(self) -> None:
        self.history = checkers.History(
            sent=[
                make_sent_request("a", "pay"),
                make_sent_request("b", "chat"),
            ],
            runs=[make_run("a", "pay"), make_run("b", "chat")],
            answers=[
                make_received_answer("a", checkers.make_body("a")),
                make_received_answer(
                    "b", checkers.make_stream("b", checkers.EVENTS)
                ),
            ],
            faults_ended_at=0.0,
        )

    def assert_violated(self, name: str) -> None:
        """Checks that just one guarantee is reported as violated."""
        found = checkers.check_all(self.history)
        self.assertEqual({line.split(":")[0] for line in found}, {name})

    def test_correct_history_passes(self) -> None:
        self.assertEqual(checkers.check_all(self.history), [])

    def test_second_run(self) -> None:
        self.history.runs.append(make_run("a", "pay", target="i-2"))
        self.assert_violated("at-most-once")

    def test_rejected_request_that_ran(self) -> None:
        self.history.answers[0] = make_received_answer("a", "", status=503)
        self.history.faults_ended_at = 0.0
        found = checkers.check_rejections(self.history)
        self.assertEqual(len(found), 1)

    def test_wrong_answers(self) -> None:
        broken = (
            make_received_answer("a", checkers.make_body("b")),
            make_received_answer("a", checkers.make_body("a"), is_signed=False),
            make_received_answer("a", "other", is_whole=False),
        )
        for answer in broken:
            self.history.answers[0] = answer
            found = checkers.check_whole_answers(self.history)
            self.assertEqual(len(found), 1)

    def test_short_stream_marked_as_complete(self) -> None:
        part = checkers.make_stream("b", checkers.EVENTS - 1)
        self.history.answers[1] = make_received_answer("b", part)
        self.assert_violated("whole-answers")

    def test_duplicate_event(self) -> None:
        body = checkers.make_stream("b", 2) + checkers.make_stream("b", 6)
        self.history.answers[1] = make_received_answer(
            "b", body, is_whole=False
        )
        self.assertEqual(len(checkers.check_whole_answers(self.history)), 1)

    def test_run_without_a_request(self) -> None:
        for run in (
            make_run("c", "pay"),
            make_run("b", "pay"),
            make_run("b", "chat", team="blue"),
        ):
            self.history.runs[1] = run
            self.assert_violated("asked")

    def test_late_answer(self) -> None:
        self.history.answers[0] = make_received_answer(
            "a", checkers.make_body("a"), at=9.0
        )
        self.assert_violated("answered")
        self.history.fault_windows.append(
            checkers.FaultWindow(kind="kill", daemon=0, at=1.0, until=2.0)
        )
        self.assertEqual(checkers.check_all(self.history), [])

    def test_run_under_a_removed_key(self) -> None:
        self.history.changes.append(
            checkers.Change(kind="key", name="key-of-red", at=-9.0)
        )
        self.assert_violated("removed-keys")

    def test_run_at_a_drained_target(self) -> None:
        self.history.changes.append(
            checkers.Change(kind="drain", name="i-1", at=-9.0)
        )
        self.assert_violated("drained")

    def test_no_recovery(self) -> None:
        self.history.answers[0] = make_received_answer("a", "", status=502)
        self.assert_violated("recovery")
        self.history.faults_ended_at = 5.0
        self.assert_violated("recovery")


if __name__ == "__main__":
    unittest.main()
