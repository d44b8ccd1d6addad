"""Messages and calls between the daemons of a region."""

from collections import abc

import msgspec

from mothpass.core import count_reports
from mothpass.core import gates
from mothpass.core import load_digests
from mothpass.core import prompt_suspects
from mothpass.core import suspects


class Batch(msgspec.Struct, frozen=True, kw_only=True):
    """Control messages from one daemon to a peer in one tick.

    Attributes:
        sender: Id of the sending daemon.
        operators_address: Address of the sender's listener for operators.
        catalogue_version: Version in force on the sender.
        loads: Load digests, the sender's own and relayed ones.
        rosters: Rosters that load digests refer to.
        rosters_wanted: Origins whose roster the sender requests.
        suspicions: Records of crash suspects that changed.
        changes: Catalogue changes in order of version, each as JSON.
        counts: Requests in flight of the sender, None in a fleet that is a
            grid.
        names_wanted: Whether the sender requests the receiver's list of
            targets.
        lost: Boot ids that the sender recently found dead, by target id.
        suspected_parts: Parts of prompts that are suspected to crash targets.
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
    suspected_parts: list[prompt_suspects.Record] = []


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """Catalogue changes read from a peer.

    Attributes:
        catalogue_version: Version in force on the peer.
        changes: Changes in order of version, each as JSON; empty if the peer
            no longer keeps the requested ones.
        snapshot: The complete revision in that case, if it fits.
    """

    catalogue_version: int
    changes: list[bytes]
    snapshot: bytes | None = None


# Accepts a batch; returns without waiting.
AcceptBatch = abc.Callable[[Batch], None]

# Grants or denies a permit at its gate.
DecideGrant = abc.Callable[[gates.GrantRequest], gates.Granted | gates.Denied]

# Releases a permit at its gate after its request has ended.
AcceptRelease = abc.Callable[[gates.Release], None]

# Reads the local changes after a version.
# Arguments: version, maximum bytes to return.
ReadChanges = abc.Callable[[int, int], Changes]
