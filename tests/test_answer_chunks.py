"""The chunks in which the body of a server's answer is kept, and taken away as it is forwarded."""

import asyncio
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.requests.callers.answer_writer import write_reply
from sprucewinch.gateway.requests.client_request import Reply
from sprucewinch.net._answer_reader import Answer, AnswerReader

_CHUNK_BYTES = 65_536


def read(body: bytes, cuts: list[int]) -> Answer:
    """Return the answer that arrives in the given pieces."""
    answers: list[Answer] = []
    reader = AnswerReader(answers.append, lambda problem: None)
    reader.feed(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body))
    start = 0
    for end in [*sorted(cuts), len(body)]:
        reader.feed(body[start:end])
        start = end
    [answer] = answers
    return answer


class Chunks(unittest.TestCase):
    def test_an_answer_in_one_piece_is_not_copied(self) -> None:
        self.assertEqual(read(b"whole", []).chunks, [b"whole"])

    def test_an_answer_without_body_has_no_chunks(self) -> None:
        answer = read(b"", [])
        self.assertEqual((answer.chunks, answer.body, answer.body_bytes), ([], b"", 0))

    @given(st.integers(1, 500_000), st.lists(st.integers(0, 500_000), max_size=60))
    def test_any_pieces_make_the_same_body_in_few_chunks(self, size: int, cuts: list[int]) -> None:
        body = (b"0123456789" * (size // 10 + 1))[:size]
        answer = read(body, [cut for cut in cuts if cut < size])
        self.assertEqual((answer.body, answer.body_bytes), (body, size))
        self.assertLessEqual(len(answer.chunks), 2 * (size // _CHUNK_BYTES) + 2)

    def test_what_was_forwarded_is_no_longer_in_memory(self) -> None:
        body = bytes(300_000)
        answer = read(body, [100_000, 200_000])
        left: list[int] = []
        sent: list[bytes] = []

        async def send(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.body":
                left.append(len(answer.chunks))
                sent.append(bytes(message["body"]))

        asyncio.run(write_reply(Reply(answer, None, 200), send, close=False))
        self.assertEqual(left, [2, 1, 0])
        self.assertEqual(b"".join(sent), body)


if __name__ == "__main__":
    unittest.main()
