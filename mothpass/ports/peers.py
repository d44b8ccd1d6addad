"""What the daemons of a region tell and ask each other."""

from collections import abc

import msgspec

from mothpass.core import count_reports
from mothpass.core import gates
from mothpass.core import load_digests
from mothpass.core import suspects


class Batch(msgspec.Struct, frozen=True, kw_only=True):
    """Control messages of one tick to one neighbour.

    Attributes:
        sender: Id of the daemon that sends it.
        operators_address: Its listener for operators.
        catalogue_version: Version that it has in force.
        loads: Digests of loads, its own and relayed ones.
        rosters: Names that digests refer to.
        rosters_wanted: Origins whose roster it lacks.
        suspicions: Records of suspects that changed.
        changes: Catalogue changes in order of version, each as JSON.
        counts: Its calls in flight, None in a fleet that is a grid.
        names_wanted: Whether it lacks the receiver's list of targets.
        lost: Boot ids of targets, by their ids, that it just found dead.
    """

    sender: str
    operators_address: str
    catalogue_version: int
    loads: list[load_digests.LoadDigest]
    rosters: list[load_digests.Roster]
    rosters_wanted: list[str]
    suspicions: list[suspects.Record]
    changes: list[bytes]
    counts: count_reports.CountReport | None = None
    names_wanted: bool = False
    lost: dict[str, str] = {}


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """Catalogue changes of a peer.

    Attributes:
        catalogue_version: Version that the peer has in force.
        changes: Changes in order of version, each as JSON; none where the
            peer no longer keeps what was asked for.
        snapshot: The whole revision in that case, if it fits.
    """

    catalogue_version: int
    changes: list[bytes]
    snapshot: bytes | None = None


# Takes a batch in. Returns at once.
AcceptBatch = abc.Callable[[Batch], None]

# Decides on a request for a permit, at the gate.
DecideGrant = abc.Callable[[gates.GrantRequest], gates.Granted | gates.Denied]

# Takes in that the call of a permit has ended, at the gate.
AcceptRelease = abc.Callable[[gates.Release], None]

# Reads own changes after a version, at most so many bytes of them.
ReadChanges = abc.Callable[[int, int], Changes]
