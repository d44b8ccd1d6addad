"""State of a target at one daemon: load, phase, backoff, own requests."""

import collections
import enum

import msgspec

from mothpass.core import catalogue
from mothpass.core import count_history
from mothpass.core import preference
from mothpass.ports import members
from mothpass.ports import targets

MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
MAX_FIRST_TOKEN_SAMPLES = 32
MIN_FIRST_TOKEN_SAMPLES = 8
FIXED_COST_TOKENS = 300
SLOW_FIRST_TOKEN_RATIO = 1.5
MIN_SLOW_FIRST_TOKEN_MS = 400.0
SLOW_ANSWERS_UNTIL_COLD = 2
MIN_SUSPECTED_COLD_S = 5.0


class Outcome(enum.Enum):
    """How one attempt at a target ended.

    REFUSED means that the target stated it did not run the request,
    UNREACHABLE that no byte of the request was sent, and LOST that the answer
    was cut off or never came.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    CANCELLED = "cancelled"


class LoadRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A target's load report as read by this daemon or a peer.

    Attributes:
        target_id: Instance id of the target.
        boot_id: Changes with each start of the target.
        phase: Phase that the target reports.
        running: Requests in its running batch.
        queued: Requests queued at the target.
        received_at: Earliest monotonic seconds at which the report can have
            been sent; for a report read by this daemon the start of the read.
        age_ms: Age of the figures at that time, relaying by peers included.
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
        """Monotonic seconds at which the figures were taken."""
        return self.received_at - self.age_ms / 1000

    @property
    def in_flight(self) -> int:
        """Requests at the target, running or queued."""
        return self.running + self.queued


class Target:
    """State of one target at this daemon.

    Attributes:
        instance: Entry in the membership list.
        latest_record: Newest load report, None before the first.
        own_in_flight: This daemon's requests in flight at the target.
        others_in_flight: Requests in flight of the other daemons, from the
            counts that they publish or from the newest report.
        own_published: This daemon's requests in flight as last published to
            the other daemons or contained in a report.
        counted_at: Monotonic seconds that ``others_in_flight`` describes.
        cold_start: Limits while the target is cold, None where it serves no
            model.
        backoff_until: Monotonic seconds before which no request is sent, after
            a failure.
        next_permit_request_at: Monotonic seconds before which no permit is
            requested.
        id_hash: Hash of the id, the same at every daemon.
        dead_boot_id: Last boot id that this daemon found dead.
        found_dead_at: Monotonic seconds at which it was found dead.
    """

    __slots__ = (
        "_boot_unknown_since",
        "_failures",
        "_first_token_costs",
        "_own_count_history",
        "_slow_answers",
        "_suspected_cold_since",
        "backoff_until",
        "cold_start",
        "counted_at",
        "dead_boot_id",
        "found_dead_at",
        "id_hash",
        "instance",
        "latest_record",
        "next_permit_request_at",
        "others_in_flight",
        "own_in_flight",
        "own_published",
    )

    def __init__(self, *, instance: members.Instance) -> None:
        """Starts without a load report and without requests in flight."""
        self.instance = instance
        self.latest_record: LoadRecord | None = None
        self.own_in_flight = 0
        self.others_in_flight = 0
        self.own_published = 0
        self.counted_at = float("-inf")
        self.cold_start: catalogue.ColdStart | None = None
        self.dead_boot_id = ""
        self.found_dead_at = float("-inf")
        self.id_hash = preference.hash_name(instance.id)
        self.backoff_until = float("-inf")
        self.next_permit_request_at = float("-inf")
        self._own_count_history = count_history.CountHistory()
        self._failures = 0
        self._boot_unknown_since: float | None = None
        self._first_token_costs: collections.deque[float] = collections.deque(
            maxlen=MAX_FIRST_TOKEN_SAMPLES
        )
        self._slow_answers = 0
        self._suspected_cold_since: float | None = None

    @property
    def id(self) -> str:
        """Instance id."""
        return self.instance.id

    @property
    def boot_id(self) -> str:
        """Boot id of the newest report, empty after a possible restart."""
        if self.latest_record is None or self._boot_unknown_since is not None:
            return ""
        return self.latest_record.boot_id

    @property
    def published_load(self) -> int:
        """Requests in flight that all daemons know of."""
        return self.others_in_flight + self.own_published

    @property
    def load(self) -> int:
        """Requests in flight of the other daemons and this one."""
        return self.others_in_flight + self.own_in_flight

    @property
    def unpublished(self) -> int:
        """Change of this daemon's count since it was last published."""
        return self.own_in_flight - self.own_published

    def is_leaving(self) -> bool:
        """Returns whether the membership list or a report says it leaves."""
        if self.instance.state is members.State.LEAVING:
            return True
        record = self.latest_record
        return record is not None and record.phase is targets.Phase.LEAVING

    def is_cold(self) -> bool:
        """Returns whether the target is cold, so that a request needs a permit.

        A target is cold until a report of its present boot id says that it
        is warm, and again while first tokens are slow in spite of the report.
        """
        if self.cold_start is None:
            return False
        if self.latest_record is None or self._boot_unknown_since is not None:
            return True
        if self.latest_record.phase is targets.Phase.COLD:
            return True
        return self.is_suspected_cold()

    def is_suspected_cold(self) -> bool:
        """Returns whether slow first tokens make it count as cold."""
        return self._suspected_cold_since is not None

    def record_load(self, record: LoadRecord) -> bool:
        """Records a load report; returns False if a newer one is known."""
        known = self.latest_record
        if known is not None and record.measured_at < known.measured_at:
            return False
        if known is not None and record.boot_id != known.boot_id:
            self._reset_after_restart()
        unknown_since = self._boot_unknown_since
        if unknown_since is not None and record.measured_at > unknown_since:
            self._boot_unknown_since = None
        suspected_cold_since = self._suspected_cold_since
        if (
            suspected_cold_since is not None
            and record.phase is targets.Phase.WARM
            and record.measured_at > suspected_cold_since + MIN_SUSPECTED_COLD_S
        ):
            self._suspected_cold_since = None
            self._slow_answers = 0
        self.latest_record = record
        if record.measured_at >= self.counted_at:
            self.counted_at = record.measured_at
            self.own_published = self._own_count_history.find_at(
                record.measured_at
            )
            self.others_in_flight = max(
                0, record.in_flight - self.own_published
            )
        return True

    def record_counts(self, others: int, *, counted_at: float) -> None:
        """Records the counts that the other daemons published.

        Args:
            others: Requests in flight of all other daemons.
            counted_at: Monotonic seconds of the oldest of their counts.
        """
        self.others_in_flight = others
        self.counted_at = counted_at

    def publish_count(self) -> int:
        """Marks this daemon's count as published and returns it."""
        self.own_published = self.own_in_flight
        return self.own_in_flight

    def start_attempt(self, now: float) -> None:
        """Counts an attempt of this daemon as in flight."""
        self.own_in_flight += 1
        self._own_count_history.record(self.own_in_flight, now)

    def finish_attempt(self, outcome: Outcome, now: float) -> None:
        """Ends an attempt of this daemon; a failure starts a backoff."""
        self.own_in_flight = max(0, self.own_in_flight - 1)
        self._own_count_history.record(self.own_in_flight, now)
        if outcome is Outcome.ANSWERED:
            self._failures = 0
            return
        if outcome in (Outcome.UNREACHABLE, Outcome.LOST):
            if self.boot_id:
                self.dead_boot_id = self.boot_id
                self.found_dead_at = now
            self.mark_boot_unknown(now)
        if outcome in (Outcome.UNREACHABLE, Outcome.LOST, Outcome.REFUSED):
            self._failures += 1
            backoff_s = MIN_BACKOFF_S * 2 ** min(self._failures - 1, 8)
            self.backoff_until = now + min(backoff_s, MAX_BACKOFF_S)

    def record_first_token(
        self, first_token_ms: float, *, prompt_tokens: int, now: float
    ) -> None:
        """Compares a time to first token with earlier ones of the target.

        The time is divided by the tokens of the prompt, as if none of them
        had been cached, plus ``FIXED_COST_TOKENS``. After
        ``SLOW_ANSWERS_UNTIL_COLD`` slow answers in a row the target counts as
        cold until an answer comes at the usual speed, or until a report that
        is more than ``MIN_SUSPECTED_COLD_S`` younger says that it is warm.
        """
        cost = first_token_ms / (FIXED_COST_TOKENS + prompt_tokens)
        costs = self._first_token_costs
        has_baseline = len(costs) >= MIN_FIRST_TOKEN_SAMPLES
        is_slow = has_baseline and cost > SLOW_FIRST_TOKEN_RATIO * max(costs)
        if is_slow and first_token_ms > MIN_SLOW_FIRST_TOKEN_MS:
            self._slow_answers += 1
            if self._slow_answers >= SLOW_ANSWERS_UNTIL_COLD:
                self._suspected_cold_since = now
            return
        self._slow_answers = 0
        self._suspected_cold_since = None
        costs.append(cost)

    def mark_boot_unknown(self, now: float) -> None:
        """Treats the target as restarted until a later report is read."""
        self._boot_unknown_since = now

    def check_boot_id(self, boot_id: str, now: float) -> None:
        """Marks the boot id as unknown if an answer has another one."""
        known = self.latest_record
        if known is not None and boot_id != known.boot_id:
            self.mark_boot_unknown(now)

    def _reset_after_restart(self) -> None:
        self._first_token_costs.clear()
        self._slow_answers = 0
        self._suspected_cold_since = None
        self._failures = 0
        self.counted_at = float("-inf")
        self.backoff_until = float("-inf")
        self.next_permit_request_at = float("-inf")
