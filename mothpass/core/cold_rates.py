"""How often one daemon may send to a cold target.

A target that has just started bears a number of requests a second from all
daemons together. Each daemon takes a part that needs no talk: where there is
less than one request for each, the daemons that rank highest for the target
have one, and the others none. The sum stays within the bound while daemons
differ on who they are, as the part is taken of a fleet larger than is seen.
"""

import math

from mothpass.core import preference

# Part of the bound that all daemons plan to use. The rest is for requests
# that bunch on their way and for daemons that this one does not know of.
PLANNED_SHARE = 0.7
# A daemon that sees nobody may be cut off from a fleet that goes on.
_LEAST_DAEMONS = 3


def compute_allowance(
    *, target_id: str, own_id: str, daemon_ids: list[str], bound_per_s: float
) -> int:
    """Returns the requests that this daemon may send in any second.

    Args:
        target_id: The cold target.
        own_id: Id of this daemon.
        daemon_ids: All daemons seen of late, this one included.
        bound_per_s: What the target bears from all daemons together.
    """
    planned = math.floor(bound_per_s * PLANNED_SHARE)
    each, rest = divmod(planned, max(_LEAST_DAEMONS, len(daemon_ids)))
    if each:
        return each
    ranked = preference.rank_names(target_id.encode(), daemon_ids)
    return 1 if own_id in ranked[:rest] else 0
