"""Runs a payment at most once with the claims of mothpass.core alone.

The steps come from ``mothpass.core.claims``; the rows are kept in a dictionary
here, where a program of yours would use a table with compare-and-set.
"""

from collections import abc
import time

from mothpass.core import claim_refusals
from mothpass.core import claims
from mothpass.core import errors
from mothpass.ports import tables
from mothpass.ports import targets

KEPT_MS = 86_400_000


class Rows:
    """A table of one process with compare-and-set."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        """Starts empty."""
        self._rows: dict[str, tables.Row] = {}

    def read(self, key: str) -> tables.Row | None:
        """Returns a row, None where there is none."""
        return self._rows.get(key)

    def write(self, write: tables.Write) -> tables.Committed | tables.Conflict:
        """Writes a row if it has the version that is expected."""
        row = self._rows.get(write.key)
        version = row.version if row else 0
        if version != write.expected_version or write.value is None:
            return tables.Conflict(
                table=write.table, key=write.key, version=version
            )
        self._rows[write.key] = tables.Row(
            key=write.key, version=version + 1, value=write.value
        )
        return tables.Committed()


def pay_once(
    rows: Rows,
    *,
    key: str,
    body: bytes,
    token: str,
    pay: abc.Callable[[bytes], bytes],
) -> bytes | errors.Refusal:
    """Pays unless it was paid, or may have been, under the key.

    Args:
        rows: Where claims are kept.
        key: Idempotency key.
        body: What to pay.
        token: Unique id of this attempt.
        pay: Pays and returns the receipt. Raises
            errors.TargetAnswerLostError where it may have paid.

    Returns:
        The receipt, or why there is none and whether it was paid.
    """
    call = _build_call(key, body, token)
    row_key = claims.name_row(call.team, call.service, key)
    found = claims.decode_row(rows.read(row_key))
    wall_ms = int(time.time() * 1000)
    step = claims.examine(call, found, wall_ms=wall_ms)
    if isinstance(step, claims.Take):
        confirmed = claims.confirm(step, rows.write(step.write), call)
        step = confirmed or claims.Wait()
    if isinstance(step, claims.Known):
        return step.claim.body
    if not isinstance(step, claims.Send):
        return _refuse(step)
    return _pay(rows, step.stored, body, pay)


def _pay(
    rows: Rows,
    stored: claims.Stored,
    body: bytes,
    pay: abc.Callable[[bytes], bytes],
) -> bytes | errors.Refusal:
    """Pays under a confirmed claim and stores what came of it."""
    try:
        receipt = pay(body)
    except errors.TargetAnswerLostError:
        _end(rows, stored, claims.end_unknown(stored.claim))
        return claim_refusals.refuse_unknown()
    answer = targets.Answer(
        attempt_id=stored.claim.token, status=200, body=receipt, boot_id=""
    )
    _end(rows, stored, claims.end_result(stored.claim, answer, body_object=""))
    return receipt


def _end(rows: Rows, stored: claims.Stored, end: claims.Claim) -> None:
    write = claims.plan_end(stored, end)
    if write is not None:
        rows.write(write)


def _refuse(step: claims.Wait | errors.Refusal) -> errors.Refusal:
    if isinstance(step, claims.Wait):
        return claim_refusals.refuse_in_progress()
    return step


def _build_call(key: str, body: bytes, token: str) -> claims.Call:
    deadline_s = 5.0
    until_ms = int((time.time() + deadline_s) * 1000)
    return claims.Call(
        team="north",
        service="payment",
        idempotency_key=key,
        body_sha256=claims.hash_body(body),
        token=token,
        deadline=time.monotonic() + deadline_s,
        may_run_until_ms=until_ms,
        kept_until_ms=until_ms + KEPT_MS,
    )


def main() -> None:
    """Pays the same twice and prints both receipts."""
    rows = Rows()
    receipts: list[bytes] = []

    def pay(body: bytes) -> bytes:
        receipts.append(body)
        return b"receipt %d" % len(receipts)

    for token in ("first", "second"):
        print(pay_once(rows, key="k1", body=b"30", token=token, pay=pay))
    print(f"paid {len(receipts)} time")


if __name__ == "__main__":
    main()
