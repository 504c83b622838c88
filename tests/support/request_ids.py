"""Request ids in the format that the server accepts."""

A = "00000000000000a1"
B = "00000000000000b2"
C = "00000000000000c3"
