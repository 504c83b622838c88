"""The judge of a change on probation: whether the node does worse than before it by more than chance.

Owns the comparison of two stretches of time, the one before the change and the one since, for all that is read, for
each service grade and for each customer. It has no clock and does no I/O. It must never blame a change for a rise of
the load alone, nor let a good total hide one grade or one customer that is starved.

What is expected of a group is what it had in time before, less in proportion where less of it came; less, too, by the
work that came more of the others, since cores that they take it cannot have; and less by what reading all that came
more costs; these two only where the cores are busy. That is what the old settings would at least have done under the
new load, wherever work is done first by credit. Where this node says a lower weight, fewer come by its own doing, and
no less is expected for it. Where cores stand idle, the part of what was read that is in time is held against the part
before, which tells sooner, since how many came is then no chance any more.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import inf, sqrt
from statistics import median

from nickelslip.configuration.request_metrics import BUCKET_MS, Counts, MetricsBucket, Pair

BATCH = 2  # buckets to a batch, over which counts are taken as one draw
BURST = 4  # buckets, in which so much more than usual is a burst
READING_PART = 0.3  # of the mean work that reading one transaction may cost, whatever is then decided
DROP_LEAST = 0.15  # of what is expected: a smaller one is no ground to undo, however certain
MISSING_LEAST = 5.0  # transactions, likewise
FORFEITS_LEAST, FORFEITS_BY_LOAD = 0.03, 0.1  # of all answers, more than before; and for each time the load
CALLS_LEAST = 0.1  # of all calls that go badly, more than before
MEMORY_MOST, MEMORY_BEFORE = 0.95, 0.9
LATELY_MS = 3000.0  # harm that begins late is not to be thinned by the good time before it
SETTLE_MS = 250.0  # after the change: what was decided before it is still being answered
LOOKS = 2  # in a row that have to show the same harm
ENOUGH = 40.0  # transactions expected in time since the change, for its harmlessness to be told
BUSY = 0.7  # of the cores, in the mean of a few looks; under it more work for others takes nothing from anybody
LOAD_CALM = 1.5  # over this rise of the load too much is excused for harmlessness to be told
LAG_MOST = 0.7
TYPICAL, SPIKES = 1.4826, 2.0  # of a normal draw, its deviation over the median of its size; and how much more counts
LOW_OF = 10  # one in so many looks before the change heard a weight as low, or lower


class CanaryStatus(Enum):
    """What can be said of a change."""

    INSUFFICIENT_DATA = "too little has been seen"
    SUSPECTED = "one look has shown harm, and the next one will tell"
    NO_HARM = "it does no harm that could be told from chance"
    HARM = "the node does worse than before it"


@dataclass(frozen=True)
class CanaryVerdict:
    """What was found, and the figures that it rests on."""

    status: CanaryStatus
    reason: str
    figures: dict[str, float] = field(default_factory=dict)


class Stretch:
    """Buckets of one stretch of time, summed up by pair as they come."""

    def __init__(self, buckets: Iterable[MetricsBucket] = ()) -> None:
        self.count = 0
        self.pairs: dict[Pair, Counts] = {}
        self.calls = self.calls_bad = 0
        self.memory, self._busy, self._busies, self._weight, self._weights = 0.0, 0.0, 0, 0.0, 0
        for bucket in buckets:
            self.add(bucket)

    def add(self, bucket: MetricsBucket) -> None:
        """The next bucket."""
        self.count += 1
        for pair, counts in bucket.pairs.items():
            if (known := self.pairs.get(pair)) is None:
                known = self.pairs[pair] = Counts()
            known.add(counts)
        self.calls, self.calls_bad = self.calls + bucket.calls, self.calls_bad + bucket.calls_bad
        self.memory = max(self.memory, bucket.memory)
        self._busy, self._busies = self._busy + bucket.busy, self._busies + bucket.busies
        self._weight, self._weights = self._weight + bucket.weight, self._weights + bucket.weights

    @property
    def ms(self) -> float:
        return self.count * BUCKET_MS

    @property
    def busy(self) -> float:
        """Of the cores; not known, nothing is held against it."""
        return self._busy / self._busies if self._busies else 1.0

    @property
    def weight(self) -> float:
        return self._weight / self._weights if self._weights else 1.0

    def groups(self) -> dict[str, set[Pair]]:
        """Each group by its name: all, each grade, each customer."""
        out: dict[str, set[Pair]] = {}
        for pair in self.pairs:
            out.setdefault(f"grade {pair[0]}", set()).add(pair)
            if pair[1]:
                out.setdefault(f"customer {pair[1]}", set()).add(pair)
        return out

    def sum(self, pairs: Iterable[Pair]) -> Counts:
        """The counts of a group."""
        total = Counts()
        for pair in pairs:
            if (counts := self.pairs.get(pair)) is not None:
                total.add(counts)
        return total


class Baseline(Stretch):
    """The time before a change, whose buckets are looked at one by one: how even it was, and how low a weight was said
    in it. A burst that was over by then is left out, since what it spoilt says nothing of the time after it."""

    def __init__(self, buckets: Iterable[MetricsBucket]) -> None:
        every = list(buckets)
        spans = [every[at : at + BURST] for at in range(0, len(every), BURST)]
        reads = [sum(counts.reads for bucket in span for counts in bucket.pairs.values()) for span in spans]
        usual = median(reads) if reads else 0.0
        self.buckets = [
            bucket
            for span, count in zip(spans, reads, strict=True)
            for bucket in span
            if count <= max(LOAD_CALM * usual, usual + 3 * sqrt(usual))
        ]
        super().__init__(self.buckets)
        said = sorted(bucket.weight / bucket.weights for bucket in self.buckets if bucket.weights)
        self.low_weight = said[len(said) // LOW_OF] if said else 1.0

    def unevenness(self, pairs: set[Pair]) -> tuple[float, float]:
        """How much more the count in time varies, from batch to batch and for what was read in it, than chance alone
        would make it, at least 1; what one batch has in common with the next counts, too. What varies with what is
        read is left out, since the comparison allows for that itself: a burst before the change would otherwise
        pass for noise. And the variance that a batch adds to the count in time when what was read is known: what one
        batch leaves open the next one answers, so that it is less than that of a batch alone."""
        whole = self.sum(pairs)
        count = len(self.buckets) // BATCH
        if count < 4 or not whole.in_time or not whole.reads:
            return 1.0, inf
        part, mean = whole.in_time / whole.reads, whole.in_time / count
        spread = [0.0] * count
        for at, bucket in enumerate(self.buckets[: count * BATCH]):
            for pair, counts in bucket.pairs.items():
                if pair in pairs:
                    spread[at // BATCH] += counts.in_time - part * counts.reads
        if (most := SPIKES * TYPICAL * median(map(abs, spread))) > 0:  # a bad second is no measure of the others
            spread = [min(max(each, -most), most) for each in spread]
        variance = sum(each * each for each in spread) / (count - 1)
        lag = sum(a * b for a, b in zip(spread, spread[1:], strict=False)) / max(variance * (count - 1), 1e-9)
        both = min(max(lag, -LAG_MOST), LAG_MOST)
        lag = max(both, 0.0)
        return max(1.0, variance / mean) * (1 + lag) / (1 - lag), variance * (1 + both) / (1 - both)


class CanaryAnalysis:
    """One change on probation, before which `before` was."""

    def __init__(self, before: Baseline, since_ms: float, sigmas: float) -> None:
        self._before, self._sigmas = before, sigmas
        self.restart(since_ms)
        self._groups = before.groups()
        self._uneven = {name: before.unevenness(pairs) for name, pairs in self._groups.items()}
        self._work = {pair: self._mean_work(pair) for pair in before.pairs}
        done = before.sum(before.pairs)
        self._mean = done.work_ms / done.in_time if done.in_time and done.work_ms else 1.0
        self._reads = done.reads / before.ms if before.ms else 0.0  # a millisecond

    def _mean_work(self, pair: Pair) -> float:
        """Of the grade, since customers of a grade do not differ in it by more than chance."""
        of_grade = self._before.sum(each for each in self._before.pairs if each[0] == pair[0])
        return of_grade.work_ms / of_grade.in_time if of_grade.in_time and of_grade.work_ms else 1.0

    def restart(self, now: float) -> None:
        """What happened up to now says nothing of the change."""
        self.evaluated_until_ms = now + SETTLE_MS  # up to here it has looked
        self._since, self._lately = Stretch(), deque[MetricsBucket](maxlen=int(LATELY_MS / BUCKET_MS))
        self._shown: tuple[str, int] = ("", 0)  # which harm the last looks have shown, and how many

    def evaluate(self, now: float, buckets: Iterable[MetricsBucket]) -> CanaryVerdict:
        """The verdict, with the whole buckets from `upto` to now, the oldest first: each is looked at once."""
        for bucket in buckets:
            self._since.add(bucket)
            self._lately.append(bucket)
            self.evaluated_until_ms = (bucket.number + 1) * BUCKET_MS
        since = self._since
        harm = self._harm(since)
        if harm is None and since.count > len(self._lately):
            harm = self._harm(Stretch(self._lately))
        if harm is None:
            self._shown = ("", 0)
            return self._unharmed(since)
        kind = harm.reason.split(":")[0]
        self._shown = (kind, self._shown[1] + 1 if self._shown[0] == kind else 1)
        return harm if self._shown[1] >= LOOKS else CanaryVerdict(CanaryStatus.SUSPECTED, harm.reason, harm.figures)

    def _load(self, since: Stretch) -> float:
        """How many times the work of before is asked for."""
        if not since.ms or not self._before.ms:
            return 1.0
        before, now = self._before.sum(self._before.pairs).reads, since.sum(since.pairs).reads
        return now / since.ms / (before / self._before.ms) if before else 1.0

    def _unharmed(self, since: Stretch) -> CanaryVerdict:
        load = self._load(since)
        in_time = self._before.sum(self._before.pairs).in_time
        expected = in_time * since.ms / self._before.ms if self._before.ms else 0.0
        figures = {
            "load": round(load, 3),
            "expected": round(expected, 1),
            "in_time": float(since.sum(since.pairs).in_time),
        }
        if expected < ENOUGH or since.sum(since.pairs).in_time < ENOUGH / 4:
            return CanaryVerdict(CanaryStatus.INSUFFICIENT_DATA, "too few transactions to tell", figures)
        if load > LOAD_CALM:
            return CanaryVerdict(CanaryStatus.INSUFFICIENT_DATA, "the load has risen too far to tell", figures)
        return CanaryVerdict(CanaryStatus.NO_HARM, "no harm that could be told from chance", figures)

    def _harm(self, since: Stretch) -> CanaryVerdict | None:
        """The first harm found, if any. Reasons begin with the kind, up to a colon."""
        if not since.ms or not self._before.ms:
            return None
        if since.memory > MEMORY_MOST and self._before.memory < MEMORY_BEFORE:
            return CanaryVerdict(
                CanaryStatus.HARM, f"memory: {since.memory:.2f} of it in use, {self._before.memory:.2f} before"
            )
        more = {pair: self._more_work(pair, since) for pair in {*self._before.pairs, *since.pairs}}
        every = sum(more.values())
        reading = READING_PART * self._mean * max(0.0, since.sum(since.pairs).reads / since.ms - self._reads)
        for name, pairs in self._groups.items():
            # cores that stood idle say that nobody else's work kept this from them
            excused = 0.0 if since.busy < BUSY else max(0.0, every - sum(more[pair] for pair in pairs)) + reading
            if (found := self._starved(name, pairs, since, excused)) is not None:
                return found
        return self._failing(since)

    def _more_work(self, pair: Pair, since: Stretch) -> float:
        """Work a millisecond that more came of a pair than before."""
        was, now = self._before.pairs.get(pair), since.pairs.get(pair)
        more = (now.reads / since.ms if now else 0.0) - (was.reads / self._before.ms if was else 0.0)
        return more * self._work.get(pair, self._mean)

    def _starved(self, name: str, pairs: set[Pair], since: Stretch, excused_ms: float) -> CanaryVerdict | None:
        """Fewer of a group in time than the old settings would at least have had under this load, of whose work so
        much a millisecond is excused."""
        before = self._before
        was, now = before.sum(pairs), since.sum(pairs)
        if not was.reads or not was.in_time:
            return None
        reads_was, good_was = was.reads / before.ms, was.in_time / before.ms
        reads_now, good_now = now.reads / since.ms, now.in_time / since.ms
        # fewer come where a lower weight is said: by this node's own doing, and not because less is asked for
        own_doing = max(1.0, before.low_weight / since.weight) if since.weight > 0 else float("inf")
        came = min(1.0, reads_now / reads_was * own_doing) if reads_now else min(1.0, own_doing - 1.0)
        work = sum(self._work[pair] * before.pairs[pair].in_time for pair in pairs) / was.in_time
        expected = max(0.0, good_was * came - excused_ms / max(work, 1e-9)) * since.ms
        seen = good_now * since.ms
        if expected - seen < max(MISSING_LEAST, DROP_LEAST * expected):
            return None
        # counts under Anscombe's transform have a variance of one; what was expected is a count of its own
        apart = 2 * (sqrt(expected + 0.375) - sqrt(seen + 0.375))
        sigmas = apart / sqrt(self._uneven[name][0] * (1 + since.ms / before.ms))
        if since.busy < BUSY:
            sigmas = max(sigmas, self._of_the_read(pairs, since, self._uneven[name][1]))
        if sigmas < self._sigmas:
            return None
        return CanaryVerdict(
            CanaryStatus.HARM,
            f"{name}: {seen:.0f} answered in their quoted time where {expected:.0f} were due",
            {
                "expected": round(expected, 1),
                "in_time": seen,
                "sigmas": round(sigmas, 2),
                "load": round(self._load(since), 3),
            },
        )

    def _of_the_read(self, pairs: set[Pair], since: Stretch, variance: float) -> float:
        """By how many standard errors the part in time of what was read is under the part before."""
        was, now = self._before.sum(pairs), since.sum(pairs)
        if not was.reads or not now.reads:
            return 0.0
        expected = was.in_time / was.reads * now.reads
        part = min(1.0, (was.in_time + now.in_time + 1) / (was.reads + now.reads + 2))
        chance = max(variance * since.count / BATCH, part * (1 - part) * now.reads, 1.0)
        return (expected - now.in_time) / sqrt(chance * (1 + now.reads / was.reads))

    def _failing(self, since: Stretch) -> CanaryVerdict | None:
        """More forfeited, or more calls that go badly, than before."""
        before, load = self._before, self._load(since)
        was, now = before.sum(before.pairs), since.sum(since.pairs)
        looks = (
            (
                "forfeits",
                was.forfeited,
                _answers(was),
                now.forfeited,
                _answers(now),
                FORFEITS_LEAST + FORFEITS_BY_LOAD * max(0.0, load - 1),
            ),
            ("calls", before.calls_bad, before.calls, since.calls_bad, since.calls, CALLS_LEAST),
        )
        for name, bad_was, all_was, bad, every, least in looks:
            if not all_was or not every or bad < MISSING_LEAST or bad / every - bad_was / all_was < least:
                continue
            part = (bad_was + bad + 1) / (all_was + every + 2)
            sigmas = (bad / every - bad_was / all_was) / sqrt(part * (1 - part) * (1 / all_was + 1 / every))
            if sigmas >= self._sigmas:
                return CanaryVerdict(
                    CanaryStatus.HARM,
                    f"{name}: {bad} of {every}, before {bad_was} of {all_was}",
                    {"sigmas": round(sigmas, 2), "load": round(load, 3)},
                )
        return None


def _answers(counts: Counts) -> int:
    return counts.in_time + counts.late + counts.dismissed + counts.forfeited
