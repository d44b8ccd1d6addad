"""Reads the status pages of all daemons and formats them as tables."""

from collections import abc
import typing

import msgspec

from mothpass.control import config as configs
from mothpass.control import exits
from mothpass.control import http_client
from mothpass.control import operators
from mothpass.control import outcomes
from mothpass.core import errors
from mothpass.daemon import status_page

_OK = 200
_STORE_LABELS = {True: "up", False: "DOWN", None: "-"}
TableRow = tuple[object, ...]
T = typing.TypeVar("T")


class FleetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status pages of the fleet.

    Attributes:
        complete: Whether every daemon returned its page.
        pages: Received pages, by operators' address.
        missing: Errors of the other daemons, by operators' address.
    """

    complete: bool
    pages: dict[str, status_page.StatusPage]
    missing: dict[str, str]


async def read_fleet_status(config: configs.Config) -> FleetStatus:
    """Reads the status pages of all daemons concurrently."""
    responses = await operators.call_all(config, "/v1/status")
    pages: dict[str, status_page.StatusPage] = {}
    missing: dict[str, str] = {}
    for address, response in responses.items():
        if isinstance(response, errors.MothpassError):
            missing[address] = str(response)
        elif response.status != _OK:
            missing[address] = operators.describe_error(response)
        else:
            _add_page(address, response, pages, missing)
    return FleetStatus(complete=not missing, pages=pages, missing=missing)


def build_outcome(fleet: FleetStatus) -> outcomes.Outcome:
    """Returns the outcome of the ``status`` command."""
    if not fleet.pages:
        lines = [
            f"{address}: {error}" for address, error in fleet.missing.items()
        ]
        return outcomes.fail(exits.Exit.NO_DAEMON, lines)
    return outcomes.Outcome(lines=format_fleet(fleet), data=fleet)


def format_fleet(fleet: FleetStatus) -> list[str]:
    """Returns the lines of the fleet's status tables."""
    pages = list(fleet.pages.values())
    lines = _format_missing(fleet)
    lines += _format_daemons(pages)
    lines += _format_zones(pages)
    lines += _format_targets(pages)
    lines += _format_traffic("TEAM", [page.teams for page in pages])
    lines += _format_traffic("CLASS", [page.classes for page in pages])
    lines += _format_suspects(pages)
    return lines


def _add_page(
    address: str,
    response: http_client.Response,
    pages: dict[str, status_page.StatusPage],
    missing: dict[str, str],
) -> None:
    try:
        page = http_client.decode_body(response, status_page.StatusPage)
    except errors.MothpassError as error:
        missing[address] = str(error)
        return
    pages[address] = page


def _format_missing(fleet: FleetStatus) -> list[str]:
    if fleet.complete:
        return []
    total = len(fleet.pages) + len(fleet.missing)
    lines = [f"PARTIAL: {len(fleet.pages)} of {total} daemons answered"]
    lines += [
        f"  no answer: {address}: {error}"
        for address, error in fleet.missing.items()
    ]
    return [*lines, ""]


def _format_daemons(pages: list[status_page.StatusPage]) -> list[str]:
    rows: list[TableRow] = [
        ("DAEMON", "ZONE", "STATE", "CATALOGUE", "CONTROL B/S", "CORE %")
        + ("STORE R/S", "W/S", "STORE", "PEERS")
    ]
    for page in sorted(pages, key=lambda x: x.id):
        control = page.control
        rows.append(
            (
                page.id,
                page.availability_zone,
                page.state,
                f"{page.catalogue.version} {page.catalogue.digest[:8]}",
                round(control.bytes_per_s),
                _format_percent(control.processor_share),
                f"{control.store_reads_per_s:.1f}",
                f"{control.store_writes_per_s:.1f}",
                _STORE_LABELS[control.store_up],
                f"{control.peers_heard}/{control.peers_known}",
            )
        )
    lines = _format_table(rows)
    versions = {page.catalogue.version for page in pages}
    if len(versions) > 1:
        lines.append(f"catalogue versions differ: {sorted(versions)}")
    return [*lines, ""]


def _format_zones(pages: list[status_page.StatusPage]) -> list[str]:
    newest = _pick_newest_page(pages)
    rows: list[TableRow] = [("ZONE", "SERVICE", "TARGETS")]
    for zone in newest.availability_zones:
        service = "OUT" if zone.out else "in"
        rows.append((zone.name, service, zone.targets))
    return [*_format_table(rows), ""]


