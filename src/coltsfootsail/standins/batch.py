"""A model server that runs requests in batches, in the users' terms.

Each step makes one token of every running request; prompts are read in
pieces between the steps, so that a prompt stretches the pauses of all
streams.  Running requests and kept prompt parts share the memory.  Loads
of adapters that many servers fetch at once slow each other down.
"""

import collections
import dataclasses

import trio

from coltsfootsail.platform import messages
from coltsfootsail.standins import servers


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """What a batching server can do.

    :param step_s: time of a step while nothing is read.
    :param run_s: what each running request adds to it.
    :param piece_tokens: prompt tokens read between two steps.
    :param stride: tokens in one event.
    :param cold_s: a load from the store while few are under way.
    :param warm_s: a load of what the server held before.
    """

    slots: int = 64
    memory_tokens: int = 120_000
    step_s: float = 0.00887
    run_s: float = 0.0
    read_tokens_per_s: float = 19_100.0
    piece_tokens: int = 2048
    stride: int = 3
    cold_s: float = 0.25
    warm_s: float = 0.025


class WeightStore:
    """Counts the loads under way over all servers.

    :param at_once: loads that go at full speed.
    """

    def __init__(self, at_once, now=trio.current_time):
        self._at_once = at_once
        self._now = now
        self._until_s = []
        self.loads = 0

    def delay_s(self, alone_s):
        """Begin a load that would take so long alone."""
        now_s = self._now()
        self._until_s = [at for at in self._until_s if at > now_s]
        share = max(1.0, (len(self._until_s) + 1) / self._at_once)
        self._until_s.append(now_s + alone_s * share)
        self.loads += 1
        return alone_s * share


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    adapter: str
    parts: tuple
    prompt_tokens: int
    output_tokens: int
    priority: int
    unread: int = 0
    made: int = 0
    events: int = 0
    news: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def tokens(self):
        """Memory that it takes now."""
        return self.prompt_tokens + self.made

    def tell(self):
        """Wake who waits for the next event."""
        news, self.news = self.news, trio.Event()
        news.set()


class BatchServer(servers.ModelServer):
    """A model server with a batch, a memory and shared loads.

    :param weights: the ``WeightStore`` of all servers.
    :param speed: a ``Speed``.
    :param places: adapters that it holds at once.
    :param nursery: where it works.
    """

    def __init__(self, name, store, address, weights, speed, places, nursery):
        super().__init__(name, store, address)
        self.places = places
        self._weights = weights
        self._speed = speed
        self._nursery = nursery
        self._waiting = []
        self._active = []
        self._kept = collections.OrderedDict()
        self._condemned = set()
        self._working = False
        self.preempted = 0
        self.run_s = 0.0

    # -- adapters ---------------------------------------------------

    def _delay_s(self, adapter):
        if adapter in self.seen:
            return self._speed.warm_s
        self.seen.add(adapter)
        return self._weights.delay_s(self._speed.cold_s)

    def _in_use(self, adapter):
        return any(job.adapter == adapter for job in self._jobs())

    def _unload(self, adapter):
        if self._in_use(adapter):
            self._condemned.add(adapter)
            return 202
        return super()._unload(adapter)

    def restart(self):
        """Lose everything but the disk, as after a crash."""
        self.sequence = 0
        self.models = {}
        self.adapters.clear()
        self.pending.clear()
        self._kept.clear()

    # -- requests ---------------------------------------------------

    def _jobs(self):
        return (*self._active, *self._waiting)

    async def _events(self, run, after):
        job = self._job(run, after)
        self._waiting.append(job)
        if not self._working:
            self._working = True
            self._nursery.start_soon(self._work)
        try:
            number = after + 1
            while job.made < job.output_tokens or number <= job.events:
                while number > job.events:
                    await job.news.wait()
                yield number
                number += 1
        finally:
            self._drop(job)

    def _job(self, run, after):
        headers = dict(run.headers)
        prompt, output = headers[messages.TOKENS].split(",")
        parts = tuple(
            (name, int(tokens))
            for name, _, tokens in (
                part.partition(":")
                for part in headers[messages.PROMPT_PREFIX].split(",")
            )
        )
        made = (after + 1) * self._speed.stride
        return _Job(
            run.adapter,
            parts,
            int(prompt),
            max(int(output), made + 1),
            int(headers.get(messages.PRIORITY, 5)),
            made=made,
            events=after,
        )

    def _drop(self, job):
        for jobs in (self._active, self._waiting):
            if job in jobs:
                jobs.remove(job)
        if job.adapter in self._condemned and not self._in_use(job.adapter):
            self._condemned.discard(job.adapter)
            super()._unload(job.adapter)

    # -- work -------------------------------------------------------

    def _unread(self, job):
        read = 0
        for name, tokens in job.parts[:-1]:
            key = (job.adapter, name)
            if key not in self._kept:
                break
            self._kept.move_to_end(key)
            read += tokens
        return max(1, job.prompt_tokens + job.made - read)

    def _admit(self):
        self._waiting.sort(key=lambda job: job.priority)
        while self._waiting and len(self._active) < self._speed.slots:
            used = sum(job.tokens for job in self._active)
            if used + self._waiting[0].tokens > self._speed.memory_tokens:
                return
            job = self._waiting.pop(0)
            job.unread = self._unread(job)
            self._active.append(job)

    def _make_room(self):
        """Preempt, and forget kept parts, until all fits the memory."""
        used = sum(job.tokens for job in self._active)
        while used > self._speed.memory_tokens and len(self._active) > 1:
            last = max(
                range(len(self._active)),
                key=lambda at: (self._active[at].priority, at),
            )
            job = self._active.pop(last)
            self.preempted += 1
            used -= job.tokens
            self._waiting.append(job)
        kept = sum(self._kept.values())
        while self._kept and used + kept > self._speed.memory_tokens:
            kept -= self._kept.popitem(last=False)[1]

    def _read(self):
        """Read the next piece of prompts.

        :returns: the tokens read.
        """
        left = self._speed.piece_tokens
        for job in self._active:
            piece = min(job.unread, left)
            job.unread -= piece
            left -= piece
            if piece and not job.unread:
                for name, tokens in job.parts[:-1]:
                    self._kept[job.adapter, name] = tokens
        return self._speed.piece_tokens - left

    async def _work(self):
        speed = self._speed
        while self._active or self._waiting:
            self._admit()
            self._make_room()
            running = [job for job in self._active if not job.unread]
            step_s = speed.step_s + speed.run_s * len(running)
            step_s += self._read() / speed.read_tokens_per_s
            self.run_s += step_s * len(self._active)
            await trio.sleep(step_s)
            for job in running:
                self._advance(job)
        self._working = False

    def _advance(self, job):
        job.made += 1
        whole = job.made >= job.output_tokens
        if whole or job.made % self._speed.stride == 0:
            job.events += 1
            job.tell()
        if whole and job in self._active:
            self._active.remove(job)
