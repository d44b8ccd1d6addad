"""Tests that messages and stored data keep the forms that 65d9a08 wrote.

A renamed field or a changed order of fields would make daemons of two releases
drop each other's messages, or a new daemon unable to read stored rows.
"""

import base64
import unittest

import msgspec

from mothpass.adapters import peer_messages
from mothpass.adapters import peers_pb2
from mothpass.core import claims
from mothpass.core import decoding
from mothpass.core import leases
from mothpass.core import prompt_suspects
from mothpass.core import pruning
from mothpass.core import revisions
from mothpass.core import stream_origins
from mothpass.ports import members
from mothpass.ports import peers
from mothpass.ports import replicas
from mothpass.ports import targets
from mothpass.relay import death_witnesses
from mothpass.relay import gossip
from mothpass.relay import origin_questions
from mothpass.relay import peer_requests
from mothpass.relay import table_server

_GOSSIP = (
    "nKJkMc0D6AWBp3NlcnZlcnMJgaNpLTECw8LDka0xMC4wLjAuMjo3MzQwkYerZmluZ2"
    "VycHJpbnQHpWJvb3RzkaJiMahmb3JnaXZlbpGiYjCocG9zaXRpb24DrHRyaWFsX251"
    "bWJlcgKodHJpYWxfYnmiZDGmYWdlX21zKJGSoWujaS0xgaNpLTHNASw="
)
_PAGE = (
    "g6d2ZXJzaW9uCaRyb3dzkYOja2V5o2ktMad2ZXJzaW9uCKV2YWx1ZcQCe32oaXNfd2hvbGXD"
)
_BATCH = (
    "CgJkMRIKMTAuMC4wLjE6ORgEIg8KAmQxEAEYAiADKgMBAgMqDgoCZDEQARoCZTEiAm"
    "IxMgJkMjobCQcAAAAAAAAAEgJiMRgDIgJiMCgCMgJkMTgoQgJ7fUoRCAYQARoCZTEa"
    "AmUyIgOsAgBQAVoICgJlMhICYjI="
)
_GRANT_REQUEST = "CgJlMRICYjEYhAcgAQ=="
_RELEASE = "CgJlMRICYjEaBXRyaWFsIAMoBDAB"
# By type, a message with all of its fields as ba31649 wrote it.
_MESSAGES: dict[type[msgspec.Struct], str] = {
    gossip.GossipMessage: (
        "3AAVoXgHB4GheAeBoXgHw8PDkaF4kYerZmluZ2VycHJpbnQHpWJvb3RzkaF4qGZvcm"
        "dpdmVukaF4qHBvc2l0aW9uB6x0cmlhbF9udW1iZXIHqHRyaWFsX2J5oXimYWdlX21z"
        "B5GSoXiheIGheAeRoXiRoXiRkweBBwcHgaF4yz/4AAAAAAAAgaF4kgcHB5GSBweheJ"
        "GheA=="
    ),
    peer_requests.ForwardedRequest: (
        "hadyZXF1ZXN0jaJpZKF4pm1ldGhvZMQBeaN1cmzEAXmkaG9zdKF4p2hlYWRlcnORks"
        "QBecQBeaRib2R5xAF5p2FwaV9rZXmheKhkZWFkbGluZcs/+AAAAAAAAKZwcm9tcHSR"
        "gqJpZKF4pnRva2VucwetcHJvbXB0X3Rva2VucweocG9zaXRpb24HqnJlc3VtZWRfaW"
        "SheKphcnJpdmVkX2F0yz/4AAAAAAAAqXRpbWVvdXRfc8s/+AAAAAAAAKxtYXhfYXR0"
        "ZW1wdHMHp2F2b2lkZWSRoXindmVyc2lvbgc="
    ),
    stream_origins.Answer: ("gqd2ZXJzaW9uB6xpc19hbWJpZ3VvdXPD"),
    replicas.Page: (
        "hKd2ZXJzaW9uB6Ryb3dzkYOja2V5oXindmVyc2lvbgeldmFsdWXEAXmoaXNfd2hvbG"
        "XDpGhlbGSRg6NrZXmheKd2ZXJzaW9uB6V2YWx1ZcQBeQ=="
    ),
    death_witnesses.Answer: (
        "gal0ZXN0aW1vbnmCrnJlYWNoZXNfdGFyZ2V0w69oYXNfc291bmRfbGlua3PD"
    ),
}
# JSON documents by the type that reads them.
_DOCUMENTS: dict[type[msgspec.Struct], bytes] = {
    claims.Claim: (
        b'{"state":"result","token":"t","team":"north","service":"pay","id'
        b'empotency_key":"k","body_sha256":"ab","may_run_until_ms":5,"kept'
        b'_until_ms":9,"status":200,"boot_id":"b1","body":"e30=","body_obj'
        b'ect":""}'
    ),
    leases.LeaseRow: b'{"holder":"d1","token":"d1/1.0/1"}',
    pruning.PruneLease: b'{"until_ms":7}',
    revisions.Head: b'{"version":3,"digest":"ab"}',
    revisions.Change: (
        b'{"version":3,"id":"x","author":"ann","at_ms":1,"summary":"put","'
        b'previous":"aa","edits_sha256":"bb","edits":[{"section":"teams","'
        b'name":"north","entry":{"name":"north"}}]}'
    ),
    revisions.Revision: (
        b'{"version":3,"digest":"ab","catalogue":{"classes":[{"name":"quic'
        b'k","priority":1,"deadline_ms":20000}],"models":[],"services":[],'
        b'"teams":[],"availability_zones":[{"name":"a","region":"r","out":'
        b'false}],"instances_out":[]}}'
    ),
    revisions.SnapshotPointer: b'{"version":64}',
    members.Instance: (
        b'{"id":"e1","role":"engine","state":"leaving","address":"10.0.0.1'
        b':9","availability_zone":"a","serves":["m"]}'
    ),
    targets.LoadReport: (
        b'{"target_id":"e1","boot_id":"b1","phase":"cold","running":1,"que'
        b'ued":2,"age_ms":3}'
    ),
}