def _format_targets(pages: list[status_page.StatusPage]) -> list[str]:
    rows: list[TableRow] = [
        ("TARGET", "ZONE", "SERVES", "STATE", "LOAD/BOUND", "COLD LIMIT")
        + ("GATE", "FENCING", "REPORT AGE MS")
    ]
    views = _group_by(
        (target for page in pages for target in page.targets),
        lambda target: target.id,
    )
    for target_id in sorted(views):
        target = _pick_most_recent(views[target_id])
        gate = _pick_gate(views[target_id])
        rows.append(
            (
                target.id,
                target.availability_zone,
                ",".join(target.serves),
                _describe_state(target),
                f"{target.load}/{target.bound}",
                _format_cell(gate.cold_allowance),
                _format_cell(gate.gate),
                gate.gate_fencing,
                _format_cell(target.report_age_ms),
            )
        )
    return [*_format_table(rows), ""]


def _format_traffic(
    label: str, groups: list[list[status_page.TrafficStatus]]
) -> list[str]:
    rows: list[TableRow] = [
        (label, "REQUESTS", "WHOLE", "REFUSED", "RUN", "WAIT")
        + ("FIRST TOKEN P50 MS", "P95", "WORST P99")
    ]
    views = _group_by(
        (item for group in groups for item in group), lambda item: item.name
    )
    for name in sorted(views):
        items = views[name]
        first_token = [item.first_token for item in items]
        rows.append(
            (
                name,
                sum(item.requests for item in items),
                sum(item.complete for item in items),
                sum(item.refused for item in items),
                sum(item.in_flight for item in items),
                sum(item.queued for item in items),
                f"{_average_quantile(first_token, lambda x: x.p50_ms):.1f}",
                f"{_average_quantile(first_token, lambda x: x.p95_ms):.1f}",
                f"{max(x.p99_ms for x in first_token):.1f}",
            )
        )
    return [*_format_table(rows), ""]


def _format_suspects(pages: list[status_page.StatusPage]) -> list[str]:
    found = {item.fingerprint: item for page in pages for item in page.suspects}
    if not found:
        return ["no request is suspected of crashing targets"]
    rows: list[TableRow] = [("SUSPECT REQUEST", "DEATHS", "REFUSED")]
    for item in found.values():
        refused = "yes" if item.quarantined else "no"
        rows.append((item.fingerprint, item.deaths, refused))
    return _format_table(rows)


def _pick_newest_page(
    pages: list[status_page.StatusPage],
) -> status_page.StatusPage:
    return max(pages, key=lambda page: page.catalogue.version)


def _pick_most_recent(
    views: list[status_page.TargetStatus],
) -> status_page.TargetStatus:
    """Returns the view with the most recent load report."""
    return min(
        views,
        key=lambda x: (x.report_age_ms is None, x.report_age_ms or 0.0),
    )


def _pick_gate(
    views: list[status_page.TargetStatus],
) -> status_page.TargetStatus:
    """Returns the view with the highest fencing token."""
    return max(views, key=lambda x: x.gate_fencing)


def _describe_state(target: status_page.TargetStatus) -> str:
    words = [target.phase or target.state]
    if target.state == "leaving" and target.phase != "leaving":
        words.append("leaving")
    if target.out:
        words.append("OUT")
    return " ".join(words)


def _average_quantile(
    items: list[status_page.Quantiles],
    read_quantile: abc.Callable[[status_page.Quantiles], float],
) -> float:
    """Returns the mean of a quantile over daemons, weighted by counts.

    It is an estimate: exact quantiles can't be computed without the
    histograms.
    """
    count = sum(item.count for item in items)
    if count == 0:
        return 0.0
    return sum(read_quantile(item) * item.count for item in items) / count


def _group_by(
    items: abc.Iterable[T], key: abc.Callable[[T], str]
) -> dict[str, list[T]]:
    groups: dict[str, list[T]] = {}
    for item in items:
        groups.setdefault(key(item), []).append(item)
    return groups


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    return f"{value:.0f}" if isinstance(value, float) else str(value)


def _format_percent(share: float | None) -> str:
    return "-" if share is None else f"{share * 100:.2f}"


def _format_table(rows: list[TableRow]) -> list[str]:
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]
