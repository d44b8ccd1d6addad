"""Logs, metrics and histograms of the daemon."""

import collections
import logging
import sys

from hdrh import histogram
import msgspec
import statsd

from mothpass.core import results
from mothpass.daemon import settings
from mothpass.daemon import status_page

HIGHEST_US = 3_600_000_000
DIGITS = 2
# The histograms of one team take about 100 KB; teams that were quiet the
# longest are forgotten first.
TEAMS_KEPT = 256
_EXTRA_FIELDS = (
    "request_id",
    "team",
    "service_class",
    "target",
    "code",
    "ms",
    "attempts",
    "detail",
)


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns time, level, logger, event and the known extra fields."""
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
    """Sends all logs to standard error as JSON lines.

    Args:
        level: Lowest level that is logged, as in the settings.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)


class EndedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """How one request ended.

    Attributes:
        request_id: Names the request.
        team: Team, empty where none was found.
        service_class: Class, empty where none was found.
        name: Model or service, empty where none was found.
        target: Target of the last attempt, empty where there was none.
        code: Result.
        attempts: Attempts made.
        first_token_ms: Time to the first event, None where there was none.
        whole_ms: Time to the end of the answer.
        added_ms: Part of the time to the first event, or of the whole where
            there are no events, that wasn't spent waiting for targets.
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


class Traffic:
    """Counts and histograms of one team or class since the start."""

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
        """Starts with nothing counted."""
        self.requests = 0
        self.complete = 0
        self.refused = 0
        self.in_flight = 0
        self._first_token = _make_histogram()
        self._whole = _make_histogram()
        self._added = _make_histogram()

    def record(self, ended: EndedRequest) -> None:
        """Counts a request that ended."""
        if ended.code is results.Code.CALLER_GONE:
            return
        if ended.code is not results.Code.OK:
            self.refused += 1
            return
        self.complete += 1
        _record_ms(self._whole, ended.whole_ms)
        _record_ms(self._first_token, ended.first_token_ms)
        _record_ms(self._added, ended.added_ms)

    def show(self, name: str) -> status_page.TrafficStatus:
        """Returns the figures for the status page."""
        return status_page.TrafficStatus(
            name=name,
            requests=self.requests,
            complete=self.complete,
            refused=self.refused,
            in_flight=self.in_flight,
            first_token=_summarize(self._first_token),
            whole=_summarize(self._whole),
            added=_summarize(self._added),
        )


class Telemetry:
    """Where the daemon reports what happens to requests."""

    __slots__ = ("_classes", "_log", "_statsd", "_teams")

    def __init__(
        self,
        *,
        client: statsd.StatsClient | None,
        log: logging.Logger,
    ) -> None:
        """Starts with nothing counted.

        Args:
            client: Where metrics go, None for nowhere.
            log: Where ended requests are logged.
        """
        self._statsd = client
        self._log = log
        self._teams: collections.OrderedDict[str, Traffic] = (
            collections.OrderedDict()
        )
        self._classes: dict[str, Traffic] = {}

    def start_request(self, team: str, service_class: str) -> None:
        """Counts a request of a team that is known."""
        for traffic in self._find(team, service_class):
            traffic.requests += 1
            traffic.in_flight += 1

    def end_request(self, ended: EndedRequest) -> None:
        """Counts and logs the end of a request."""
        if ended.team:
            for traffic in self._find(ended.team, ended.service_class):
                traffic.in_flight -= 1
                traffic.record(ended)
        self._send(ended)
        failed = ended.code >= results.Code.TARGET_FAILED
        self._log.log(
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

    def gauge(self, name: str, value: int) -> None:
        """Sends a count since the start."""
        if self._statsd is not None:
            self._statsd.gauge(name, value)

    def list_teams(self) -> list[status_page.TrafficStatus]:
        """Returns the figures of the teams, by name."""
        return [item.show(name) for name, item in sorted(self._teams.items())]

    def list_classes(self) -> list[status_page.TrafficStatus]:
        """Returns the figures of the classes, by name."""
        return [item.show(name) for name, item in sorted(self._classes.items())]

    def _find(self, team: str, service_class: str) -> tuple[Traffic, Traffic]:
        by_team = self._teams.get(team)
        if by_team is None:
            by_team = Traffic()
            self._teams[team] = by_team
            self._forget_quiet_team()
        self._teams.move_to_end(team)
        by_class = self._classes.get(service_class)
        if by_class is None:
            by_class = self._classes[service_class] = Traffic()
        return by_team, by_class

    def _forget_quiet_team(self) -> None:
        """Keeps the memory bounded; a team with requests running stays."""
        if len(self._teams) <= TEAMS_KEPT:
            return
        for name, traffic in self._teams.items():
            if traffic.in_flight == 0 and traffic.requests > 0:
                del self._teams[name]
                return

    def _send(self, ended: EndedRequest) -> None:
        if self._statsd is None:
            return
        group = ended.service_class or "none"
        with self._statsd.pipeline() as batch:
            batch.incr(f"requests.{group}.{ended.code.name.lower()}")
            batch.timing(f"whole.{group}", ended.whole_ms)
            if ended.first_token_ms is not None:
                batch.timing(f"first_token.{group}", ended.first_token_ms)
            if ended.added_ms is not None:
                batch.timing(f"added.{group}", ended.added_ms)


def build_telemetry(chosen: settings.Telemetry) -> Telemetry:
    """Builds the telemetry that the settings ask for."""
    client = None
    if chosen.statsd_address is not None:
        host, _, port = chosen.statsd_address.rpartition(":")
        client = statsd.StatsClient(host, int(port), prefix="mothpass")
    return Telemetry(client=client, log=logging.getLogger("mothpass.requests"))


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, HIGHEST_US, DIGITS)


def _record_ms(target: histogram.HdrHistogram, value: float | None) -> None:
    if value is not None:
        target.record_value(min(HIGHEST_US, max(1, int(value * 1000))))


def _summarize(source: histogram.HdrHistogram) -> status_page.Quantiles:
    if source.get_total_count() == 0:
        return status_page.Quantiles()
    return status_page.Quantiles(
        count=source.get_total_count(),
        p50_ms=source.get_value_at_percentile(50) / 1000,
        p95_ms=source.get_value_at_percentile(95) / 1000,
        p99_ms=source.get_value_at_percentile(99) / 1000,
        max_ms=source.get_max_value() / 1000,
    )
