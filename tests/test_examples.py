"""Checks the two deployments under examples/ against the code's own checks."""

import pathlib
import unittest

from mothpass.control import fleets
from mothpass.core import catalogue
from mothpass.daemon import settings

_EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
_DEPLOYMENTS = ("guild", "cellarwatch")


class DeploymentTest(unittest.TestCase):
    """Checks the files of each deployment."""

    def test_settings_are_what_the_fleet_file_gives(self) -> None:
        for name in _DEPLOYMENTS:
            folder = _EXAMPLES / name
            fleet = fleets.read_fleet(folder)
            keys = fleets.read_keys(folder)
            self.assertEqual(len(fleet.daemons), 8)
            for daemon in fleet.daemons:
                with self.subTest(daemon=daemon.id):
                    path = folder / "daemons" / f"{daemon.id}.json"
                    committed = settings.decode_settings(path.read_bytes())
                    expected = fleets.build_settings(fleet, keys, daemon)
                    self.assertEqual(committed, expected)

    def test_no_settings_file_is_left_of_a_daemon_that_is_gone(self) -> None:
        for name in _DEPLOYMENTS:
            folder = _EXAMPLES / name
            ids = {item.id for item in fleets.read_fleet(folder).daemons}
            files = {path.stem for path in (folder / "daemons").iterdir()}
            self.assertEqual(files, ids)

    def test_catalogue_is_good_and_knows_the_fleet(self) -> None:
        for name in _DEPLOYMENTS:
            folder = _EXAMPLES / name
            data = (folder / "catalogue.json").read_bytes()
            entries = catalogue.decode_catalogue(data)
            fleet = fleets.read_fleet(folder)
            zones = {item.name for item in entries.availability_zones}
            targets = [*fleet.engines, *fleet.services]
            used = {item.availability_zone for item in targets}
            used |= {item.availability_zone for item in fleet.daemons}
            self.assertEqual(zones, used)
            served = {x for t in fleet.engines for x in t.serves}
            self.assertEqual(served, {x.name for x in entries.models})
            served = {x for t in fleet.services for x in t.serves}
            self.assertEqual(served, {x.name for x in entries.services})

    def test_keys_are_those_of_the_catalogue(self) -> None:
        for name in _DEPLOYMENTS:
            folder = _EXAMPLES / name
            data = (folder / "catalogue.json").read_bytes()
            teams = catalogue.decode_catalogue(data).teams
            keys = fleets.read_keys(folder).team_keys
            hashes = {
                team: [catalogue.hash_key(key)] for team, key in keys.items()
            }
            self.assertEqual(hashes, {x.name: x.key_sha256 for x in teams})

    def test_no_two_instances_share_an_address(self) -> None:
        for name in _DEPLOYMENTS:
            fleet = fleets.read_fleet(_EXAMPLES / name)
            addresses = [
                *fleets.list_caller_addresses(fleet),
                *fleets.list_operator_addresses(fleet),
                *(item.address for item in fleet.engines),
                *(item.address for item in fleet.services),
                fleet.platform.tables,
                fleet.platform.objects,
                fleet.platform.members,
            ]
            self.assertEqual(len(addresses), len(set(addresses)))


if __name__ == "__main__":
    unittest.main()
