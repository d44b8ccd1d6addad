"""Computes the rate at which one daemon may send requests to a cold target.

A target that has just started accepts a bounded number of requests per second
from all daemons together. Each daemon computes its part without communication.
If there is less than one request for each daemon, the daemons that rank
highest for the target get one each, and the others none. The sum stays within
the bound while daemons disagree on the members of the fleet, as each of them
computes its part for a larger fleet than it sees.
"""

import math

from mothpass.core import preference

# Part of the bound that all daemons plan to use. The rest is for requests that
# arrive in bunches and for daemons that this one does not know of.
PLANNED_SHARE = 0.7
# A daemon that sees no peers may be partitioned from a fleet that goes on.
_MIN_DAEMONS = 3


def compute_allowance(
    *, target_id: str, own_id: str, daemon_ids: list[str], bound_per_s: float
) -> int:
    """Returns the requests per second that this daemon may send to a target.

    Args:
        target_id: Id of the cold target.
        own_id: Id of this daemon.
        daemon_ids: Ids of the daemons seen recently, including this one.
        bound_per_s: Requests per second that the target accepts from all
            daemons together.
    """
    planned = math.floor(bound_per_s * PLANNED_SHARE)
    per_daemon, remainder = divmod(planned, max(_MIN_DAEMONS, len(daemon_ids)))
    if per_daemon:
        return per_daemon
    ranked = preference.rank_names(target_id.encode(), daemon_ids)
    return 1 if own_id in ranked[:remainder] else 0
