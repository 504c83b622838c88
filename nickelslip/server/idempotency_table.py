"""The idempotency table, which detects duplicate requests and answers them with the result of the original request.

A request is a duplicate if there is a record under its key that still serves it; see `IdempotencyRecord.serves`.
Admission control decides which requests are recorded and for how long. The total size of the cached results is limited
to a fraction of this process's memory. After a result is evicted, duplicates with an idempotency key fail until the
record expires. Without an idempotency key, the record is removed together with its result, and the next request runs.
"""

from __future__ import annotations

from collections.abc import Callable

from nickelslip.admission.interface import Outcome
from nickelslip.server.idempotency_record import IdempotencyRecord, RecordEvent, fingerprint_of, uses_idempotency_key
from nickelslip.server.request_events import RunFinished
from nickelslip.server.requests import Request
from nickelslip.server.result_cache import IdempotencyKey, ResultCache

PURGE_INTERVAL_MS = 1000.0


class IdempotencyTable:
    """The idempotency records by key, and the cache of their results.

    Args:
        clock: Returns the Unix time in milliseconds.
        max_result_bytes: Maximum total size of the cached results.
    """

    def __init__(self, clock: Callable[[], float], max_result_bytes: float) -> None:
        self._clock = clock
        self.records: dict[IdempotencyKey, IdempotencyRecord] = {}
        self.results = ResultCache(max_result_bytes)
        self._next_purge_at_ms = 0.0

    def find_original(self, request: Request) -> IdempotencyRecord | None:
        """Return the record of the original request if the request is a duplicate, otherwise None."""
        record = self._find_record(request)
        if record is None or not record.serves(request, self._clock()):
            return None
        return record

    def has_key_conflict(self, request: Request) -> bool:
        """Whether its idempotency key belongs to another request with a different body or tenant.

        Such a request must not be coalesced: any client that knows the key would get the answer of another client.
        """
        record = self.find_original(request)
        if record is None or not record.has_idempotency_key:
            return False
        return record.fingerprint != fingerprint_of(request)

    def remember(self, request: Request, retention_ms: float) -> None:
        """Keep a record of the request for `retention_ms` from now; 0 or less removes the record.

        A record of another request under the same key is replaced.
        """
        key = _key_of(request)
        if key is None:
            return
        if retention_ms <= 0:
            self.forget(request)
            return
        if not _may_be_recorded(request):
            return
        record = self.records.get(key)
        if record is None or record.number != request.number:
            self._remove(key)
            record = IdempotencyRecord(request)
            self.records[key] = record
        record.expires_at_ms = self._clock() + retention_ms

    def forget(self, request: Request) -> None:
        """Remove the record of a request that never ran or must not be shared; the next request with its key runs."""
        key = _key_of(request)
        record = self._find_record(request)
        if key is not None and record is not None and record.number == request.number:
            self._remove(key)

    def coalesce(self, request: Request) -> None:
        """Deliver the result of its original request to a duplicate, now or when the original request finishes.

        The duplicate fails if no result can be delivered any more, for example because it was evicted.
        """
        record = self._find_record(request)
        if record is not None and record.original_request is not None:
            record.original_request.coalesced_requests.append(request)
            return
        key = _key_of(request)
        result = None if key is None else self.results.get(key)
        if result is None:
            request.deliver(RunFinished(Outcome.ERROR, 0.0))
        else:
            request.deliver(RunFinished(Outcome.OK, 0.0, result))

    def finish(self, request: Request, outcome: Outcome, body: bytes = b"") -> None:
        """Deliver the outcome of a request to its coalesced requests, and cache the result of a successful run."""
        now_ms = self._clock()
        _deliver_to_coalesced(request, outcome, body, now_ms)
        key = _key_of(request)
        record = self._find_record(request)
        if key is None or record is None or record.original_request is not request:
            return
        if outcome is Outcome.OK:
            record.apply(RecordEvent.ORIGINAL_SUCCEEDED)
            if not record.has_idempotency_key:
                cache_expires_at_ms = now_ms + request.generation.settings.response_cache_ms
                record.expires_at_ms = min(record.expires_at_ms, cache_expires_at_ms)
            self._cache_result(key, body)
        elif record.has_idempotency_key:
            record.apply(RecordEvent.ORIGINAL_FAILED)
        else:
            self._remove(key)

    def purge_expired(self) -> None:
        """Remove the records that can serve no further request; runs at most once every PURGE_INTERVAL_MS."""
        now_ms = self._clock()
        if now_ms < self._next_purge_at_ms:
            return
        self._next_purge_at_ms = now_ms + PURGE_INTERVAL_MS
        expired = [key for key, record in self.records.items() if record.is_expired(now_ms)]
        for key in expired:
            self._remove(key)

    def _find_record(self, request: Request) -> IdempotencyRecord | None:
        key = _key_of(request)
        return None if key is None else self.records.get(key)

    def _cache_result(self, key: IdempotencyKey, result: bytes) -> None:
        for evicted in self.results.store(key, result):
            record = self.records[evicted]
            if record.has_idempotency_key:
                record.apply(RecordEvent.RESULT_EVICTED)
            else:
                del self.records[evicted]

    def _remove(self, key: IdempotencyKey) -> None:
        self.records.pop(key, None)
        self.results.discard(key)


def _key_of(request: Request) -> IdempotencyKey | None:
    received = request.received
    return None if received.key is None else IdempotencyKey(received.traffic_class, received.key)


def _may_be_recorded(request: Request) -> bool:
    return uses_idempotency_key(request) or request.generation.settings.response_cache_ms > 0


def _deliver_to_coalesced(request: Request, outcome: Outcome, body: bytes, now_ms: float) -> None:
    """Deliver the outcome of this request to its coalesced requests; any outcome other than success is a failure."""
    duplicates = request.coalesced_requests
    request.coalesced_requests = []
    shared_outcome = Outcome.OK if outcome is Outcome.OK else Outcome.ERROR
    for duplicate in duplicates:
        duplicate.deliver(RunFinished(shared_outcome, now_ms - duplicate.coalesced_at_ms, body))
