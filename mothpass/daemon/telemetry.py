"""Logs, metrics and histograms of the daemon."""

import collections
import logging
import sys

from hdrh import histogram
import msgspec
import statsd

from mothpass.adapters import event_log
from mothpass.core import results
from mothpass.daemon import settings
from mothpass.daemon import status_page

MAX_RECORDED_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
# The histograms of one team take about 100 KB; the least recently active teams
# are evicted first.
MAX_TEAMS = 256
_EXTRA_FIELDS = (
    "request_id",
    "team",
    "service_class",
    "target",
    "code",
    "ms",
    "attempts",
    "task",
    "detail",
    "lines_dropped",
)
# A daemon logs a line for each request, and handles hundreds a second.
MAX_LINES_PER_S = 2000.0


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns a JSON object with the record and its known extra fields."""
        line: dict[str, object] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        for name in _EXTRA_FIELDS:
            value = getattr(record, name, None)
            if value is not None:
                line[name] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def start_logging(level: str) -> None:
    """Writes all logs to standard error as JSON lines.

    A line that can't be written is dropped; the daemon never waits for its log.

    Args:
        level: Minimum level that is logged, as in the settings.
    """
    handler = event_log.LineHandler(
        sys.stderr.fileno(), max_lines_per_s=MAX_LINES_PER_S
    )
    handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)


class EndedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """How one request ended.

    Attributes:
        request_id: Id of the request.
        team: Team; empty if none was found.
        service_class: Service class; empty if none was found.
        name: Model or service; empty if none was found.
        target: Target of the last attempt; empty if there was none.
        code: Result code.
        attempts: Number of attempts.
        first_token_ms: Time to the first event; None if there was none.
        whole_ms: Time to the end of the answer.
        added_ms: Latency added by the daemon: the time from the request's
            arrival until its last attempt was sent; None without an attempt.
    """

    request_id: str
    team: str = ""
    service_class: str = ""
    name: str = ""
    target: str = ""
    code: results.Code = results.Code.OK
    attempts: int = 0
    first_token_ms: float | None = None
    whole_ms: float = 0.0
    added_ms: float | None = None


class TrafficRecord:
    """Counts and histograms of one team or service class."""

    __slots__ = (
        "_added",
        "_first_token",
        "_whole",
        "complete",
        "in_flight",
        "refused",
        "requests",
    )

    def __init__(self) -> None:
        """Starts with no request counted."""
        self.requests = 0
        self.complete = 0
        self.refused = 0
        self.in_flight = 0
        self._first_token = _create_histogram()
        self._whole = _create_histogram()
        self._added = _create_histogram()

    def record(self, ended: EndedRequest) -> None:
        """Counts an ended request, except one whose client disconnected."""
        if ended.code is results.Code.CALLER_GONE:
            return
        if ended.code is not results.Code.OK:
            self.refused += 1
            return
        self.complete += 1
        _record_ms(self._whole, ended.whole_ms)
        _record_ms(self._first_token, ended.first_token_ms)
        _record_ms(self._added, ended.added_ms)

    def summarize(self, name: str) -> status_page.TrafficStatus:
        """Returns the counts and quantiles for the status page."""
        return status_page.TrafficStatus(
            name=name,
            requests=self.requests,
            complete=self.complete,
            refused=self.refused,
            in_flight=self.in_flight,
            first_token=_compute_quantiles(self._first_token),
            whole=_compute_quantiles(self._whole),
            added=_compute_quantiles(self._added),
        )


class Telemetry:
    """Logs ended requests and records their counts and latencies."""

    __slots__ = ("_classes", "_logger", "_statsd", "_teams")

    def __init__(
        self,
        *,
        client: statsd.StatsClient | None,
        logger: logging.Logger,
    ) -> None:
        """Starts with no request counted.

        Args:
            client: Client of the statsd server; None sends no metrics.
            logger: Logger for ended requests.
        """
        self._statsd = client
        self._logger = logger
        self._teams: collections.OrderedDict[str, TrafficRecord] = (
            collections.OrderedDict()
        )
        self._classes: dict[str, TrafficRecord] = {}

    def start_request(self, team: str, service_class: str) -> None:
        """Counts the start of a request of a known team."""
        for traffic in self._find_records(team, service_class):
            traffic.requests += 1
            traffic.in_flight += 1

    def end_request(self, ended: EndedRequest) -> None:
        """Records, sends and logs the end of a request."""
        if ended.team:
            for traffic in self._find_records(ended.team, ended.service_class):
                traffic.in_flight -= 1
                traffic.record(ended)
        self._send_metrics(ended)
        failed = ended.code >= results.Code.TARGET_FAILED
        self._logger.log(
            logging.WARNING if failed else logging.INFO,
            "request ended",
            extra={
                "request_id": ended.request_id,
                "team": ended.team,
                "service_class": ended.service_class,
                "target": ended.target,
                "code": int(ended.code),
                "ms": round(ended.whole_ms, 1),
                "attempts": ended.attempts,
            },
        )

    def send_gauge(self, name: str, value: int) -> None:
        """Sends a gauge to the statsd server."""
        if self._statsd is not None:
            self._statsd.gauge(name, value)

    def count_loop_end(self, name: str) -> None:
        """Sends the end of a loop that starts again to the statsd server."""
        if self._statsd is not None:
            self._statsd.incr(f"tasks.ended.{name}")

    def list_teams(self) -> list[status_page.TrafficStatus]:
        """Returns the traffic of the teams, sorted by name."""
        return [
            item.summarize(name) for name, item in sorted(self._teams.items())
        ]

    def list_classes(self) -> list[status_page.TrafficStatus]:
        """Returns the traffic of the service classes, sorted by name."""
        return [
            item.summarize(name) for name, item in sorted(self._classes.items())
        ]

    def _find_records(
        self, team: str, service_class: str
    ) -> tuple[TrafficRecord, TrafficRecord]:
        by_team = self._teams.get(team)
        if by_team is None:
            by_team = TrafficRecord()
            self._teams[team] = by_team
            self._evict_idle_team()
        self._teams.move_to_end(team)
        by_class = self._classes.get(service_class)
        if by_class is None:
            by_class = self._classes[service_class] = TrafficRecord()
        return by_team, by_class

    def _evict_idle_team(self) -> None:
        """Bounds memory by evicting the least recently active team.

        A team with requests in flight is kept.
        """
        if len(self._teams) <= MAX_TEAMS:
            return
        for name, traffic in self._teams.items():
            if traffic.in_flight == 0 and traffic.requests > 0:
                del self._teams[name]
                return

    def _send_metrics(self, ended: EndedRequest) -> None:
        if self._statsd is None:
            return
        class_name = ended.service_class or "none"
        with self._statsd.pipeline() as batch:
            batch.incr(f"requests.{class_name}.{ended.code.name.lower()}")
            batch.timing(f"whole.{class_name}", ended.whole_ms)
            if ended.first_token_ms is not None:
                batch.timing(f"first_token.{class_name}", ended.first_token_ms)
            if ended.added_ms is not None:
                batch.timing(f"added.{class_name}", ended.added_ms)


def build_telemetry(telemetry_settings: settings.Telemetry) -> Telemetry:
    """Builds the telemetry that the settings specify."""
    client = None
    if telemetry_settings.statsd_address is not None:
        host, _, port = telemetry_settings.statsd_address.rpartition(":")
        client = statsd.StatsClient(host, int(port), prefix="mothpass")
    return Telemetry(
        client=client, logger=logging.getLogger("mothpass.requests")
    )


def _create_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)


def _record_ms(latencies: histogram.HdrHistogram, value: float | None) -> None:
    if value is not None:
        latencies.record_value(min(MAX_RECORDED_US, max(1, int(value * 1000))))


def _compute_quantiles(
    latencies: histogram.HdrHistogram,
) -> status_page.Quantiles:
    if latencies.get_total_count() == 0:
        return status_page.Quantiles()
    return status_page.Quantiles(
        count=latencies.get_total_count(),
        p50_ms=latencies.get_value_at_percentile(50) / 1000,
        p95_ms=latencies.get_value_at_percentile(95) / 1000,
        p99_ms=latencies.get_value_at_percentile(99) / 1000,
        max_ms=latencies.get_max_value() / 1000,
    )
