"""A simulated model server with continuous batching.

Each step generates one token for every running request.  Prompts are
prefilled in chunks as part of the steps, so a long prompt lengthens the
pauses between the tokens of all streams.  The first event has one token,
the others have several.  Running requests and cached prompt prefixes share
the KV-cache memory.  Concurrent adapter loads by many servers slow each
other down.
"""

import collections
import dataclasses

import trio

from coltsfootsail.platform import messages
from coltsfootsail.standins import servers


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSpec:
    """Capacity and timing of a batching server.

    :param slots: maximum number of running requests.
    :param memory_tokens: KV-cache memory, in tokens.
    :param step_s: duration of a step without prefill or running requests.
    :param step_s_per_request: added to a step by each running request.
    :param prefill_chunk_tokens: most prompt tokens prefilled in a step.
    :param stride: tokens in one event.
    :param cold_s: duration of an adapter load from the weight store
        while few loads are in progress.
    :param warm_s: duration of a load of an adapter that the server
        loaded before.
    """

    slots: int = 64
    memory_tokens: int = 120_000
    step_s: float = 0.00887
    step_s_per_request: float = 0.0
    prefill_tokens_per_s: float = 19_100.0
    prefill_chunk_tokens: int = 2048
    stride: int = 3
    cold_s: float = 0.25
    warm_s: float = 0.025


class WeightStore:
    """Models the bandwidth that the loads of all servers share.

    ``full_speed_loads`` may change at any time.

    :param full_speed_loads: number of concurrent loads that run at full
        speed; more loads share that bandwidth.
    """

    def __init__(self, full_speed_loads, now=trio.current_time):
        self.full_speed_loads = full_speed_loads
        self._now = now
        self._load_ends_s = []
        self.loads = 0

    def start_load(self, unshared_s):
        """Start a load.

        :param unshared_s: its duration without other loads.
        :returns: its duration beside the loads in progress, in seconds.
        """
        now_s = self._now()
        self._load_ends_s = [
            end_s for end_s in self._load_ends_s if end_s > now_s
        ]
        slowdown = max(
            1.0, (len(self._load_ends_s) + 1) / self.full_speed_loads
        )
        self._load_ends_s.append(now_s + unshared_s * slowdown)
        self.loads += 1
        return unshared_s * slowdown


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    """A request that waits or runs.

    :param prompt_parts: (name, tokens) of each part of the prompt.
    :param prefill_left: tokens still to be prefilled.
    :param generated: tokens generated.
    :param events: number of the newest event that can be sent; the first
        event is number 0.
    :param event_ready: set when ``events`` grows.
    """

    adapter: str
    prompt_parts: tuple
    prompt_tokens: int
    output_tokens: int
    priority: int
    prefill_left: int = 0
    generated: int = 0
    events: int = 0
    event_ready: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def tokens(self):
        """KV-cache memory that the request uses now, in tokens."""
        return self.prompt_tokens + self.generated

    def notify(self):
        """Wake the task that waits for the next event."""
        event_ready, self.event_ready = self.event_ready, trio.Event()
        event_ready.set()


