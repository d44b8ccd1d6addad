"""Tests of the edits that lead from one catalogue to another."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from mothpass.core import catalogue
from mothpass.core import edits
from mothpass.core import revisions
from tests import catalogue_parts

_NAMES = strategies.lists(
    strategies.sampled_from([f"n{number}" for number in range(8)]),
    unique=True,
    max_size=8,
)
_WEIGHTS = strategies.integers(min_value=1, max_value=3)


@strategies.composite
def _build_catalogues(draw: strategies.DrawFn) -> catalogue.Catalogue:
    """Builds catalogues that differ in teams, zones and instances out."""
    sample = catalogue_parts.decode_sample()
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


def _sort(item: catalogue.Catalogue) -> catalogue.Catalogue:
    """Returns the catalogue with the lists that differ ordered by name."""
    return msgspec.structs.replace(
        item,
        teams=sorted(item.teams, key=lambda team: team.name),
        availability_zones=sorted(
            item.availability_zones, key=lambda zone: zone.name
        ),
        instances_out=sorted(item.instances_out),
    )


class EditsTest(unittest.TestCase):
    """Compares and applies catalogues that were drawn at random."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(_build_catalogues(), _build_catalogues())
    def test_edits_lead_from_one_catalogue_to_the_other(
        self, old: catalogue.Catalogue, new: catalogue.Catalogue
    ) -> None:
        first = edits.compare_catalogues(revisions.EMPTY.catalogue, old)
        base = edits.apply_edits(revisions.EMPTY.catalogue, first)
        self.assertEqual(base, _sort(old))
        wanted = edits.compare_catalogues(base, new)
        sent = edits.decode_edits(edits.encode_edits(wanted))
        self.assertEqual(edits.apply_edits(base, sent), _sort(new))
        self.assertEqual(edits.compare_catalogues(_sort(new), new), [])

    def test_digest_does_not_depend_on_how_a_store_writes_json(self) -> None:
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
