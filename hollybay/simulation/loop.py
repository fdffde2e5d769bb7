"""A deterministic event loop: time passes only when nothing is left to do, and chance comes from a seed.

What is due at one moment from different sources (timers, the network) comes in an order drawn from the
seed. Callbacks of call_soon stay in their order, as asyncio promises it to its users; transports and futures
rely on that. Every callback that runs is a step, and goes into the hash of the trace by its time and name, so
that two runs can be compared without keeping either. Not safe for threads; run_in_executor runs its call as a
later step.

Several processes can live on one loop: each sees a `Process`, a loop of its own over the same clock and
queue, and can be killed without a word, after which nothing of it runs any more.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import random
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from hashlib import blake2b
from typing import Any, TypeVar, TypeVarTuple

__all__ = ["BaseSimLoop", "Deadlock", "Process", "SimLoop", "StepLimit"]

T = TypeVar("T")
Ts = TypeVarTuple("Ts")


class Deadlock(RuntimeError):
    """Nothing is due any more, and what was waited for has not come."""


class StepLimit(RuntimeError):
    """More steps than allowed: it would go on for ever."""


def _callback_name(callback: Callable[..., object]) -> str:
    """A callback's name, the same in every process: no addresses, no hashes."""
    target: Any = callback
    while hasattr(target, "func"):  # functools.partial
        target = target.func
    own = getattr(target, "__self__", None)
    if isinstance(own, asyncio.Task):
        return f"task {getattr(own.get_coro(), '__qualname__', '')}"
    return getattr(target, "__qualname__", type(target).__name__)