class BatchServer(servers.ModelServer):
    """A model server that simulates batching, KV cache and adapter loads.

    :param weights: the ``WeightStore`` that all servers share.
    :param spec: a ``ServerSpec``.
    :param adapter_slots: number of adapters that it holds at once.
    :param nursery: runs the task that executes the steps.
    """

    def __init__(
        self, name, store, address, weights, spec, adapter_slots, nursery
    ):
        super().__init__(name, store, address)
        self.adapter_slots = adapter_slots
        self._weights = weights
        self._spec = spec
        self._nursery = nursery
        self._waiting = []
        self._active = []
        self._prefix_cache = collections.OrderedDict()
        self._unload_when_idle = set()
        self._stepping = False
        self.preempted = 0
        # Running time summed over requests, to compute the mean batch size.
        self.run_s = 0.0

    def _load_delay_s(self, adapter):
        if adapter in self.loaded_before:
            return self._spec.warm_s
        self.loaded_before.add(adapter)
        return self._weights.start_load(self._spec.cold_s)

    def _in_use(self, adapter):
        return any(job.adapter == adapter for job in self._jobs())

    def _unload(self, adapter):
        if self._in_use(adapter):
            self._unload_when_idle.add(adapter)
            return 202
        return super()._unload(adapter)

    def restart(self, name=None):
        """Start again; adapters loaded before stay on the local disk."""
        super().restart(name)
        self._prefix_cache.clear()

    def _jobs(self):
        return (*self._active, *self._waiting)

    async def _event_numbers(self, run, after):
        job = self._make_job(run, after)
        self._waiting.append(job)
        if not self._stepping:
            self._stepping = True
            self._nursery.start_soon(self._run_steps)
        try:
            number = after + 1
            while job.generated < job.output_tokens or number <= job.events:
                while number > job.events:
                    await job.event_ready.wait()
                yield number
                number += 1
        finally:
            self._remove(job)

    def _make_job(self, run, after):
        headers = dict(run.headers)
        prompt, output = headers[messages.TOKENS].split(",")
        prompt_parts = tuple(
            (name, int(tokens))
            for name, _, tokens in (
                part.partition(":")
                for part in headers[messages.PROMPT_PREFIX].split(",")
            )
        )
        generated = (after + 1) * self._spec.stride
        return _Job(
            run.adapter,
            prompt_parts,
            int(prompt),
            max(int(output), generated + 1),
            int(headers.get(messages.PRIORITY, 5)),
            generated=generated,
            events=after,
        )

    def _remove(self, job):
        for jobs in (self._active, self._waiting):
            if job in jobs:
                jobs.remove(job)
        if job.adapter in self._unload_when_idle and not self._in_use(
            job.adapter
        ):
            self._unload_when_idle.discard(job.adapter)
            super()._unload(job.adapter)

    def _uncached_tokens(self, job):
        cached = 0
        for name, tokens in job.prompt_parts[:-1]:
            key = (job.adapter, name)
            if key not in self._prefix_cache:
                break
            self._prefix_cache.move_to_end(key)
            cached += tokens
        return max(1, job.prompt_tokens + job.generated - cached)

    def _admit(self):
        self._waiting.sort(key=lambda job: job.priority)
        while self._waiting and len(self._active) < self._spec.slots:
            used = sum(job.tokens for job in self._active)
            if used + self._waiting[0].tokens > self._spec.memory_tokens:
                return
            job = self._waiting.pop(0)
            job.prefill_left = self._uncached_tokens(job)
            self._active.append(job)

    def _free_memory(self):
        """Preempt requests and evict cached prefixes until memory suffices.

        The request of the least urgent priority that was admitted last
        is preempted first.
        """
        used = sum(job.tokens for job in self._active)
        while used > self._spec.memory_tokens and len(self._active) > 1:
            victim = max(
                range(len(self._active)),
                key=lambda index: (self._active[index].priority, index),
            )
            job = self._active.pop(victim)
            self.preempted += 1
            used -= job.tokens
            self._waiting.append(job)
        cached_tokens = sum(self._prefix_cache.values())
        while (
            self._prefix_cache
            and used + cached_tokens > self._spec.memory_tokens
        ):
            cached_tokens -= self._prefix_cache.popitem(last=False)[1]

    def _prefill(self):
        """Prefill the next chunk of the prompts of running requests.

        :returns: number of tokens prefilled.
        """
        budget = self._spec.prefill_chunk_tokens
        for job in self._active:
            chunk = min(job.prefill_left, budget)
            job.prefill_left -= chunk
            budget -= chunk
            if chunk and not job.prefill_left:
                for name, tokens in job.prompt_parts[:-1]:
                    self._prefix_cache[job.adapter, name] = tokens
        return self._spec.prefill_chunk_tokens - budget

    async def _run_steps(self):
        spec = self._spec
        while self._active or self._waiting:
            self._admit()
            self._free_memory()
            read_s = self._prefill() / spec.prefill_tokens_per_s
            running = [job for job in self._active if not job.prefill_left]
            step_s = spec.step_s + spec.step_s_per_request * len(running)
            step_s += read_s
            self.run_s += step_s * len(self._active)
            await trio.sleep(step_s)
            for job in running:
                self._generate_token(job)
        self._stepping = False

    def _generate_token(self, job):
        job.generated += 1
        finished = job.generated >= job.output_tokens
        if finished or (job.generated - 1) % self._spec.stride == 0:
            job.events += 1
            job.notify()
        if finished and job in self._active:
            self._active.remove(job)
