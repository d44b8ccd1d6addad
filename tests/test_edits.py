"""Tests for mothpass.core.edits."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from mothpass.core import catalogue
from mothpass.core import edits
from mothpass.core import revisions
from tests import catalogue_fixtures

_NAMES = strategies.lists(
    strategies.sampled_from([f"n{number}" for number in range(8)]),
    unique=True,
    max_size=8,
)
_WEIGHTS = strategies.integers(min_value=1, max_value=3)


@strategies.composite
def _build_catalogues(draw: strategies.DrawFn) -> catalogue.Catalogue:
    """Draws catalogues that differ in teams, zones and instances out."""
    sample = catalogue_fixtures.decode_sample()
    (team,) = sample.teams
    zone = sample.availability_zones[0]
    teams = [
        msgspec.structs.replace(team, name=name, weight=draw(_WEIGHTS))
        for name in draw(_NAMES)
    ]
    zones = [
        msgspec.structs.replace(
            zone, name=name, out=draw(strategies.booleans())
        )
        for name in draw(_NAMES)
    ]
    return msgspec.structs.replace(
        sample,
        teams=teams,
        availability_zones=zones,
        instances_out=draw(_NAMES),
    )


def _sort(unsorted: catalogue.Catalogue) -> catalogue.Catalogue:
    """Returns the catalogue with the lists that differ sorted by name."""
    return msgspec.structs.replace(
        unsorted,
        teams=sorted(unsorted.teams, key=lambda team: team.name),
        availability_zones=sorted(
            unsorted.availability_zones, key=lambda zone: zone.name
        ),
        instances_out=sorted(unsorted.instances_out),
    )


class EditsTest(unittest.TestCase):
    """Tests edits between random catalogues."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(_build_catalogues(), _build_catalogues())
    def test_edits_lead_from_one_catalogue_to_the_other(
        self, old: catalogue.Catalogue, new: catalogue.Catalogue
    ) -> None:
        initial = edits.compare_catalogues(revisions.EMPTY.catalogue, old)
        base = edits.apply_edits(revisions.EMPTY.catalogue, initial)
        self.assertEqual(base, _sort(old))
        changes = edits.compare_catalogues(base, new)
        decoded = edits.decode_edits(edits.encode_edits(changes))
        self.assertEqual(edits.apply_edits(base, decoded), _sort(new))
        self.assertEqual(edits.compare_catalogues(_sort(new), new), [])

    def test_encoding_ignores_white_space_and_field_order_of_entries(
        self,
    ) -> None:
        plain = edits.Edit(
            section="teams", name="n", entry=msgspec.Raw(b'{"a":1,"b":2}')
        )
        spaced = edits.Edit(
            section="teams", name="n", entry=msgspec.Raw(b'{ "b":2, "a":1 }')
        )
        self.assertEqual(
            edits.encode_edits([plain]), edits.encode_edits([spaced])
        )


if __name__ == "__main__":
    unittest.main()
