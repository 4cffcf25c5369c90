"""The peer protocol of the own interface, byte by byte, as the first release has it.

See `test_formats` for why the literals stay when the code is renamed.
"""

import unittest
from types import SimpleNamespace
from typing import Any

from sprucewinch.hall.peers import peer_pb2
from sprucewinch.hall.peers.frames import (
    MAX_CHUNK_BYTES,
    accepted_frame,
    chunk_frames,
    decode_refusal,
    decode_request,
    end_frame,
    head_frame,
    open_frame,
    refused_frame,
)
from sprucewinch.hall.peers.peer_grpc import PeerBase
from sprucewinch.net.outcome import Reason, not_run, unknown
from sprucewinch.net.request import Request

TICKET = "vm-a:18f:0:book:94bea9a85f57672fb892"


def whole_body(data: bytes) -> Any:
    """Return a body that is wholly in memory."""
    return SimpleNamespace(first=data, complete=True)


def handed_on() -> Request:
    """Return the request that `OPEN` forwards, with 2.5 s left at 10 s."""
    headers = [("x-a", "1")]
    body = whole_body(b"abc")
    return Request("q1", "rates", "east", "POST", "/a?b=1", headers, body, 12.5, TICKET)


def encode(message: Any) -> bytes:
    """Return a message's bytes, maps in order."""
    return message.SerializeToString(deterministic=True)


def decode(kind: str, data: bytes) -> Any:
    """Return the message of a kind that bytes hold."""
    return getattr(peer_pb2, kind).FromString(data)


# Messages of the peer protocol: name, number, protobuf type, repeated.
MESSAGES = """
ServiceLoad service:1:9 capacity:2:1 in_use:3:1 latency_ms:4:1 demand:5:11*
Member vm:1:9 hall:2:9 region:3:9 incarnation:4:4 version:5:4 peer_address:6:9 caller_address:7:9 \
operators_address:8:9 state:9:14 config_revision:10:4 loads:11:11* leaving_servers:12:9* \
in_flight:13:13 hall_view:14:9 held:15:11*
Known vm:1:9 incarnation:2:4 version:3:4
Document key:1:9 revision:2:4 value:3:12
DocumentRevision key:1:9 revision:2:4
ExchangeRequest known:1:11* members:2:11* revisions:3:11* documents:4:11*
ExchangeReply members:1:11* wanted_members:2:9* documents:3:11* wanted_documents:4:9*
Header name:1:9 value:2:9
Open request_id:1:9 service:2:9 client_region:3:9 method:4:9 target:5:9 headers:6:11* \
deadline_ms:7:4 ticket:8:9 body_complete:9:8 first_chunk:10:12 from_region:11:9 home:12:8
Accepted request_id:1:9
Head request_id:1:9 status:2:13 headers:3:11*
Refused request_id:1:9 outcome:2:9 reason:3:9 retry_after_ms:4:4
End request_id:1:9 length:2:4
Frame open:1:11 accepted:2:11 chunk:3:12 head:4:11 refused:5:11 end:6:11
""".strip()


def described(message: Any) -> str:
    """Return a message's fields on one line."""
    fields = (f"{f.name}:{f.number}:{f.type}{'*' * f.is_repeated}" for f in message.fields)
    return " ".join([message.name, *fields])


class PeerProtocol(unittest.TestCase):
    def test_messages(self) -> None:
        messages = peer_pb2.DESCRIPTOR.message_types_by_name.values()
        self.assertEqual("\n".join(map(described, messages)), MESSAGES)
        self.assertEqual(peer_pb2.DESCRIPTOR.package, "sprucewinch")
        states = {v.name: v.number for v in peer_pb2.DESCRIPTOR.enum_types_by_name["State"].values}
        self.assertEqual(states, {"JOINING": 0, "SERVING": 1, "LEAVING": 2, "GONE": 3})

    def test_calls(self) -> None:
        class Server(PeerBase):
            async def Exchange(self, stream: Any) -> None: ...  # noqa: N802
            async def Handle(self, stream: Any) -> None: ...  # noqa: N802

        calls = {
            path: (handler.cardinality.name, handler.request_type.__name__)
            for path, handler in Server().__mapping__().items()
        }
        self.assertEqual(
            calls,
            {
                "/sprucewinch.Peer/Exchange": ("UNARY_UNARY", "ExchangeRequest"),
                "/sprucewinch.Peer/Handle": ("STREAM_STREAM", "Frame"),
            },
        )


