"""Verbs and fields of the load balancer protocol, and the encoding of this server's messages.

The protocol's words differ from the terms that the code uses. This module maps the terms to the words.
"""

from __future__ import annotations

from nickelslip.admission.interface import RequestState
from nickelslip.server import resp
from nickelslip.server.requests import Answer

# Verbs of messages from load balancers.
REQUEST_VERB = b"ASK"
HEALTH_CHECK_VERB = b"STATUS"
CANCEL_VERB = b"NEVERMIND"

# Words in messages from this server.
HEALTHY_WORD = b"healthy"
UNHEALTHY_WORD = b"sick"
CLOSE_REQUEST_WORD = b"closing"
ANSWER_WORDS = {
    RequestState.COMPLETED: b"done",
    RequestState.REJECTED: b"later",
    RequestState.FAILED: b"error",
}

# Fields of messages from this server.
ADVERTISED_WEIGHT_FIELD = b"signal=%.6f"
RETRY_AFTER_FIELD = b"holdoff=%.3f"
RETRY_ELSEWHERE_USELESS_FIELD = b"nomore=1"

CONNECTION_TAG = 0  # tag of messages that do not belong to a request


def encode_answer(tag: int, answer: Answer) -> bytes:
    """Return the message that answers a request."""
    return _message(tag, ANSWER_WORDS[answer.state], _answer_fields(answer), answer.body)


def encode_health(tag: int, is_healthy: bool, advertised_weight: float | None) -> bytes:
    """Return the message that answers a health check."""
    word = HEALTHY_WORD if is_healthy else UNHEALTHY_WORD
    return _message(tag, word, _weight_field(advertised_weight), b"")


def encode_close_request() -> bytes:
    """Return the message that asks the load balancer to close the connection. It has no fields and no body."""
    return resp.message(b"%d" % CONNECTION_TAG, CLOSE_REQUEST_WORD)


def _message(tag: int, word: bytes, fields: bytes, body: bytes) -> bytes:
    return resp.message(b"%d" % tag, word, fields, body)


def _answer_fields(answer: Answer) -> bytes:
    """Return the advertised weight and, for a rejection, when to retry and whether another server may accept it."""
    fields = []
    if answer.advertised_weight is not None:
        fields.append(_weight_field(answer.advertised_weight))
    if answer.state is RequestState.REJECTED:
        if answer.retry_after_ms > 0:
            fields.append(RETRY_AFTER_FIELD % answer.retry_after_ms)
        if answer.retry_elsewhere_useless:
            fields.append(RETRY_ELSEWHERE_USELESS_FIELD)
    return b",".join(fields)


def _weight_field(advertised_weight: float | None) -> bytes:
    return b"" if advertised_weight is None else ADVERTISED_WEIGHT_FIELD % advertised_weight