class RelayFormTest(unittest.TestCase):
    """Checks what relay daemons send each other."""

    def test_gossip_message(self) -> None:
        data = base64.b64decode(_GOSSIP)
        message = msgspec.msgpack.decode(data, type=gossip.GossipMessage)
        self.assertEqual(message.id, "d1")
        self.assertEqual(message.versions, {"servers": 9})
        self.assertEqual(message.counts, {"i-1": 2})
        self.assertEqual(
            (message.reaches_store, message.is_leaving), (True, True)
        )
        self.assertEqual(message.peers, ["10.0.0.2:7340"])
        # Later releases only add fields behind those of the first one.
        added = [
            message.departed_targets,
            message.held_tables,
            message.suspected_parts,
            message.stated_limits,
            message.limited_counts,
            message.routes_age_ms,
            message.started_streams,
            message.availability_zone,
            message.cut_off_services,
        ]
        self.assertEqual(added, [[], [], [], {}, {}, None, [], "", []])
        self.assertEqual(
            msgspec.msgpack.encode(message),
            msgspec.msgpack.encode(msgspec.msgpack.decode(data) + added),
        )

    def test_page_of_a_table(self) -> None:
        data = base64.b64decode(_PAGE)
        page = msgspec.msgpack.decode(data, type=replicas.Page)
        self.assertEqual((page.version, page.is_whole), (9, True))
        self.assertEqual(page.rows[0].value, b"{}")
        self.assertEqual(msgspec.msgpack.encode(page), data)


class UpgradeFormTest(unittest.TestCase):
    """Checks messages between this release and the one before."""

    def test_messages_of_both_releases_have_one_form(self) -> None:
        """Guards against daemons of two releases that drop each other's."""
        for message_type, encoded in _MESSAGES.items():
            with self.subTest(message_type.__name__):
                data = base64.b64decode(encoded)
                message = decoding.decode_msgpack(data, message_type)
                self.assertEqual(msgspec.msgpack.encode(message), data)

    def test_paths_of_questions_are_those_of_the_release_before(self) -> None:
        """Guards against questions that the other release doesn't know."""
        question = origin_questions.read_question("/streams/7?a%2Fb")
        self.assertEqual(
            question, origin_questions.Question(stream=7, service="a/b")
        )
        self.assertEqual(death_witnesses.read_target_id("/targets/i-1"), "i-1")
        self.assertEqual(
            (peer_requests.PATH, table_server.PATH), (b"/requests", "/tables/")
        )


class PeerFormTest(unittest.TestCase):
    """Checks what daemons of mothpassd send each other."""

    def test_batch(self) -> None:
        data = base64.b64decode(_BATCH)
        batch = peer_messages.decode_batch(peers_pb2.Batch.FromString(data))
        self.assertEqual(batch.sender, "d1")
        self.assertEqual(batch.lost, {"e2": "b2"})
        self.assertEqual(batch.suspicions[0].forgiven, ["b0"])
        encoded = peer_messages.encode_batch(batch)
        self.assertEqual(encoded.SerializeToString(deterministic=True), data)

    def test_suspected_part(self) -> None:
        record = prompt_suspects.Record(1 << 63, {7: 1500, 9: 0}, -1)
        batch = peers.Batch(
            sender="d1",
            operators_address="",
            catalogue_version=0,
            loads=[],
            rosters=[],
            rosters_wanted=[],
            suspicions=[],
            changes=[],
            suspected_parts=[record],
        )
        encoded = peer_messages.encode_batch(batch)
        decoded = peer_messages.decode_batch(encoded)
        self.assertEqual(decoded.suspected_parts, [record])

    def test_grant_request(self) -> None:
        data = base64.b64decode(_GRANT_REQUEST)
        request = peer_messages.decode_grant_request(
            peers_pb2.GrantRequest.FromString(data)
        )
        self.assertEqual((request.call_ms, request.alone), (900, True))
        encoded = peer_messages.encode_grant_request(request)
        self.assertEqual(encoded.SerializeToString(deterministic=True), data)

    def test_release(self) -> None:
        data = base64.b64decode(_RELEASE)
        release = peer_messages.decode_release(
            peers_pb2.Release.FromString(data)
        )
        self.assertEqual((release.number, release.fencing), (3, 4))
        encoded = peer_messages.encode_release(release)
        self.assertEqual(encoded.SerializeToString(deterministic=True), data)


class DocumentFormTest(unittest.TestCase):
    """Checks rows, objects and reports in JSON."""

    def test_documents_are_read_and_written_alike(self) -> None:
        for kind, data in _DOCUMENTS.items():
            with self.subTest(kind=kind.__name__):
                found = msgspec.json.decode(data, type=kind)
                self.assertEqual(msgspec.json.encode(found), data)


if __name__ == "__main__":
    unittest.main()