class BaseSimLoop(asyncio.AbstractEventLoop):
    """What a process sees of the loop: callbacks, timers, tasks and signals of its own."""

    root: SimLoop
    name = ""
    sim_host: Any = None  # on which the process runs

    def __init__(self) -> None:
        self.alive = True
        self.errors: list[dict[str, Any]] = []  # what no one handled
        self._signals: dict[int, asyncio.Handle] = {}
        self._exception_handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None = None
        self._tasks: list[asyncio.Task[Any]] = []
        self._reap_threshold = 64  # so many are kept before those that are done are let go

    # Time and callbacks

    def time(self) -> float:
        return self.root.now

    def call_soon(
        self, callback: Callable[[*Ts], object], *args: *Ts, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self.root.ready.append(handle)
        return handle

    def call_soon_threadsafe(
        self, callback: Callable[[*Ts], object], *args: *Ts, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        return self.call_soon(callback, *args, context=context)

    def call_later(
        self,
        delay: float,
        callback: Callable[[*Ts], object],
        *args: *Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        return self.call_at(self.root.now + max(0.0, delay), callback, *args, context=context)

    def call_at(
        self,
        when: float,
        callback: Callable[[*Ts], object],
        *args: *Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self.root.add_timer(when, handle)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """asyncio tells of each cancelled timer; it is skipped when it comes up."""

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Coroutine[Any, Any, T] | Generator[Any, None, T],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[T]:
        task = asyncio.Task(coro, loop=self, name=name or "task", context=context)
        # Held until it is done: collected by chance, a task would end at a moment that does not repeat.
        self._tasks.append(task)
        if len(self._tasks) > self._reap_threshold:
            self.reap_finished_tasks()
            self._reap_threshold = 2 * len(self._tasks) + 64
        return task

    def reap_finished_tasks(self) -> None:
        """Let go of tasks that are done; an exception that nobody asked one for is noted among the errors."""
        for task in self._tasks:
            if task.done() and getattr(task, "_log_traceback", False):
                self.errors.append({"message": "a task failed", "exception": task.exception()})
        self._tasks = [task for task in self._tasks if not task.done()]

    @property
    def tasks(self) -> list[str]:
        """The names of the tasks that are not done."""
        return [getattr(task.get_coro(), "__qualname__", "") for task in self._tasks if not task.done()]

    def timers(self) -> list[str]:
        """The names of this process's own timers that are set."""
        return self.root.timers_of(self)

    def run_in_executor(self, executor: Any, func: Callable[[*Ts], T], *args: *Ts) -> asyncio.Future[T]:
        future: asyncio.Future[T] = self.create_future()

        def run() -> None:
            if future.cancelled():
                return
            try:
                future.set_result(func(*args))
            except Exception as error:
                future.set_exception(error)

        self.call_later(self.root.random.uniform(0.0001, 0.01), run)
        return future

    async def shutdown_asyncgens(self) -> None:
        """There are none that outlive their task."""

    async def shutdown_default_executor(self, timeout: float | None = None) -> None:
        """There is none."""

    def is_running(self) -> bool:
        return self.alive and self.root.running

    def is_closed(self) -> bool:
        return not self.alive

    # Signals

    def add_signal_handler(self, sig: int, callback: Callable[[*Ts], object], *args: *Ts) -> None:
        self._signals[sig] = asyncio.Handle(callback, args, self)

    def remove_signal_handler(self, sig: int) -> bool:
        return self._signals.pop(sig, None) is not None

    def deliver_signal(self, sig: int) -> bool:
        """Send the process under simulation a signal; False: nobody handles it, it would end the process."""
        handle = self._signals.get(sig)
        if handle is None:
            return False
        self.call_soon(handle._run)
        return True

    # Errors

    def get_debug(self) -> bool:
        return False

    def set_debug(self, enabled: bool) -> None:
        """Not here: debug mode reads the real clock."""

    def set_exception_handler(self, handler: Any) -> None:
        self._exception_handler = handler

    def get_exception_handler(self) -> Any:
        return self._exception_handler

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        self.errors.append(context)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if not self.alive:
            return  # what a killed process leaves behind
        if self._exception_handler is not None:
            self._exception_handler(self, context)
        else:
            self.default_exception_handler(context)


class Process(BaseSimLoop):
    """One process on a SimLoop. kill() ends it as SIGKILL does: no handler, no finally, no callback runs."""

    def __init__(self, root: SimLoop, name: str) -> None:
        super().__init__()
        self.root, self.name = root, name
        self.stopped = False
        self._deferred: list[asyncio.Handle] = []

    def suspend(self) -> None:
        """SIGSTOP: what falls due waits, while time goes on."""
        self.stopped = True

    def resume(self) -> None:
        """SIGCONT: what waited is run, in its order."""
        self.stopped = False
        deferred, self._deferred = self._deferred, []
        self.root.ready.extend(deferred)

    def defer(self, handle: asyncio.Handle) -> None:
        """Keep what fell due while it is stopped."""
        self._deferred.append(handle)

    def kill(self) -> None:
        """Nothing of it runs from here on; its tasks are kept as they were until the loop goes."""
        self.alive = False
        self.root.killed_processes.append(self)


class SimLoop(BaseSimLoop):
    """Virtual time in seconds from `start`; seed: of every choice; most_steps: then StepLimit is raised."""

    def __init__(self, seed: int, start: float = 1000.0, max_steps: int = 50_000_000) -> None:
        super().__init__()
        self.root = self
        self.random = random.Random(seed)
        self.now = start
        self.steps = 0
        self.max_steps = max_steps
        self.after_step: Callable[[], None] | None = None  # a check, after every step
        self.recorder: Callable[[str], None] | None = None  # hears each line of the trace
        self.killed_processes: list[Process] = []
        self.ready: deque[asyncio.Handle] = deque()
        self.running = False
        self._hash = blake2b(digest_size=16)
        self._timers: list[tuple[float, float, int, asyncio.TimerHandle]] = []
        self._timer_sequence = 0
        self._stopping = False
        self._current_loop: Any = None

    @property
    def trace(self) -> str:
        """The hash of all steps so far."""
        return self._hash.hexdigest()

    def record_trace(self, text: str) -> None:
        """Put something that happened into the trace."""
        self._hash.update(f"{self.now:.9f} {text}\n".encode())
        if self.recorder is not None:
            self.recorder(f"{self.now:.6f} {text}")

    def add_timer(self, when: float, handle: asyncio.TimerHandle) -> None:
        """Set a timer of any process; those of one moment come in an order drawn from the seed."""
        self._timer_sequence += 1
        heapq.heappush(
            self._timers, (max(when, self.now), self.random.random(), self._timer_sequence, handle)
        )

    def timers_of(self, loop: BaseSimLoop) -> list[str]:
        """The names of one process's timers."""
        handles = [entry[3] for entry in self._timers]
        return [
            _callback_name(h._callback)  # type: ignore[attr-defined]
            for h in handles
            if not h.cancelled() and h._loop is loop  # type: ignore[attr-defined]
        ]

    # Running

    def step(self) -> bool:
        """Run the next callback; False: nothing is left."""
        while True:
            if not self.ready:
                while self._timers and self._timers[0][3].cancelled():
                    heapq.heappop(self._timers)
                if not self._timers:
                    return False
                when, _, _, timer = heapq.heappop(self._timers)
                self.now = max(self.now, when)
                self.ready.append(timer)
            handle = self.ready.popleft()
            loop = handle._loop  # type: ignore[attr-defined]
            if loop.alive and isinstance(loop, Process) and loop.stopped:
                loop.defer(handle)
            elif not handle.cancelled() and loop.alive:
                break
        self.steps += 1
        self.record_trace(f"{loop.name} {_callback_name(handle._callback)}")  # type: ignore[attr-defined]
        if self.steps > self.max_steps:
            raise StepLimit(f"{self.steps} steps at {self.now:.3f} s")
        if loop is not self._current_loop:
            self._current_loop = loop
            events._set_running_loop(loop)
        handle._run()
        if self.after_step is not None:
            self.after_step()
        return True

    def run_until_complete(self, future: Any) -> Any:
        task = asyncio.ensure_future(future, loop=self)
        self._enter()
        try:
            while not task.done():
                if not self.step():
                    raise Deadlock(f"nothing is due at {self.now:.3f} s, step {self.steps}")
        finally:
            self._leave()
        return task.result()

    def run_forever(self) -> None:
        self._enter()
        try:
            while not self._stopping and self.step():
                pass
        finally:
            self._stopping = False
            self._leave()

    def run_for(self, seconds: float) -> None:
        """Let so much virtual time pass."""
        self.run_until_complete(asyncio.sleep(seconds))

    def _enter(self) -> None:
        if not self.alive or self.running:
            raise RuntimeError("the loop is closed or runs already")
        self.running = True
        self._current_loop = self
        events._set_running_loop(self)

    def _leave(self) -> None:
        self.running = False
        events._set_running_loop(None)

    def stop(self) -> None:
        self._stopping = True

    def close(self) -> None:
        self.alive = False
        self.ready.clear()
        self._timers.clear()

    def pending_callbacks(self) -> list[str]:
        """The names of what still waits: nothing must, once a scene is over."""
        waiting = [*self.ready, *(entry[3] for entry in self._timers)]
        return [_callback_name(h._callback) for h in waiting if not h.cancelled()]  # type: ignore[attr-defined]
