"""Runs a payment at most once with the claims of mothpass.core alone.

The steps come from ``mothpass.core.claims``. Rows are kept in a dictionary
here; a real program uses a table with conditional writes.
"""

from collections import abc
import time

from mothpass.core import claim_refusals
from mothpass.core import claims
from mothpass.core import errors
from mothpass.ports import tables
from mothpass.ports import targets

RESULT_KEPT_MS = 86_400_000


class ClaimRows:
    """Table in memory with conditional writes."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        """Starts empty."""
        self._rows: dict[str, tables.Row] = {}

    def read(self, key: str) -> tables.Row | None:
        """Returns a row, or None where there is none."""
        return self._rows.get(key)

    def write(self, write: tables.Write) -> tables.Committed | tables.Conflict:
        """Writes a row where it has the expected version."""
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
    rows: ClaimRows,
    *,
    key: str,
    body: bytes,
    token: str,
    pay: abc.Callable[[bytes], bytes],
) -> bytes | errors.Refusal:
    """Pays unless a payment under the key was made or may have been made.

    Args:
        rows: Table of claims.
        key: Idempotency key.
        body: Body of the payment.
        token: Unique id of this attempt.
        pay: Pays and returns the receipt. Raises
            errors.TargetAnswerLostError where it may have paid.

    Returns:
        The receipt, or the refusal, which says whether it was paid.
    """
    claim_request = _build_claim_request(key, body, token)
    row_key = claims.name_row(claim_request.team, claim_request.service, key)
    stored_claim = claims.decode_row(rows.read(row_key))
    wall_ms = int(time.time() * 1000)
    step = claims.examine(claim_request, stored_claim, wall_ms=wall_ms)
    if isinstance(step, claims.Take):
        confirmed = claims.confirm(step, rows.write(step.write), claim_request)
        step = confirmed or claims.Wait()
    if isinstance(step, claims.Known):
        return step.claim.body
    if not isinstance(step, claims.Send):
        return _build_refusal(step)
    return _pay_under_claim(rows, step.stored, body, pay)


def _pay_under_claim(
    rows: ClaimRows,
    stored: claims.Stored,
    body: bytes,
    pay: abc.Callable[[bytes], bytes],
) -> bytes | errors.Refusal:
    """Pays under a confirmed claim and stores the result in the claim."""
    try:
        receipt = pay(body)
    except errors.TargetAnswerLostError:
        _finish_claim(rows, stored, claims.end_unknown(stored.claim))
        return claim_refusals.refuse_unknown()
    answer = targets.Answer(
        attempt_id=stored.claim.token, status=200, body=receipt, boot_id=""
    )
    _finish_claim(
        rows, stored, claims.end_result(stored.claim, answer, body_object="")
    )
    return receipt


def _finish_claim(
    rows: ClaimRows, stored: claims.Stored, final_claim: claims.Claim
) -> None:
    write = claims.plan_end(stored, final_claim)
    if write is not None:
        rows.write(write)


def _build_refusal(step: claims.Wait | errors.Refusal) -> errors.Refusal:
    if isinstance(step, claims.Wait):
        return claim_refusals.refuse_in_progress()
    return step


def _build_claim_request(key: str, body: bytes, token: str) -> claims.Call:
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
        kept_until_ms=until_ms + RESULT_KEPT_MS,
    )


def main() -> None:
    """Pays twice under one key and prints both receipts."""
    rows = ClaimRows()
    receipts: list[bytes] = []

    def pay(body: bytes) -> bytes:
        receipts.append(body)
        return b"receipt %d" % len(receipts)

    for token in ("first", "second"):
        print(pay_once(rows, key="k1", body=b"30", token=token, pay=pay))
    print(f"paid {len(receipts)} time")


if __name__ == "__main__":
    main()
