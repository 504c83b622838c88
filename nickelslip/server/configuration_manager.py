"""Changes of configuration in a running server: what operators ask for, carried out.

Owns the order in which a change is written to the history, adopted by the node, watched and confirmed or undone, and
the commands by which operators and tools ask for it. One command is carried out at a time. It must never choose what
becomes of a change: the steps are `Changes`'s, the verdict is the judge's. Nothing here waits between the node's
adopting a generation and the step that says so.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from typing import Any

import anyio
import anyio.to_thread

from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.interface import LoadSignal
from nickelslip.configuration.canary_analysis import CanaryAnalysis, CanaryStatus, CanaryVerdict
from nickelslip.configuration.change_lifecycle import Change, Changes, Denial, Denied, Start, Step, start_of
from nickelslip.configuration.config import Config, with_new_peer_addresses
from nickelslip.configuration.document import Document, DocumentChecker
from nickelslip.configuration.document_conversion import config_from, document_of
from nickelslip.configuration.document_reader import complete
from nickelslip.configuration.generations import Generation, digest_of
from nickelslip.configuration.history import Record
from nickelslip.configuration.json5_reader import ParsedDocument
from nickelslip.configuration.layers import merge
from nickelslip.configuration.metrics_window import Baseline
from nickelslip.configuration.plan import plan_of
from nickelslip.configuration.request_metrics import BUCKET_MS, MetricsBucket, RequestMetrics
from nickelslip.configuration.schema import Effect
from nickelslip.configuration.store import Store
from nickelslip.configuration.validation import Fault, InvalidDocumentError, has_errors
from nickelslip.server.server import Phase, Server
from nickelslip.settings import MalformedSettingsError

HISTORY_SHOWN = 50  # records that one reply brings at most
SHOWN_MOST = 200  # letters of an operator's own words that are kept

# The words of the control protocol: clients read them, so they stay when a name in the code changes.
PHASE_WORDS = {
    Phase.WAITING: "waiting",
    Phase.SERVING: "serving",
    Phase.DRAINING: "draining",
    Phase.SHUTTING_DOWN: "leaving",
    Phase.FAILED: "failed",
}
STANDING_WORDS = {
    CanaryStatus.INSUFFICIENT_DATA: "too_soon",
    CanaryStatus.SUSPECTED: "doubt",
    CanaryStatus.NO_HARM: "no_harm",
    CanaryStatus.HARM: "harm",
}


def whole_of(part: Document) -> Document:
    """The whole document of a part in our own words that may come from anywhere. Raises Faulty."""
    checker = DocumentChecker(ParsedDocument(part, "document"))
    found = checker.check()
    if not has_errors(checker.faults):
        whole, faults = complete(found)
        if not has_errors(faults):
            return whole
        raise InvalidDocumentError(faults)
    raise InvalidDocumentError(checker.faults)


def begin(config: Config, store: Store | None, now: float, log: Any) -> tuple[Config, Document, Start, list[Record]]:
    """With what this server starts: its files' configuration, or the last one confirmed over those same files; and
    what the files say. What the history holds is checked like any document, and passed over where it does not do any
    more."""
    records = list(store.records) if store is not None else []
    document = document_of(config)
    start = start_of(records, document, now)
    if start.record is None:
        try:
            kept = whole_of(start.document)
            told = replace(config_from(kept), seed=config.seed)
            log.info("configuration_restored", generation=start.number)
            return told, document, replace(start, document=kept), records
        except MalformedSettingsError as fault:
            log.error("stored_configuration_rejected", error=str(fault))
            start = start_of([], document, now)
            number = max((each.generation for each in records), default=0) + 1
            at = records[-1].at + 1 if records else 1
            assert start.record is not None
            start = replace(start, number=number, record=replace(start.record, at=at, generation=number))
    if store is not None and start.record is not None:
        store.append(start.record)
        records.append(start.record)
    return config, document, start, records


class ConfigurationManager:
    """The changes of one node."""

    def __init__(
        self,
        node: Server,
        file: Document,
        start: Start,
        records: list[Record],
        read: Callable[[], Config],
        store: Store | None,
    ) -> None:
        self._node, self._read_again, self._store = node, read, store
        config = node.generation.config
        node.generation = Generation(start.number, config, start.origin, node.clock())
        node.reload_handler = self
        node.request_metrics = self.request_metrics = RequestMetrics(
            config.changes.baseline_ms, node.generation.latency_objectives_ms
        )
        self._file = file  # what the files said when they were last taken
        self.changes = Changes(node.generation, start.document, records, digest_of(file), node.clock(), self._tell)
        self._judge: CanaryAnalysis | None = None
        self.verdict: CanaryVerdict | None = None
        self.apply_us: list[float] = []  # the node's pause at the latest applies
        self._lock = anyio.Lock()
        self._spoilt: list[tuple[float, float]] = []  # when changes were in force that were undone
        self._unwritten: list[Record] = []
        self._reloads = 0

    def _tell(self, change: Change) -> None:
        self._node.log.info(
            "configuration_change",
            number=change.number,
            step=change.step.name,
            reason=change.reason,
            origin=change.origin[:SHOWN_MOST],
            generation=change.generation.number if change.generation else None,
        )

    # Watching

    async def run(self) -> None:
        """Sample what the node says of itself, and look at the change on probation, four times a second."""
        while True:
            await anyio.sleep(BUCKET_MS / 1000)
            self._sample()
            if self._unwritten or self.changes.current is not None:
                async with self._lock:
                    await self._write_rest()
                    await self._watch()

    async def _watch(self) -> None:
        """Look at what is on probation. A judge that fails must not take the server along, nor leave unwatched what
        it was to watch."""
        if self.changes.current is None or self.changes.current.step is not Step.ON_PROBATION:
            return
        try:
            await self._look()
        except Exception as error:
            self._node.log.error("canary_analysis_failed", error=repr(error), exc_info=error)
            if self.changes.current is not None and self.changes.current.step is Step.ON_PROBATION:
                await self._undo(f"the judge failed: {error!r}"[:SHOWN_MOST])

    def _sample(self) -> None:
        said, as_what = self._node.advertised_weight, self._node.generation.settings.load_signal
        weight = 1.0 if said is None else 1 - said if as_what is LoadSignal.PRIORITY_THRESHOLD else said
        gauges = self._node.gauges
        self.request_metrics.sample_server(
            self._node.clock(), weight, gauges.memory_utilization, gauges.cpu_utilization
        )

    async def _look(self) -> None:
        judge, now = self._judge, self._node.clock()
        if judge is None:
            return
        if self._node.phase is not Phase.SERVING or not self._node.worker_pool.is_up:
            self.changes.unseen(BUCKET_MS)  # what goes wrong now says nothing of the change
            judge.restart(now)
            return
        self.verdict = judge.evaluate(now, self.request_metrics.between(judge.evaluated_until_ms, now))
        step = self.changes.judged(now, self.verdict)
        if step is Step.ROLLED_BACK:
            await self._undo(self.verdict.reason)
        elif step is Step.CONFIRMED:
            reason = (
                self.verdict.reason
                if self.verdict.status is CanaryStatus.NO_HARM
                else f"nothing speaks against it: {self.verdict.reason}"
            )
            record = self.changes.confirm(now, reason)
            self._settled()
            await self._write_or_keep(record)

    def _untroubled(self, begin: float, end: float) -> Iterator[MetricsBucket]:
        """What was counted in this time, but for the time of changes that were undone: what they spoilt is no measure
        for the next one."""
        self._spoilt = [span for span in self._spoilt if span[1] > begin]
        for bucket in self.request_metrics.between(begin, end):
            at = bucket.number * BUCKET_MS
            if not any(since < at + BUCKET_MS and at < until for since, until in self._spoilt):
                yield bucket

    async def _undo(self, reason: str) -> None:
        change = self.changes.current
        if change is not None and change.generation is not None:
            now = self._node.clock()
            self._spoilt = [*self._spoilt[-15:], (change.generation.since_ms, now + change.config.settings.tick_ms)]
        generation, record = self.changes.roll_back(self._node.clock(), reason)
        self._adopt(generation)
        self._settled()
        await self._write_or_keep(record)

    def _settled(self) -> None:
        """Nothing is on probation any more."""
        self._judge = None
        self.request_metrics.set_latency_objectives(self._node.generation.latency_objectives_ms)

    def _adopt(self, generation: Generation) -> None:
        begun = time.perf_counter()
        self._node.apply_generation(generation)
        self.apply_us = [*self.apply_us[-63:], (time.perf_counter() - begun) * 1e6]

    # The history

    async def _write(self, record: Record) -> None:
        if self._store is not None:
            await anyio.to_thread.run_sync(self._store.append, record)

    async def _write_or_keep(self, record: Record) -> None:
        """Write what has happened already; where that fails it is tried again, in order, until it is done."""
        self._unwritten.append(record)
        await self._write_rest()

    async def _write_rest(self) -> None:
        while self._unwritten:
            try:
                await self._write(self._unwritten[0])
            except OSError as error:
                self._node.log.error(
                    "history_write_failed", error=error.strerror, unwritten_records=len(self._unwritten)
                )
                return
            del self._unwritten[0]

    # Reading again

    def reload(self) -> None:
        """SIGHUP: read the files again, in a thread, since their reader may be slow; then take what may be taken."""
        self._reloads += 1
        self._node.task_group.start_soon(self._node.supervise, self._reload, self._reloads)

    async def _reload(self, number: int) -> None:
        async with self._lock:
            if number != self._reloads:
                return  # a later notice reads what this one would have read
            try:
                config = await anyio.to_thread.run_sync(self._read_again)
            except MalformedSettingsError as fault:
                self._node.log.error("configuration_rejected", error=str(fault))
                return
            document, earlier = document_of(config), self._file
            if digest_of(document) == digest_of(earlier):
                self._node.log.info("configuration_unchanged")
                return
            rest = [each for each in plan_of(earlier, document).differences if each.effect is not Effect.LINKS]
            if not rest or not self.changes.rules.reload_all:
                self._file, self.changes.base = document, digest_of(document)
            peers, _ = with_new_peer_addresses(self._node.generation.config, config)
            if peers != self._node.generation.config:
                generation, record = self.changes.moved(
                    self._node.clock(), peers, {**self.changes.in_force.document, "peers": document["peers"]}, "SIGHUP"
                )
                self._adopt(generation)
                await self._write_or_keep(record)
            self._node.log.info(
                "configuration_applied",
                pool=config.pool,
                records=config.records,
                directory=config.directory,
                needs_restart=[".".join(each.path) for each in rest[:20]],
            )
            if rest and self.changes.rules.reload_all:
                base = self.changes.base
                self.changes.base = digest_of(document)
                try:
                    await self._push(config, document, "SIGHUP", False)
                    self._file = document
                except Denied as denied:  # the next notice tries it again
                    self.changes.base = base
                    self._node.log.error("configuration_rejected", error=str(denied))

    # Commands

    async def command(self, request: dict[str, Any]) -> dict[str, Any]:
        """Carry out one command; the result. Raises Denied or Faulty."""
        commands: dict[str, Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]] = {
            "status": self._status,
            "check": self._check,
            "diff": self._check,
            "stage": self._stage,
            "apply": self._apply,
            "confirm": self._confirm,
            "rollback": self._rollback,
            "drop": self._drop,
            "history": self._history,
        }
        do = commands.get(request["do"])
        if do is None:
            raise Denied(Denial.NONE, f"no command {request['do'][:40]!r}")
        if request["do"] in ("status", "history"):
            return await do(request)
        async with self._lock:
            return await do(request)

    def _document(self, request: dict[str, Any]) -> tuple[Document, list[Fault]]:
        """The whole document that a request asks for: laid over the one in force, or with `whole` instead of it."""
        part = request.get("document")
        if not isinstance(part, dict):
            raise InvalidDocumentError([Fault((), "a document is needed")])
        checker = DocumentChecker(ParsedDocument(part, "document"))
        found = checker.check()
        if has_errors(checker.faults):
            raise InvalidDocumentError(checker.faults)
        base: Document = {} if request.get("whole") is True else self.changes.in_force.document
        whole, faults = complete(merge(base, found))
        if has_errors(faults):
            raise InvalidDocumentError(faults)
        return whole, checker.faults + faults

    def _drafted(self, request: dict[str, Any]) -> tuple[Change, list[Fault]]:
        whole, warnings = self._document(request)
        origin = str(request.get("origin") or "control socket")[:SHOWN_MOST]
        return self._draft(config_from(whole), whole, origin, request.get("force") is True), warnings

    def _draft(self, config: Config, document: Document, origin: str, forced: bool) -> Change:
        now = self._node.clock()
        change = self.changes.draft(now, config, document, origin, forced)
        try:  # a module made of it, for nothing: what it raises now it does not raise in service
            AdmissionController(Generation(0, config).settings, 0, 0.0)
        except Exception as error:
            denied = Denied(Denial.UNPROVEN, repr(error))
            self.changes.refuse(now, change, denied)
            raise denied from None
        return change

    async def _check(self, request: dict[str, Any]) -> dict[str, Any]:
        """A dry run: what would change, and when it would act. Nothing is drafted."""
        whole, warnings = self._document(request)
        plan = plan_of(self.changes.in_force.document, whole)
        return {
            "plan": plan.as_dict(),
            "lines": [str(each) for each in plan.differences],
            "warnings": [each.as_dict() for each in warnings],
            "digest": digest_of(whole),
            "against": self.changes.in_force.generation.number,
        }

    async def _stage(self, request: dict[str, Any]) -> dict[str, Any]:
        change, warnings = self._drafted(request)
        self.changes.stage(self._node.clock(), change)
        return {"change": change.as_dict(), "warnings": [each.as_dict() for each in warnings]}

    async def _drop(self, request: dict[str, Any]) -> dict[str, Any]:
        return {"change": self.changes.drop(self._node.clock()).as_dict()}

    async def _apply(self, request: dict[str, Any]) -> dict[str, Any]:
        """Apply what is staged, or with a document stage and apply that. A sender that waits only until some time
        says so: what it has given up, and may have undone already, must not come into force after all."""
        until = request.get("until_ms")
        if isinstance(until, int | float) and self._node.clock() > until:
            raise Denied(Denial.LATE)
        if "document" in request:
            if self.changes.current is not None:
                raise Denied(Denial.BUSY, f"change {self.changes.current.number} is on probation")
            change, _ = self._drafted(request)
            return {"change": (await self._carry_out_now(change)).as_dict()}
        number = request.get("number")
        if number is not None and (isinstance(number, bool) or not isinstance(number, int)):
            raise Denied(Denial.NONE, "a number is needed")
        return {"change": (await self._carry_out(number)).as_dict()}

    async def _push(self, config: Config, document: Document, origin: str, forced: bool) -> Change:
        return await self._carry_out_now(self._draft(config, document, origin, forced))

    async def _carry_out_now(self, change: Change) -> Change:
        """Stage and apply in one; where it cannot be applied now it does not stay staged, for nobody waits for it."""
        self.changes.stage(self._node.clock(), change)
        try:
            return await self._carry_out(change.number)
        except Denied as denied:
            if self.changes.staged is change:
                self.changes.refuse(self._node.clock(), change, denied)
            raise

    async def _carry_out(self, number: int | None) -> Change:
        """Write it down, adopt it, and begin to watch. A crash on the way leaves the last confirmed one in force."""
        node, changes = self._node, self.changes
        if node.phase not in (Phase.WAITING, Phase.SERVING):
            raise Denied(Denial.LEAVING, PHASE_WORDS[node.phase])
        await self._write_rest()
        if self._unwritten:  # in order, or not at all: what stands behind a gap is not believed at the next start
            raise Denied(Denial.HISTORY, f"{len(self._unwritten)} records behind")
        change, record = changes.begin(node.clock(), number)
        try:
            await self._write(record)
        except OSError as error:
            await self._write_or_keep(changes.failed(node.clock(), f"{Denial.HISTORY.value}: {error.strerror}"))
            raise Denied(Denial.HISTORY, error.strerror or "") from None
        if node.phase not in (Phase.WAITING, Phase.SERVING):  # it was told to leave meanwhile
            await self._write_or_keep(changes.failed(node.clock(), Denial.LEAVING.value))
            raise Denied(Denial.LEAVING, PHASE_WORDS[node.phase])
        generation, now = change.generation, node.clock()
        assert generation is not None
        before = Baseline(self._untroubled(now - changes.rules.baseline_ms, now))
        was = node.generation.latency_objectives_ms
        self._adopt(generation)
        # an answer within either quoted time is one in time: what is asked is whether the node does worse
        self.request_metrics.set_latency_objectives(
            {
                name: max(was.get(name, 0.0), quoted)
                for name, quoted in {**was, **generation.latency_objectives_ms}.items()
            }
        )
        confirmed = changes.applied(node.clock())
        self.verdict = None
        if confirmed is None:
            self._judge = CanaryAnalysis(before, node.clock(), changes.rules.standard_errors)
        else:
            self._settled()
            await self._write_or_keep(confirmed)
        return change

    async def _confirm(self, request: dict[str, Any]) -> dict[str, Any]:
        """An operator's word ends the probation."""
        current = self.changes.current
        record = self.changes.confirm(self._node.clock(), "confirmed by an operator")
        self._settled()
        await self._write_or_keep(record)
        return {"change": current.as_dict() if current else None}

    async def _rollback(self, request: dict[str, Any]) -> dict[str, Any]:
        """Undo what is on probation; where nothing is, go back to an earlier generation, as a change like any."""
        asked = request.get("generation")
        if asked is not None and (isinstance(asked, bool) or not isinstance(asked, int)):
            raise Denied(Denial.NONE, "a generation's number is needed")
        expected = request.get("from")
        if expected is not None and expected != self.changes.in_force.generation.origin:
            raise Denied(Denial.OVERTAKEN, "what is in force came from elsewhere than what is to be undone")
        if self.changes.current is not None and asked is None:
            current = self.changes.current
            await self._undo("undone by an operator")
            return {"change": current.as_dict()}
        held = self.changes.earlier(asked)
        document = {**held.document, "peers": self.changes.in_force.document["peers"]}
        change = await self._push(config_from(document), document, f"back to generation {held.generation.number}", True)
        return {"change": change.as_dict()}

    async def _status(self, request: dict[str, Any]) -> dict[str, Any]:
        node = self._node
        verdict = (
            None
            if self.verdict is None
            else {
                "standing": STANDING_WORDS[self.verdict.status],
                "reason": self.verdict.reason,
                **self.verdict.figures,
            }
        )
        return {
            "name": node.generation.config.name,
            "phase": PHASE_WORDS[node.phase],
            "healthy": node.is_healthy,
            "in_hand": len(node.requests),
            "verdict": verdict,
            "apply_us": self.apply_us[-8:],
            "history_behind": len(self._unwritten),
            **self.changes.status(node.clock()),
        }

    async def _history(self, request: dict[str, Any]) -> dict[str, Any]:
        records = list(self.changes.records)[-HISTORY_SHOWN:]
        return {
            "records": [
                {
                    "at": each.at,
                    "event": each.event.value,
                    "generation": each.generation,
                    "digest": each.digest,
                    "origin": each.origin,
                    "since_ms": each.since_ms,
                    "reason": each.reason,
                }
                for each in records
            ]
        }
