"""Tests the two deployments under examples/ with the code's own checks."""

import json
import pathlib
import unittest

import msgspec

from mothpass.control import config as configs
from mothpass.control import fleets
from mothpass.core import catalogue
from mothpass.core import documents
from mothpass.daemon import settings
from mothpass.load import recordings
from mothpass.standin import settings as standin_settings

_EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
_DEPLOYMENTS = ("guild", "cellarwatch")
_STANDINS: dict[str, type[msgspec.Struct]] = {
    "engine": standin_settings.EngineSettings,
    "service": standin_settings.ServiceSettings,
    "table": standin_settings.TableSettings,
    "objects": standin_settings.ObjectsSettings,
    "members": standin_settings.MembersSettings,
}


class DeploymentTest(unittest.TestCase):
    """Tests the files of each deployment."""

    def test_daemon_settings_match_the_fleet_file(self) -> None:
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

    def test_no_file_is_left_of_a_removed_instance(self) -> None:
        for name in _DEPLOYMENTS:
            folder = _EXAMPLES / name
            fleet = fleets.read_fleet(folder)
            ids = {item.id for item in fleet.daemons}
            files = {path.stem for path in (folder / "daemons").iterdir()}
            self.assertEqual(files, ids)
            files = {path.stem for path in (folder / "standins").iterdir()}
            self.assertEqual(files, fleets.list_standins(fleet).keys())

    def test_standin_settings_match_the_fleet_file(self) -> None:
        for name in _DEPLOYMENTS:
            folder = _EXAMPLES / name
            configs = fleets.list_standins(fleets.read_fleet(folder))
            for file_name, config in configs.items():
                with self.subTest(standin=file_name):
                    path = folder / "standins" / f"{file_name}.json"
                    data = path.read_bytes()
                    self.assertEqual(json.loads(data), config)
                    kind = _STANDINS[file_name.partition("-")[0]]
                    documents.decode_document(data, kind)

    def test_engine_limits_match_the_catalogue(self) -> None:
        for name in _DEPLOYMENTS:
            folder = _EXAMPLES / name
            data = (folder / "catalogue.json").read_bytes()
            (model,) = catalogue.decode_catalogue(data).models
            start = model.cold_start
            engine = fleets.read_fleet(folder).standins.engine
            self.assertEqual(start.in_flight, engine["cold_in_flight"])
            self.assertEqual(start.answers_per_step, engine["answers_per_step"])
            self.assertEqual(start.warm_in_flight, engine["warm_in_flight"])
            self.assertEqual(model.target_in_flight, engine["max_running"])

    def test_recorded_chats_and_calls_are_allowed_to_their_team(self) -> None:
        for name in _DEPLOYMENTS:
            folder = _EXAMPLES / name
            data = (folder / "catalogue.json").read_bytes()
            uses = {
                x.name: x.uses for x in catalogue.decode_catalogue(data).teams
            }
            recording = recordings.read_recording(folder / "chats.json")
            for chat in recording.chats:
                self.assertIn(recording.model, uses[chat.team])
            for call in recording.calls:
                self.assertIn(call.service, uses[call.team])
            names = [call.name for call in recording.calls]
            self.assertIn(recording.paid_once, names)

    def test_catalogue_is_valid_and_matches_the_fleet(self) -> None:
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

    def test_team_keys_match_the_catalogue(self) -> None:
        for name in _DEPLOYMENTS:
            folder = _EXAMPLES / name
            data = (folder / "catalogue.json").read_bytes()
            teams = catalogue.decode_catalogue(data).teams
            keys = fleets.read_keys(folder).team_keys
            hashes = {
                team: [catalogue.hash_key(key)] for team, key in keys.items()
            }
            self.assertEqual(hashes, {x.name: x.key_sha256 for x in teams})

    def test_operators_file_names_all_daemons(self) -> None:
        for name in _DEPLOYMENTS:
            folder = _EXAMPLES / name
            fleet = fleets.read_fleet(folder)
            options = configs.Options(config=str(folder / "operators.json"))
            config = configs.resolve_config(options, {})
            expected = fleets.list_operator_addresses(fleet)
            self.assertEqual(config.addresses, expected)
            token = fleets.read_keys(folder).operator_token
            self.assertEqual(config.token, token)

    def test_no_two_instances_share_an_address(self) -> None:
        for name in _DEPLOYMENTS:
            fleet = fleets.read_fleet(_EXAMPLES / name)
            addresses = [
                *fleets.list_client_addresses(fleet),
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
