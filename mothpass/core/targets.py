"""What one daemon knows of each target, and its own calls in flight there."""

import collections
import enum

import msgspec

from mothpass.core import catalogue
from mothpass.core import counts
from mothpass.core import preference
from mothpass.ports import members
from mothpass.ports import targets

BACK_OFF_S = 0.5
BACK_OFF_LIMIT_S = 8.0
FIRST_TOKEN_SAMPLES = 32
FIRST_TOKEN_SAMPLES_MIN = 8
FIXED_COST_TOKENS = 300
SLOW_FACTOR = 1.5
SLOW_FLOOR_MS = 400.0
SLOW_ANSWERS = 2
SUSPICION_S = 5.0


class Outcome(enum.Enum):
    """How one call of a target ended.

    REFUSED means that the target said it did not run the call, UNREACHABLE
    that no byte of it left, and LOST that its answer was cut or never came.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    CANCELLED = "cancelled"


class LoadRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A target's load report, as this daemon or a peer read it.

    Attributes:
        target_id: Instance id of the target.
        boot_id: Changes with each start of the target.
        phase: How ready the target says it is.
        running: Calls in its running batch.
        queued: Calls that wait at the target.
        received_at: Monotonic seconds. The earliest moment at which the
            report can have been sent: for a report read by this daemon the
            moment the read began.
        age_ms: Age of the figures at that moment, peers' time included.
    """

    target_id: str
    boot_id: str
    phase: targets.Phase
    running: int
    queued: int
    received_at: float
    age_ms: int = 0

    @property
    def measured_at(self) -> float:
        """Monotonic seconds of the moment that the figures describe."""
        return self.received_at - self.age_ms / 1000

    @property
    def in_flight(self) -> int:
        """Calls that the target carries, running or queued."""
        return self.running + self.queued