OPEN = (
    b'\na\n\x02q1\x12\x05rates\x1a\x04east"\x04POST*\x06/a?b=12\x08\n\x03x-a\x12\x0118\xc4\x13'
    b"B$vm-a:18f:0:book:94bea9a85f57672fb892H\x01R\x03abcZ\x04west`\x01"
)
ACCEPTED = b"\x12\x04\n\x02q1"
CHUNK_OF_BODY = b"\x1a\x03abc"
HEAD = b'"#\n\x02q1\x10\xc8\x01\x1a\x1a\n\x0ccontent-type\x12\ntext/plain'
REFUSED = b"*\x19\n\x02q1\x12\x07not-run\x1a\x07no-room \xfa\x01"
MAY_HAVE_RUN = b"*\x1a\n\x02q1\x12\x07unknown\x1a\x0bpeer-failed"
END = b"2\x06\n\x02q1\x10\x03"
MEMBER = (
    b"\n\x03vm1\x12\x01h\x1a\x04east \x8f\x03(\x052\x0b10.0.0.1:70:\x0b10.0.0.1:80B"
    b"\x0b10.0.0.1:90H\x01P\x07Z3\n\x05rates"
    b"\x11\x00\x00\x00\x00\x00\x00 @\x19\x00\x00\x00\x00\x00\x00\x04@!\x9a"
    b"\x99\x99\x99\x99\x19H@*\x0f\n\x04east\x11\x00\x00\x00\x00\x00\x00\x08@b\x0b10.0.0.9:80h\x04r\x02v1"
    b"z\n\n\x06hall:h\x10\x02"
)
ASKED = (
    b"\n\n\n\x03vm1\x10\x8f\x03\x18\x05\x12\x92\x01" + MEMBER + b"\x1a\x05\n\x01k\x10\x07"
    b'"\t\n\x01k\x10\x07\x1a\x02{}'
)
REPLIED = b"\n\x92\x01" + MEMBER + b'\x12\x03vm2\x1a\t\n\x01k\x10\x07\x1a\x02{}"\x01j'


class Frames(unittest.TestCase):
    def test_each_is_written(self) -> None:
        frames = {
            OPEN: open_frame(handed_on(), now=10.0, from_region="west", home=True),
            ACCEPTED: accepted_frame("q1"),
            HEAD: head_frame("q1", 200, [("content-type", "text/plain")]),
            REFUSED: refused_frame("q1", not_run(Reason.NO_ROOM, 250)),
            MAY_HAVE_RUN: refused_frame("q1", unknown(Reason.PEER_FAILED)),
            END: end_frame("q1", 3),
            CHUNK_OF_BODY: chunk_frames(b"abc")[0],
        }
        for data, frame in frames.items():
            with self.subTest(data):
                self.assertEqual(encode(frame), data)

    def test_a_request_is_read_and_written_again(self) -> None:
        opened = decode("Frame", OPEN).open
        request = decode_request(opened, whole_body(opened.first_chunk), 10.0)
        again = open_frame(request, now=10.0, from_region="west", home=True)
        self.assertEqual(encode(again), OPEN)

    def test_a_refusal_is_read_and_written_again(self) -> None:
        for data in (REFUSED, MAY_HAVE_RUN):
            refusal = decode_refusal(decode("Frame", data).refused)
            self.assertEqual(encode(refused_frame("q1", refusal)), data)

    def test_a_reason_that_is_not_known_counts_as_a_failed_peer(self) -> None:
        data = b"*\x16\n\x02q1\x12\x07unknown\x1a\x07no-such"
        refusal = decode_refusal(decode("Frame", data).refused)
        self.assertEqual(encode(refused_frame("q1", refusal)), MAY_HAVE_RUN)

    def test_a_long_body_is_cut(self) -> None:
        self.assertEqual(MAX_CHUNK_BYTES, 65_536)
        self.assertEqual([len(f.chunk) for f in chunk_frames(b"x" * 70_000)], [65_536, 4_464])


class Messages(unittest.TestCase):
    def test_read_and_written_again(self) -> None:
        kinds = {"Member": MEMBER, "ExchangeRequest": ASKED, "ExchangeReply": REPLIED}
        for kind, data in kinds.items():
            with self.subTest(kind):
                self.assertEqual(encode(decode(kind, data)), data)

    def test_a_member_names_its_slots(self) -> None:
        """The numbers of the fields stand for these values, not for others of the same type."""
        load = peer_pb2.ServiceLoad(
            service="rates", capacity=8, in_use=2.5, latency_ms=48.2, demand={"east": 3.0}
        )
        member = peer_pb2.Member(
            vm="vm1",
            hall="h",
            region="east",
            incarnation=399,
            version=5,
            peer_address="10.0.0.1:70",
            caller_address="10.0.0.1:80",
            operators_address="10.0.0.1:90",
            state=peer_pb2.SERVING,
            config_revision=7,
            loads=[load],
            leaving_servers=["10.0.0.9:80"],
            in_flight=4,
            hall_view="v1",
            held={"hall:h": 2},
        )
        self.assertEqual(encode(member), MEMBER)
