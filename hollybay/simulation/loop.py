"""A deterministic event loop: virtual time advances only when no callback is ready, and choices are seeded.

Timers that are due at the same time (also those of the network) run in an order drawn from the seed.
Callbacks of call_soon run in their order, as asyncio guarantees; transports and futures rely on that. Every
callback that runs is a step. Its time and name are added to the hash of the trace, by which two runs can be
compared without storing either. The loop is not thread-safe; run_in_executor runs its call as a later step.

Several simulated processes can share one loop. Each has a `Process`: an event loop of its own over the same
clock and queue. A process can be killed, after which none of its callbacks run.
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
    """No callback or timer is left, and the awaited future is not done."""


class StepLimit(RuntimeError):
    """The run has taken more steps than allowed, as an endless loop does."""


def _callback_name(callback: Callable[..., object]) -> str:
    """Return a callback's name, which is the same in every run: it contains no address or hash."""
    target: Any = callback
    while hasattr(target, "func"):  # functools.partial
        target = target.func
    own = getattr(target, "__self__", None)
    if isinstance(own, asyncio.Task):
        return f"task {getattr(own.get_coro(), '__qualname__', '')}"
    return getattr(target, "__qualname__", type(target).__name__)


class BaseSimLoop(asyncio.AbstractEventLoop):
    """The event loop as one process sees it: its own callbacks, timers, tasks and signals."""

    root: SimLoop
    name = ""
    sim_host: Any = None  # the `SimHost` of the process

    def __init__(self) -> None:
        self.alive = True
        self.errors: list[dict[str, Any]] = []  # contexts of unhandled exceptions
        self._signals: dict[int, asyncio.Handle] = {}
        self._exception_handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None = None
        self._tasks: list[asyncio.Task[Any]] = []
        self._reap_threshold = 64  # the number of tasks at which finished ones are dropped

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
        """Called by asyncio for each cancelled timer; such a timer is skipped when it is due."""

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
        # Referenced until done: garbage collection would end a task at a time that is not reproducible.
        self._tasks.append(task)
        if len(self._tasks) > self._reap_threshold:
            self.reap_finished_tasks()
            self._reap_threshold = 2 * len(self._tasks) + 64
        return task

    def reap_finished_tasks(self) -> None:
        """Drop the tasks that are done; adds exceptions that were not retrieved to the errors."""
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
        """Nothing to do: no asynchronous generator outlives its task."""

    async def shutdown_default_executor(self, timeout: float | None = None) -> None:
        """Nothing to do: there is no default executor."""

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
        """Send the process a signal; False: it has no handler, so that the signal would end the process."""
        handle = self._signals.get(sig)
        if handle is None:
            return False
        self.call_soon(handle._run)
        return True

    # Errors

    def get_debug(self) -> bool:
        return False

    def set_debug(self, enabled: bool) -> None:
        """Ignored: debug mode reads the real clock."""

    def set_exception_handler(self, handler: Any) -> None:
        self._exception_handler = handler

    def get_exception_handler(self) -> Any:
        return self._exception_handler

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        self.errors.append(context)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if not self.alive:
            return  # left over by a killed process
        if self._exception_handler is not None:
            self._exception_handler(self, context)
        else:
            self.default_exception_handler(context)


class Process(BaseSimLoop):
    """A simulated process on a SimLoop. kill() ends it like SIGKILL: no handler, finally or callback runs."""

    def __init__(self, root: SimLoop, name: str) -> None:
        super().__init__()
        self.root, self.name = root, name
        self.stopped = False
        self._deferred: list[asyncio.Handle] = []

    def suspend(self) -> None:
        """SIGSTOP: due callbacks are deferred while time advances."""
        self.stopped = True

    def resume(self) -> None:
        """SIGCONT: the deferred callbacks run in their order."""
        self.stopped = False
        deferred, self._deferred = self._deferred, []
        self.root.ready.extend(deferred)

    def defer(self, handle: asyncio.Handle) -> None:
        """Defer a callback that is due while the process is stopped."""
        self._deferred.append(handle)

    def kill(self) -> None:
        """Run no more of its callbacks; its tasks stay referenced as they are for as long as the loop."""
        self.alive = False
        self.root.killed_processes.append(self)


class SimLoop(BaseSimLoop):
    """The loop of a run.

    start: the initial virtual time (s); seed: of all random choices; max_steps: beyond, StepLimit is raised.
    """

    def __init__(self, seed: int, start: float = 1000.0, max_steps: int = 50_000_000) -> None:
        super().__init__()
        self.root = self
        self.random = random.Random(seed)
        self.now = start
        self.steps = 0
        self.max_steps = max_steps
        self.after_step: Callable[[], None] | None = None  # called after every step
        self.recorder: Callable[[str], None] | None = None  # receives each line of the trace
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
        """The hash of the trace so far."""
        return self._hash.hexdigest()

    def record_trace(self, text: str) -> None:
        """Add an event to the trace."""
        self._hash.update(f"{self.now:.9f} {text}\n".encode())
        if self.recorder is not None:
            self.recorder(f"{self.now:.6f} {text}")

    def add_timer(self, when: float, handle: asyncio.TimerHandle) -> None:
        """Add a timer of any process; timers of the same time run in an order drawn from the seed."""
        self._timer_sequence += 1
        heapq.heappush(
            self._timers, (max(when, self.now), self.random.random(), self._timer_sequence, handle)
        )

    def timers_of(self, loop: BaseSimLoop) -> list[str]:
        """Return the callback names of one process's timers."""
        handles = [entry[3] for entry in self._timers]
        return [
            _callback_name(h._callback)  # type: ignore[attr-defined]
            for h in handles
            if not h.cancelled() and h._loop is loop  # type: ignore[attr-defined]
        ]

    # Running

    def step(self) -> bool:
        """Run the next callback; returns False if none is left."""
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
            raise StepLimit(f"{self.steps} steps at {self.now:.3f} s, at most {self.max_steps} allowed")
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
                    raise Deadlock(f"no callback or timer is left at {self.now:.3f} s, step {self.steps}")
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
        """Run for a duration (s) of virtual time."""
        self.run_until_complete(asyncio.sleep(seconds))

    def _enter(self) -> None:
        if not self.alive or self.running:
            raise RuntimeError("the loop is closed or already running")
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
        """Return the names of pending callbacks and timers; there are none after a run that ended cleanly."""
        waiting = [*self.ready, *(entry[3] for entry in self._timers)]
        return [_callback_name(h._callback) for h in waiting if not h.cancelled()]  # type: ignore[attr-defined]