class Target:
    """State of one target at this daemon.

    Attributes:
        instance: Its entry in the membership list.
        record: The newest load report, None before the first.
        own: This daemon's calls in flight there.
        others: Calls of other daemons there, by their counts or by the
            newest report.
        own_told: This daemon's calls there, as far as others know of them.
        known_at: Monotonic seconds of the moment that ``others`` describes.
        cold_start: What it bears while cold, None where it serves no model.
        closed_until: Monotonic seconds before which it is left alone after
            a failure.
        ask_after: Monotonic seconds before which no permit is asked for.
        spread: Hash of the id, the same at each daemon.
        lost_boot_id: Boot id that this daemon found dead last.
        lost_at: Monotonic seconds of that moment.
    """

    __slots__ = (
        "_boot_unknown_since",
        "_failures",
        "_first_token_costs",
        "_own_history",
        "_slow_answers",
        "_suspected_since",
        "backoff_until",
        "cold_start",
        "instance",
        "known_at",
        "lost_at",
        "lost_boot_id",
        "next_permit_request_at",
        "others_in_flight",
        "own_in_flight",
        "own_told",
        "record",
        "spread",
    )

    def __init__(self, *, instance: members.Instance) -> None:
        """Starts with nothing known but the membership entry."""
        self.instance = instance
        self.record: LoadRecord | None = None
        self.own_in_flight = 0
        self.others_in_flight = 0
        self.own_told = 0
        self.known_at = float("-inf")
        self.cold_start: catalogue.ColdStart | None = None
        self.lost_boot_id = ""
        self.lost_at = float("-inf")
        self.spread = preference.hash_name(instance.id)
        self.backoff_until = float("-inf")
        self.next_permit_request_at = float("-inf")
        self._own_history = counts.History()
        self._failures = 0
        self._boot_unknown_since: float | None = None
        self._first_token_costs: collections.deque[float] = collections.deque(
            maxlen=FIRST_TOKEN_SAMPLES
        )
        self._slow_answers = 0
        self._suspected_since: float | None = None

    @property
    def id(self) -> str:
        """Instance id."""
        return self.instance.id

    @property
    def boot_id(self) -> str:
        """Boot id of the newest report, empty where it is not known."""
        if self.record is None or self._boot_unknown_since is not None:
            return ""
        return self.record.boot_id

    @property
    def reported(self) -> int:
        """Calls in flight that all daemons know of."""
        return self.others_in_flight + self.own_told

    @property
    def load(self) -> int:
        """Calls in flight: what others have, and this daemon's own."""
        return self.others_in_flight + self.own_in_flight

    @property
    def growth(self) -> int:
        """Change of this daemon's calls that others do not know of."""
        return self.own_in_flight - self.own_told

    def is_leaving(self) -> bool:
        """Tells whether it takes no new work, by list or by report."""
        if self.instance.state is members.State.LEAVING:
            return True
        record = self.record
        return record is not None and record.phase is targets.Phase.LEAVING

    def is_cold(self) -> bool:
        """Tells whether a call needs a permit.

        A target is cold until a report of its present boot id says that it
        is warm, and again when answers come slowly in spite of the report.
        """
        if self.cold_start is None:
            return False
        if self.record is None or self._boot_unknown_since is not None:
            return True
        if self.record.phase is targets.Phase.COLD:
            return True
        return self.is_suspected()

    def is_suspected(self) -> bool:
        """Tells whether it is cold by its answers, and not by its report."""
        return self._suspected_since is not None

    def record_load(self, record: LoadRecord) -> bool:
        """Takes a report in; returns False where a newer one is known."""
        known = self.record
        if known is not None and record.measured_at < known.measured_at:
            return False
        if known is not None and record.boot_id != known.boot_id:
            self._restart()
        unknown_since = self._boot_unknown_since
        if unknown_since is not None and record.measured_at > unknown_since:
            self._boot_unknown_since = None
        suspected_since = self._suspected_since
        if (
            suspected_since is not None
            and record.phase is targets.Phase.WARM
            and record.measured_at > suspected_since + SUSPICION_S
        ):
            self._suspected_since = None
            self._slow_answers = 0
        self.record = record
        if record.measured_at >= self.known_at:
            self.known_at = record.measured_at
            self.own_told = self._own_history.find(record.measured_at)
            self.others_in_flight = max(0, record.in_flight - self.own_told)
        return True

    def record_counts(self, others: int, *, known_at: float) -> None:
        """Takes in what the other daemons say of their own calls.

        Args:
            others: Calls of all other daemons.
            known_at: Monotonic seconds of the oldest of what they said.
        """
        self.others_in_flight = others
        self.known_at = known_at

    def tell_count(self) -> int:
        """Returns this daemon's calls, as the other daemons are told now."""
        self.own_told = self.own_in_flight
        return self.own_in_flight

    def start_attempt(self, now: float) -> None:
        """Counts one more call of this daemon."""
        self.own_in_flight += 1
        self._own_history.record(self.own_in_flight, now)

    def finish_attempt(self, outcome: Outcome, now: float) -> None:
        """Counts one call less, and backs off after a failure."""
        self.own_in_flight = max(0, self.own_in_flight - 1)
        self._own_history.record(self.own_in_flight, now)
        if outcome is Outcome.ANSWERED:
            self._failures = 0
            return
        if outcome in (Outcome.UNREACHABLE, Outcome.LOST):
            if self.boot_id:
                self.lost_boot_id = self.boot_id
                self.lost_at = now
            self.doubt_boot(now)
        if outcome in (Outcome.UNREACHABLE, Outcome.LOST, Outcome.REFUSED):
            self._failures += 1
            pause = BACK_OFF_S * 2 ** min(self._failures - 1, 8)
            self.backoff_until = now + min(pause, BACK_OFF_LIMIT_S)

    def record_first_token(
        self, first_token_ms: float, *, prompt_tokens: int, now: float
    ) -> None:
        """Compares a first-token time with what is usual here.

        The time is taken for each token of the prompt, as if nothing of it
        had been cached. After ``SLOW_ANSWERS`` slow ones in a row the target
        counts as cold, until an answer comes at the usual speed, or a report
        that is ``SUSPICION_S`` younger says that it is warm.
        """
        cost = first_token_ms / (FIXED_COST_TOKENS + prompt_tokens)
        costs = self._first_token_costs
        known = len(costs) >= FIRST_TOKEN_SAMPLES_MIN
        slow = known and cost > SLOW_FACTOR * max(costs)
        if slow and first_token_ms > SLOW_FLOOR_MS:
            self._slow_answers += 1
            if self._slow_answers >= SLOW_ANSWERS:
                self._suspected_since = now
            return
        self._slow_answers = 0
        self._suspected_since = None
        costs.append(cost)

    def doubt_boot(self, now: float) -> None:
        """Counts it as started anew until a later report shows its boot."""
        self._boot_unknown_since = now

    def note_boot(self, boot_id: str, now: float) -> None:
        """Compares the boot id of an answer with the reported one."""
        known = self.record
        if known is not None and boot_id != known.boot_id:
            self.doubt_boot(now)

    def _restart(self) -> None:
        self._first_token_costs.clear()
        self._slow_answers = 0
        self._suspected_since = None
        self._failures = 0
        self.known_at = float("-inf")
        self.backoff_until = float("-inf")
        self.next_permit_request_at = float("-inf")
