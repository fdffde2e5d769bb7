"""Manually chosen defects, one change each, in the balancing, proxy and routing packages.

`python -m hollybay.mutation.planted` searches for the first seed that finds each defect and writes them to
planted.json beside this file; the tests play one seed for each defect. `--shrink` reduces the plans of these
seeds to a few events and writes them to tests/seeds/.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .tree import ROOT, Kill, killed_by_seeds, mutated_copy, run_in

__all__ = ["DEFECTS", "FOUND", "Defect", "find_kill"]

FOUND = ROOT / "hollybay" / "mutation" / "planted.json"
SEEDS = range(200)
SEARCH_TIMEOUT_S = 900.0
SHRINK_TIMEOUT_S = 1500.0
MAX_SHRINK_RUNS = 1500

ATTEMPT_TRACKING = "hollybay/balancing/attempt_tracking.py"
ENDPOINTS = "hollybay/balancing/endpoints.py"
ESTIMATES = "hollybay/balancing/estimates.py"
EVENT_LOOP_DELAY = "hollybay/balancing/event_loop_delay.py"
FURTHER_ATTEMPTS = "hollybay/balancing/further_attempts.py"
POOL_BUILDER = "hollybay/balancing/pool_builder.py"
RETRIES = "hollybay/balancing/retries.py"
SLOW_START = "hollybay/balancing/slow_start.py"
REQUEST_DISPATCHER = "hollybay/proxy/request_dispatcher.py"
POOLS = "hollybay/proxy/upstream/pools.py"
ATTEMPT = "hollybay/proxy/upstream/attempt.py"
SERVER_CONNECTION = "hollybay/proxy/upstream/connection.py"
REQUEST_ENCODING = "hollybay/proxy/upstream/request_encoding.py"
RESPONSE_HEAD = "hollybay/proxy/upstream/response_head.py"
CONNECTION = "hollybay/proxy/downstream/connection.py"
REQUEST = "hollybay/proxy/downstream/request.py"
REQUEST_VALIDATION = "hollybay/proxy/downstream/request_validation.py"
REQUEST_IDS = "hollybay/proxy/request_ids.py"
BODY_BUDGET = "hollybay/proxy/downstream/body_budget.py"
LISTENER = "hollybay/proxy/downstream/listener.py"
STREAMING_BODY = "hollybay/proxy/streaming_body.py"
DISCOVERY = "hollybay/proxy/discovery.py"


@dataclass(frozen=True, slots=True)
class Defect:
    """One defect, which makes a mutant.

    Attributes
    ----------
    name
        Its name in planted.json and on the command line.
    path
        The path of the file, relative to the root.
    old, new
        The text, which must be in the file exactly once, and its replacement.
    """

    name: str
    path: str
    old: str
    new: str


DEFECTS = (
    # The balancing package
    Defect(
        "unsafe-repeat",
        RETRIES,
        "if cls.effect == Effect.UNSAFE or now >= deduplication_deadline(first, cls, 0, slack):",
        "if cls.effect == Effect.KEYED and now >= deduplication_deadline(first, cls, 0, slack):",
    ),
    Defect(
        "window-ignored",
        RETRIES,
        "return first.sent_at + cls.retry_window(route_window) - slack",
        "return first.sent_at + (1 << 62)",
    ),
    Defect("cell-ignored", RETRIES, "return RetryScope(cell=first.cell)", "return ANYWHERE"),
    Defect(
        "zone-ignored",
        RETRIES,
        "    if cls.deduplication_scope == DeduplicationScope.ZONE:\n"
        "        return RetryScope(zone=first.zone)",
        "    if cls.deduplication_scope == DeduplicationScope.ZONE:\n        return ANYWHERE",
    ),
    Defect(
        "refuses-what-ran",
        RETRIES,
        "return not any(may_have_run(attempt) for attempt in attempts)",
        "return True",
    ),
    Defect(
        "one-attempt-more", RETRIES, "if len(attempts) >= max_attempts:", "if len(attempts) > max_attempts:"
    ),
    Defect(
        "no-cold-gap",
        SLOW_START,
        "return int(service_time / size / (SLOW_START_BUDGET_SHARE * multiple * factor / nodes))",
        "return 0",
    ),
    Defect(
        "cold-budget-counts-nothing",
        SLOW_START,
        "server.slow_start_send_at = max(server.slow_start_send_at, now) + server.slow_start_interval",
        "server.slow_start_send_at = now",
    ),
    Defect(
        "draining-used",
        POOL_BUILDER,
        "            if server.state != ServerState.READY:\n                continue",
        "            if server.state == ServerState.GONE:\n                continue",
    ),
    Defect(
        "missing-is-not-gone",
        ENDPOINTS,
        "                if server.id not in seen:\n                    server.state = ServerState.GONE",
        "                if server.id not in seen:\n                    pass",
    ),
    Defect("loss-never-fades", ESTIMATES, "LOSS_DECAY = 0.8", "LOSS_DECAY = 1.0"),
    Defect(
        "lateness-never-fades",
        EVENT_LOOP_DELAY,
        "self.shed_share += WINDOW_WEIGHT * (share - self.shed_share)",
        "self.shed_share = max(self.shed_share, share)",
    ),
    Defect(
        "deleted-under-an-upload",
        ENDPOINTS,
        "if server.state == ServerState.GONE and not server.open_attempts and not server.in_flight:",
        "if server.state == ServerState.GONE and not server.in_flight:",
    ),
    Defect(
        "idle-again-too-soon",
        ATTEMPT_TRACKING,
        "self.selector.schedule_idle(server, now)",
        "pass",
    ),
    Defect(
        "held-for-ever",
        ATTEMPT_TRACKING,
        "attempt.server.in_flight = max(0, attempt.server.in_flight - 1)",
        "attempt.server.in_flight = max(0, attempt.server.in_flight)",
    ),
    Defect(
        "requests-kept",
        FURTHER_ATTEMPTS,
        "        if request.phase is FINISHED:\n"
        "            if not request.in_flight_attempts:\n"
        "                self.requests.pop",
        "        if request.phase is FINISHED:\n"
        "            if request.in_flight_attempts:\n"
        "                self.requests.pop",
    ),
    # The node
    Defect(
        "expires-late",
        REQUEST_DISPATCHER,
        "request.timer = self.loop.call_later(time_left / SECOND, self._on_deadline, request)",
        "request.timer = self.loop.call_later(time_left / SECOND + 2, self._on_deadline, request)",
    ),
    Defect(
        "forgets-nothing",
        REQUEST_DISPATCHER,
        "        if request.state is FINISHED and not request.in_flight:\n            request.stop_timer()",
        "        if request.state is FINISHED and request.in_flight:\n            request.stop_timer()",
    ),
    Defect(
        "client-left-not-told",
        REQUEST_DISPATCHER,
        "        self.feed(api.ClientDisconnected(request_id))",
        "        pass",
    ),
    Defect(
        "broken-stream-seems-whole",
        REQUEST_DISPATCHER,
        "client.finish_response if is_complete else client.abort_response",
        "client.finish_response",
    ),
    Defect(
        "nothing-at-the-end",
        REQUEST_DISPATCHER,
        "            if request.state is not FINISHED:\n"
        "                if request.streamed_attempt is not None:",
        "            if request.state is FINISHED:\n"
        "                if request.streamed_attempt is not None:",
    ),
    # Connections to servers
    Defect(
        "reset-taken-for-unsent",
        ATTEMPT,
        "elif result == api.Result.NOT_DELIVERED and self.request_written:",
        "elif result == api.Result.NOT_DELIVERED and not self.request_written:",
    ),
    Defect(
        "silence-taken-for-unsent",
        ATTEMPT,
        "if result == api.Result.TIMEOUT and not self.request_written:",
        "if result == api.Result.TIMEOUT:",
    ),
    Defect(
        "error-taken-for-rejection",
        RESPONSE_HEAD,
        "unprocessed = event.status_code in REJECTING_STATUSES and any(",
        "unprocessed = event.status_code in (500, *REJECTING_STATUSES) or any(",
    ),
    Defect(
        "spent-body-sent-again",
        STREAMING_BODY,
        "return self.has_dropped_bytes or self.sink is not None",
        "return self.sink is not None",
    ),
    Defect(
        "uploads-make-room",
        CONNECTION,
        "return self.streaming_body is None and not self.is_waiting_for_turn and not self.unread_bytes()",
        "return not self.is_waiting_for_turn and not self.unread_bytes()",
    ),
    Defect(
        "last-byte-of-an-upload-early",
        REQUEST_ENCODING,
        "data, self._held_byte = data[:-1], data[-1:]",
        'data, self._held_byte = data, b""',
    ),
    Defect(
        "early-answer-taken",
        SERVER_CONNECTION,
        "        if not attempt.request_written:\n            # The request was not completely sent yet",
        "        if False:\n            # The request was not completely sent yet",
    ),
    Defect("two-framings-taken", RESPONSE_HEAD, "if head.chunked and head.length is not None:", "if False:"),
    Defect(
        "reused-with-bytes-left",
        SERVER_CONNECTION,
        "self.http.their_state is h11.DONE and not self.http.trailing_data[0]",
        "self.http.their_state is h11.DONE",
    ),
    Defect("rests-too-long", POOLS, "api.IDLE_CLOSE_SHARE * self", "2.0 * self"),
    Defect(
        "room-of-bodies-leaks",
        STREAMING_BODY,
        "        self._budget.release(reserved)",
        "        self._budget.release(0)",
    ),
    Defect(
        "descriptor-leaks",
        POOLS,
        "        except BaseException:\n            sock.close()",
        "        except BaseException:\n            pass",
    ),
    Defect(
        "cancelled-connect-counted",
        POOLS,
        "            attempt.connecting = None\n"
        "            await self.loop.create_connection(lambda: connection, sock=sock)\n"
        "        except BaseException:\n"
        "            sock.close()\n"
        "            self.connection_closed(connection)\n",
        "            await self.loop.create_connection(lambda: connection, sock=sock)\n"
        "        except BaseException:\n"
        "            sock.close()\n",
    ),
    Defect(
        "failed-connects-counted",
        POOLS,
        "attempt.connecting.add_done_callback(lambda _: self.opening.discard(attempt))",
        "pass",
    ),
    Defect(
        "attempts-of-ended-requests-kept",
        REQUEST_DISPATCHER,
        "        request.in_flight -= 1\n",
        "        request.in_flight -= request.state is not FINISHED\n",
    ),
    Defect(
        "closed-connections-listed-as-idle",
        POOLS,
        "        self.remove_idle(connection)\n        self.connections.discard(connection)\n",
        "        self.connections.discard(connection)\n",
    ),
    Defect(
        "room-of-dropped-bytes-kept",
        STREAMING_BODY,
        "            self._reserved -= pulled\n            self._budget.release(pulled)",
        "            self._reserved -= pulled",
    ),
    Defect(
        "old-address-kept", POOLS, "if endpoint is not None and endpoint.address != address:", "if False:"
    ),
    Defect(
        "connects-too-long",
        POOLS,
        "limit = self.settings.connect_timeout / SECOND",
        "limit = 4 * self.settings.connect_timeout / SECOND",
    ),
    Defect(
        "tells-too-much-time",
        REQUEST_ENCODING,
        "left = max(1, (deadline - system.monotonic_ns()) // MS)",
        "left = max(1, (deadline - system.monotonic_ns()) // MS) + 500",
    ),
    # Clients
    Defect(
        "same-id-twice",
        CONNECTION,
        "if request.claimed_id == NOT_CLAIMED:",
        "if request.claimed_id != NOT_CLAIMED:",
    ),
    Defect(
        "open-ids-forgotten",
        REQUEST_IDS,
        "if number in self.open or number in self.ended",
        "if number in self.ended",
    ),
    Defect(
        "ids-never-released",
        REQUEST_DISPATCHER,
        "self.request_ids.retire(request.claimed_id, self.loop.time())",
        "pass",
    ),
    Defect(
        "open-ids-forgotten-by-time",
        REQUEST_IDS,
        "        if self.ended.start_generation_if_due(now) and",
        "        if self.ended.start_generation_if_due(now) and self.open.clear() is None and",
    ),
    Defect(
        "ids-of-incomplete-requests-kept",
        CONNECTION,
        "self.clients.dispatcher.request_ids.forget(self.request.claimed_id)",
        "pass",
    ),
    Defect("two-lengths-asked", REQUEST_VALIDATION, "if names.count(name) > 1:", "if names.count(name) > 2:"),
    Defect(
        "long-bodies-taken",
        REQUEST_VALIDATION,
        "if length is not None and int(length) > max_body:",
        "if False:",
    ),
    Defect(
        "version-ignored",
        REQUEST_VALIDATION,
        'if event.http_version[:1] != b"1":',
        'if event.http_version[:1] == b"9":',
    ),
    Defect(
        "budget-of-bodies-leaks",
        BODY_BUDGET,
        "            self.used -= charged\n",
        "            pass\n",
    ),
    Defect("turn-of-a-closed-connection-kept", CONNECTION, "self.leave_turns()", "pass"),
    Defect(
        "limit-of-a-client-that-left-kept",
        CONNECTION,
        "            release_request(self.clients.admission, self.request)\n"
        "        request_id, self.request_id = self.request_id, NO_REQUEST",
        "        request_id, self.request_id = self.request_id, NO_REQUEST",
    ),
    Defect(
        "client-left-unnoticed",
        CONNECTION,
        "            if request_id:\n                self.clients.dispatcher.disconnect(request_id)",
        "            if request_id < 0:\n                self.clients.dispatcher.disconnect(request_id)",
    ),
    Defect(
        "headers-of-the-hop-passed",
        REQUEST,
        "headers = end_to_end_headers(self.headers, _NOT_FORWARDED)",
        'headers = [pair for pair in self.headers if pair[0] not in (b"content-length", b"x-time-left-ms")]',
    ),
    Defect("next-request-dropped", CONNECTION, "        if rest:\n", "        if not rest:\n"),
    Defect(
        "accept-queue-dropped",
        LISTENER,
        "            if not self._accept() and not force:\n                return False\n",
        "",
    ),
    # Discovery
    Defect(
        "changes-dropped",
        DISCOVERY,
        "if servers.servers or servers.kind or self.on_demand:",
        "if servers.servers and not servers.kind:",
    ),
    Defect(
        "broken-list-ends-the-watch",
        DISCOVERY,
        "        except Exception as error:\n            # Any error",
        "        except OSError as error:\n            # Any error",
    ),
    Defect(
        "failure-ends-the-watch",
        DISCOVERY,
        "                await self._poll_until_answered()\n                continue",
        "                return",
    ),
    # Routes and limits
    Defect(
        "in-flight-for-ever",
        "hollybay/routing/admission_control.py",
        "        counters.in_flight -= 1\n",
        "        pass\n",
    ),
    Defect(
        "comes-back-too-late",
        "hollybay/routing/admission_control.py",
        "return max(MS, earliest + int(self.random.random() * (most - earliest)))",
        "return max(MS, earliest + 100 * SECOND)",
    ),
    Defect(
        "attempts-of-a-route-ignored",
        "hollybay/routing/limits.py",
        "        attempts=settings.attempts or 0,",
        "        attempts=0,",
    ),
    Defect(
        "rule-two-unchecked",
        "hollybay/routing/checks.py",
        "    yield from _check_repeated_effects(checked)\n",
        "",
    ),
    Defect(
        "rule-one-unchecked",
        "hollybay/routing/checks.py",
        "    yield from _check_lost_requests(checked)\n",
        "",
    ),
)


def find_kill(defect: Defect) -> Kill | None:
    """Return the first violation that the seeds find of a defect, None if there is none."""
    return killed_by_seeds(defect.path, defect.old, defect.new, SEEDS, SEARCH_TIMEOUT_S)


# Shrinks one seed's plan, in a separate process, which imports the changed code.
_SHRINK_PROGRAM = """
import sys
from pathlib import Path
from typing import Any
from hollybay.simulation.plan import draw, events, to_json
from hollybay.simulation.shrink import shrink
from hollybay.simulation.world import play
plan = draw(int(sys.argv[1]))
rule = sys.argv[2]
least = shrink(plan, lambda smaller: rule in play(smaller).rules, max_runs=int(sys.argv[4]))
Path(sys.argv[3]).write_bytes(to_json(least) + b"\\n")
print("EVENTS", events(least))
"""


def shrink_into(defect: Defect, seed: int, rule: str, target: Path, max_runs: int = MAX_SHRINK_RUNS) -> int:
    """Shrink the plan of a seed that finds a defect, and write it to a file.

    Parameters
    ----------
    defect
        The defect.
    seed, rule
        The seed that finds it, and the rule that is violated.
    target
        The file.
    max_runs
        The maximum number of plans to play.

    Returns
    -------
    int
        The number of events that are left, -1 if shrinking failed or timed out.
    """
    arguments = ["-c", _SHRINK_PROGRAM, str(seed), rule, str(target), str(max_runs)]
    with mutated_copy(defect.path, defect.old, defect.new) as tree:
        _, output = run_in(tree, arguments, SHRINK_TIMEOUT_S)
    lines = [line for line in output.splitlines() if line.startswith("EVENTS ")]
    return int(lines[0].split()[1]) if lines else -1


def _search(chosen: Sequence[Defect], known: dict[str, Any]) -> int:
    """Search the seeds for the chosen defects and record the results; returns the number not found."""
    missed = 0
    with ThreadPoolExecutor(len(os.sched_getaffinity(0))) as pool:
        for defect, kill in zip(chosen, pool.map(find_kill, chosen), strict=True):
            if kill is None:
                missed += 1
                known.pop(defect.name, None)
                print(f"{defect.name}: NOT FOUND", flush=True)
            else:
                known[defect.name] = kill._asdict()
                print(f"{defect.name}: seed {kill.seed}, {kill.rule}: {kill.reason[:90]}", flush=True)
    return missed


def _shrink(chosen: Sequence[Defect], known: dict[str, Any]) -> None:
    """Shrink the recorded plans of the chosen defects into tests/seeds/."""

    def shrink_one(defect: Defect) -> int:
        entry = known[defect.name]
        target = ROOT / "tests" / "seeds" / f"{defect.name}.json"
        return shrink_into(defect, entry["seed"], entry["rule"], target)

    with ThreadPoolExecutor(len(os.sched_getaffinity(0))) as pool:
        for defect, events in zip(chosen, pool.map(shrink_one, chosen), strict=True):
            known[defect.name]["events"] = events
            print(f"{defect.name}: {events} events", flush=True)


def main(arguments: list[str]) -> int:
    """Search for all defects or the named ones; returns 1 if one is not found."""
    names = set(arguments) - {"--shrink"}
    chosen = [defect for defect in DEFECTS if not names or defect.name in names]
    known = json.loads(FOUND.read_text()) if FOUND.exists() else {}
    missed = 0
    if "--shrink" in arguments:
        _shrink(chosen, known)
    else:
        missed = _search(chosen, known)
    FOUND.write_text(json.dumps(known, indent=1, sort_keys=True) + "\n")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
