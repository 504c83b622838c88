"""Framing: messages split at any position are parsed, and an invalid size is refused before its bytes arrive."""

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from nickelslip.server import resp


@profile(derandomize=True, database=None, deadline=None)
@given(st.lists(st.lists(st.binary(max_size=60), min_size=1, max_size=5), min_size=1, max_size=6), st.data())
def test_messages_cut_anywhere_are_read_as_they_were_written(messages, data):
    stream = b"".join(resp.message(*parts) for parts in messages)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=12)))
    buffer, start, received = bytearray(), 0, []
    for begin, end in zip([0, *cuts], [*cuts, len(stream)], strict=True):
        buffer += stream[begin:end]
        while (parsed := resp.parse(buffer, start, len(buffer))) is not None:
            parts, start = parsed
            received.append(parts)
    assert received == messages and start == len(stream)


@pytest.mark.parametrize(
    "text",
    (
        b"PING\r\n",
        b"*0\r\n",
        b"*x\r\n",
        b"*-1\r\n",
        b"*17\r\n",
        b"*99999999",
        b"*1\r\n+OK\r\n",
        b"*1\r\n$999999\r\n",
        b"*1\r\n$12289\r\n",
        b"*1\r\n$2\r\nabc\r\n",
        b"*1\r\n$ 2\r\nab\r\n",
        b"*2\r\n$8000\r\n" + bytes(8000) + b"\r\n$8000\r\n",
    ),
)
def test_a_malformed_stream_is_refused_immediately(text):
    with pytest.raises(resp.MalformedMessageError):
        resp.parse(bytearray(text), 0, len(text))
