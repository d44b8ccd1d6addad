"""Each checker of the soak is shown to fail, and to pass what is right."""

import unittest

from tests.soak import checkers


def make_sent(name: str, kind: str, at: float = 0.0) -> checkers.Sent:
    """Returns a request of team red through daemon 0."""
    return checkers.Sent(
        id=name,
        kind=kind,
        key="key-of-red",
        daemon=0,
        at=at,
        deadline=at + 3.0,
    )


def make_ran(
    name: str,
    kind: str,
    *,
    at: float = 0.1,
    team: str = "red",
    target: str = "i-1",
) -> checkers.Ran:
    """Returns a run of a request."""
    return checkers.Ran(
        id=name, target=target, path=f"/{kind}/1", team=team, at=at
    )


def make_answered(
    name: str,
    body: str,
    *,
    status: int = 200,
    is_whole: bool = True,
    is_signed: bool = True,
    at: float = 0.2,
) -> checkers.Answered:
    """Returns the answer to a request."""
    return checkers.Answered(
        id=name,
        status=status,
        body=body,
        is_whole=is_whole,
        is_signed=is_signed,
        at=at,
    )


class CheckersTest(unittest.TestCase):
    """One broken history for each promise."""

    def setUp(self) -> None:
        self.history = checkers.History(
            sent=[make_sent("a", "pay"), make_sent("b", "chat")],
            ran=[make_ran("a", "pay"), make_ran("b", "chat")],
            answered=[
                make_answered("a", checkers.make_body("a")),
                make_answered("b", checkers.make_stream("b", checkers.EVENTS)),
            ],
            calm_at=0.0,
        )

    def assert_found(self, name: str) -> None:
        """Checks that just one promise is seen broken."""
        found = checkers.check_all(self.history)
        self.assertEqual({line.split(":")[0] for line in found}, {name})

    def test_right_history_passes(self) -> None:
        self.assertEqual(checkers.check_all(self.history), [])

    def test_second_run(self) -> None:
        self.history.ran.append(make_ran("a", "pay", target="i-2"))
        self.assert_found("at-most-once")

    def test_false_refusal(self) -> None:
        self.history.answered[0] = make_answered("a", "", status=503)
        self.history.calm_at = 0.0
        found = checkers.check_true_refusals(self.history)
        self.assertEqual(len(found), 1)

    def test_wrong_answers(self) -> None:
        broken = (
            make_answered("a", checkers.make_body("b")),
            make_answered("a", checkers.make_body("a"), is_signed=False),
            make_answered("a", "other", is_whole=False),
        )
        for answer in broken:
            self.history.answered[0] = answer
            found = checkers.check_whole_answers(self.history)
            self.assertEqual(len(found), 1)

    def test_stream_that_ends_too_soon_as_whole(self) -> None:
        part = checkers.make_stream("b", checkers.EVENTS - 1)
        self.history.answered[1] = make_answered("b", part)
        self.assert_found("whole-answers")

    def test_doubled_event(self) -> None:
        body = checkers.make_stream("b", 2) + checkers.make_stream("b", 6)
        self.history.answered[1] = make_answered("b", body, is_whole=False)
        self.assertEqual(len(checkers.check_whole_answers(self.history)), 1)

    def test_run_that_nobody_asked_for(self) -> None:
        for run in (
            make_ran("c", "pay"),
            make_ran("b", "pay"),
            make_ran("b", "chat", team="blue"),
        ):
            self.history.ran[1] = run
            self.assert_found("asked")

    def test_answer_that_doesn_t_come(self) -> None:
        self.history.answered[0] = make_answered(
            "a", checkers.make_body("a"), at=9.0
        )
        self.assert_found("answered")
        self.history.troubles.append(
            checkers.Trouble(kind="kill", daemon=0, at=1.0, until=2.0)
        )
        self.assertEqual(checkers.check_all(self.history), [])

    def test_run_under_a_removed_key(self) -> None:
        self.history.changes.append(
            checkers.Change(what="key", name="key-of-red", at=-9.0)
        )
        self.assert_found("removed-keys")

    def test_run_at_a_drained_target(self) -> None:
        self.history.changes.append(
            checkers.Change(what="drain", name="i-1", at=-9.0)
        )
        self.assert_found("drained")

    def test_no_recovery(self) -> None:
        self.history.answered[0] = make_answered("a", "", status=502)
        self.assert_found("recovery")
        self.history.calm_at = 5.0
        self.assert_found("recovery")


if __name__ == "__main__":
    unittest.main()
