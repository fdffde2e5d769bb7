"""The operator file: its syntax, its checks against the four rules, and ten thousand unsafe files."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from hollybay.balancing import interface as api
from hollybay.cli.main import main
from hollybay.routing.compiled_policy import CompiledPolicy, Rejection
from hollybay.routing.limits import EffectiveLimits
from hollybay.routing.policy_compiler import compile_file
from hollybay.routing.problems import OperatorError
from hollybay.routing.schema import parse_duration, parse_size
from hollybay.testbed.fake_environment import settings as scene_settings
from hollybay.units import MS, SECOND

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = api.Settings(
    (
        api.RequestClass("view", api.Effect.SAFE, 3.0, 200 * MS, 500 * MS),
        api.RequestClass("send", api.Effect.UNSAFE, 2.0, 1200 * MS, 5 * SECOND),
        api.RequestClass(
            "book",
            api.Effect.KEYED,
            10.0,
            1500 * MS,
            6 * SECOND,
            deduplication_scope=api.DeduplicationScope.CELL,
            deduplication_window=4 * SECOND,
        ),
        api.RequestClass(
            "tag",
            api.Effect.KEYED,
            1.0,
            1500 * MS,
            6 * SECOND,
            deduplication_scope=api.DeduplicationScope.ZONE,
            deduplication_window=SECOND,
        ),
    ),
    hedging_allowed=True,
    max_retry_after=5 * SECOND,
)


def compile_text(text: str, known: api.Settings | None = SETTINGS) -> CompiledPolicy:
    return compile_file(text, known, "f.toml")


def problems_of(text: str, known: api.Settings | None = SETTINGS) -> list[str]:
    with pytest.raises(OperatorError) as caught:
        compile_text(text, known)
    assert all(line.startswith("f.toml: ") for line in str(caught.value).splitlines())
    return [str(problem) for problem in caught.value.problems]


def only_problem(text: str, known: api.Settings | None = SETTINGS) -> str:
    (problem,) = problems_of(text, known)
    return problem


def test_an_empty_file_limits_nothing() -> None:
    empty = compile_text("")
    limits = empty.resolve(b"GET", b"/view/1?x=%zz", {})
    assert limits is empty.class_limits[0]
    assert isinstance(limits, EffectiveLimits)
    assert (
        limits.balancer_limits is None
        and limits.rate is None
        and limits.max_in_flight == limits.request_timeout == 0
    )
    assert empty.resolve(b"GET", b"/nothing", {}) is None
    assert empty.resolve(b"GET", b"*", {}) is None
    assert isinstance(empty.resolve(b"GET", b"/view/../send", {}), Rejection)


def test_limits_are_inherited_field_by_field_from_class_and_defaults() -> None:
    found = compile_text(
        """
        [defaults]
        request_timeout = "400ms"
        in_flight = 9
        body = "8KiB"
        [class.view.limits]
        request_timeout = "300ms"
        attempts = 2
        [[route]]
        name = "r"
        path.prefix = "/view/x"
        limits = { in_flight = 3 }
        """
    )
    routed = found.resolve(b"GET", b"/view/x/1", {})
    assert not isinstance(routed, Rejection) and routed is not None
    assert (routed.scope, routed.max_in_flight, routed.request_timeout, routed.max_body) == (
        "r",
        3,
        300 * MS,
        8192,
    )
    assert (
        routed.balancer_limits is not None
        and routed.balancer_limits.attempts == 2
        and routed.balancer_limits.budget == "r"
    )
    assert routed.limit_settings.sources == {
        "in_flight": "route 'r'.limits",
        "request_timeout": "class.view.limits",
        "attempts": "class.view.limits",
        "body": "defaults",
    }
    plain = found.resolve(b"GET", b"/view", {})
    assert not isinstance(plain, Rejection) and plain is not None
    assert (plain.scope, plain.max_in_flight, plain.request_timeout) == ("class:view", 9, 300 * MS)


def test_all_problems_are_reported_with_table_key_value_and_reason() -> None:
    found = problems_of(
        """
        colour = "red"
        [defaults]
        request_timout = "1s"
        attempts = 0
        body = "64 kilo"
        [class.view.limits]
        attempt_timeout = "1s"
        [class.send.limits]
        attempts = 2
        rate = { per_second = inf }
        [[route]]
        path.exact = "/view"
        [[route]]
        name = "a b"
        [[route]]
        name = "n"
        path = { exact = "/view", prefix = "/view" }
        [[route]]
        name = "m"
        class = "views"
        path.exact = "/view/x"
        headers = [{ name = "content-length", exact = "1" }, { name = "x" }]
        """
    )
    for part in [
        "colour = 'red': unknown key; the nearest known one is 'accord'",
        "[defaults]: request_timout = '1s': unknown key; the nearest known one is 'request_timeout'",
        "[defaults]: attempts = 0: expected `int` >= 1",
        "[defaults]: body = '64 kilo': is not a size",
        "[class.view.limits]: attempt_timeout = '1s': longer than the 200ms within which",
        "[class.send.limits]: attempts = 2: permits a repeat: class 'send' must never run twice",
        "[class.send.limits.rate]: per_second = inf: is not a finite number",
        "[route 1]: name: missing",
        "[route 'a b']: name = 'a b': expected `str` matching regex",
        "[route 'n'.path]: exactly one of exact, prefix and template is required",
        "[route 'm'.headers 'content-length']: name = 'content-length': frames the message",
        "[route 'm'.headers 'x']: exactly one of exact and present is required",
    ]:
        assert any(part in line for line in found), (part, found)
    assert len(found) == 12


# Files with one error each, and a part of its reason.
INVALID_FILES: list[tuple[str, str]] = [
    ("[class.send.limits]\nattempts = 2", "permits a repeat"),
    ("[class.send.limits]\ncopies = 1", "permits a hedge"),
    ("[class.send.limits]\nrepeat_window = '1s'", "permits a repeat"),
    ("[class.send.limits]\ncopy_delay = '1s'", "no hedge to delay"),
    ("[defaults]\nattempts = 2", "permits a repeat"),
    ("[[route]]\nname = 'r'\npath.prefix = '/send'\nlimits.attempts = 3", "permits a repeat"),
    ("[[route]]\nname = 'r'\npath.template = '/{any}/x'\nlimits.copies = 1", "permits a hedge"),
    ("[class.book.limits]\nrepeat_window = '5s'", "past its window of 4s"),
    ("[class.book.limits]\nrepeat_group = 'zone'", "outside its cell"),
    ("[class.tag.limits]\nrepeat_group = 'all'", "outside its zone"),
    ("[class.tag.limits]\nattempts = 3\nattempt_timeout = '600ms'", "past the window of 1s"),
    ("[class.tag.limits]\ncopies = 1\ncopy_delay = '1s'", "past its window of 1s"),
    ("[class.book.limits]\nrepeat_window='1s'\nattempts=2\nattempt_timeout='1.2s'", "past the window of 1s"),
    ("[class.view.limits]\nattempt_timeout = '201ms'", "is promised (rule 1)"),
    ("[class.view.limits]\nrequest_timeout = '501ms'", "clients of 'view' wait"),
    ("[class.view.limits]\nattempts = 4", "the platform allows 3 at most"),
    ("[class.view.limits]\nbody = '33MiB'", "33554432 bytes at most"),
    ("[class.view.limits]\nretry_after = { least = '1s', most = '6s' }", "allows 5s at most"),
    ("[class.view.limits]\nretry_after = { least = '2s', most = '1s' }", "least is more than most"),
    ("[class.view.limits]\nattempt_timeout = '150ms'\nrequest_timeout = '100ms'", "for all attempts"),
    ("[class.view.limits]\nattempts = 1\ncopies = 1", "only one attempt is allowed"),
    ("[class.view.limits]\nretry_budget = 0\ncopies = 1", "a retry_budget of 0 allows no hedges"),
    ("[class.view.limits]\nretry_budget = 0\nattempts = 2", "a retry_budget of 0 allows only one attempt"),
    ("[class.view.limits]\ncopies = 0\ncopy_delay = '50ms'", "copies is 0"),
    ("[class.view.limits]\nattempt_timeout = '100ms'\ncopy_delay = '100ms'", "no hedge would be sent"),
    ("[class.view.limits]\nrepeat_group = 'cell'", "nothing to restrict"),
    ("[class.view]\neffect = 'unsafe'", "the settings say safe"),
    ("[class.book]\nwindow = '5s'", "the settings say 4s"),
    ("[class.views]", "no such class"),
    ("[[route]]\nname = 'r'\npath.exact = '/other'", "names no class"),
    ("[[route]]\nname = 'r'\nclass = 'view'\npath.prefix = '/'", "may not be retried as this one"),
    ("[[route]]\nname = 'r'\nclass = 'view'\npath.exact = '/send/x'", "path names class 'send'"),
    ("[[route]]\nname = 'r'\nclass = 'view'\npath.exact = '/x'\nmethods = ['POST']", "use the method GET"),
    ("[[route]]\nname = 'r'\nmethods = ['PUT']", "no class has requests"),
    ("[[route]]\nname = 'r'\n[[route]]\nname = 'r'\npath.prefix = '/view'", "another route has it"),
    ("[[route]]\nname = 'r'\nhosts = ['a..b']", "matching regex"),
    ("[[route]]\nname = 'r'\nheaders = [{name = 'x', exact = ''}]", "matching regex"),
    ("[class.view.limits]\nrate = { per_second = 0 }", "> 0"),
    ("[class.view.limits]\nrate = { per_second = 1, by = 'client' }", "matching regex"),
    ("[class.view.limits]\nattempt_timeout = 200", "is no duration"),
    ("[class.view.limits]\nattempts = true", "got `bool`"),
    ("[class]\nview = 3", "is not a table"),
    ("route = 3", "is not a list of tables"),
    ("[defaults", "not valid TOML"),
    ("a = " + "[" * 5000, "not valid TOML"),
]  # fmt: skip


@pytest.mark.parametrize(("text", "reason"), INVALID_FILES)
def test_an_invalid_file_is_rejected_with_its_reason(text: str, reason: str) -> None:
    assert any(reason in line for line in problems_of(text)), problems_of(text)


def test_a_problem_of_a_default_is_reported_once_at_its_table() -> None:
    text = "[defaults]\nattempt_timeout = '300ms'\n" + "".join(
        f"[[route]]\nname = 'r{n}'\npath.exact = '/view/{n}'\n" for n in range(20)
    )
    assert "[defaults]: attempt_timeout = '300ms': longer than the 200ms" in only_problem(text)


def test_overlaps_name_both_routes() -> None:
    text = """
    [[route]]
    name = "first"
    path.template = "/view/{id}"
    [[route]]
    name = "second"
    path.template = "/view/{number}"
    """
    assert (
        "[route 'second']: path = '/view/{number}': overlaps route 'first' (path /view/{id})"
        in only_problem(text)
    )
    compile_text(text.replace("{number}", "{number}/x"))


def test_hedges_and_retry_after_require_that_the_platform_allows_them() -> None:
    poor = api.Settings(SETTINGS.classes)
    assert "no hedges (second copies)" in only_problem("[class.view.limits]\ncopies = 1", poor)
    assert "no Retry-After" in only_problem("[defaults]\nretry_after = { least = '1s', most = '2s' }", poor)
    assert "the platform allows none" in only_problem("[class.view.limits]\ncopy_delay = '50ms'", poor)


def test_without_settings_classes_are_as_declared_and_unsafe_by_default() -> None:
    assert "declares no class" in only_problem("[defaults]\nattempts = 1", None)
    text = "[class.a]\neffect = 'safe'\n[class.a.limits]\nattempts = 2\n[class.b.limits]\nattempts = %d"
    assert "[class.b.limits]: attempts = 2: permits a repeat" in only_problem(text % 2, None)
    assert compile_text(text % 1, None).class_indexes == {"a": 0, "b": 1}


def test_durations_and_sizes_have_units() -> None:
    assert (
        parse_duration("250ms") == 250 * MS
        and parse_duration("1.5s") == 1500 * MS
        and parse_duration("2min") == 120 * SECOND
    )
    assert parse_size("16KiB") == 16384 and parse_size(5) == 5 and parse_size("1MiB") == 1 << 20
    for duration in ("1", "1 s", "-1s", "1h", "", "1e3s", 5, True):
        with pytest.raises(ValueError, match="duration"):
            parse_duration(duration)
    for size in ("1kB", "-1B", True, 1.5):
        with pytest.raises(ValueError, match="size"):
            parse_size(size)


# Ten thousand unsafe files: a valid file with one or more unsafe limits, each drawn from its whole range.

DURATIONS = st.integers(1, 10**9)


def _longer_than(limit_ms: int) -> st.SearchStrategy[str]:
    return st.integers(limit_ms + 1, 86_000_000).map(lambda ms: f"{ms}ms")


NAMES = st.text("abcdefghij-", min_size=1, max_size=8)
UNSAFE_LIMITS: list[tuple[str, st.SearchStrategy[dict[str, Any]]]] = [
    ("send", st.fixed_dictionaries({"attempts": st.integers(2, 100)})),
    ("send", st.fixed_dictionaries({"copies": st.just(1)})),
    ("send", st.fixed_dictionaries({"repeat_window": DURATIONS.map(lambda n: f"{n % 1000 + 1}ms")})),
    ("send", st.fixed_dictionaries({"repeat_group": st.sampled_from(["all", "zone", "cell"])})),
    ("send", st.fixed_dictionaries({"request_timeout": _longer_than(5000)})),
    ("send", st.fixed_dictionaries({"attempt_timeout": _longer_than(1200)})),
    ("book", st.fixed_dictionaries({"repeat_window": _longer_than(4000)})),
    ("book", st.fixed_dictionaries({"repeat_group": st.sampled_from(["all", "zone"])})),
    ("book", st.fixed_dictionaries({"attempts": st.integers(4, 100)})),
    ("book", st.fixed_dictionaries({"request_timeout": _longer_than(6000)})),
    ("book", st.fixed_dictionaries({"attempt_timeout": _longer_than(1500)})),
    ("tag", st.fixed_dictionaries({"repeat_group": st.just("all")})),
    ("tag", st.fixed_dictionaries(
        {"attempts": st.just(3), "attempt_timeout": st.integers(500, 1500).map(lambda n: f"{n}ms")}
    )),
    ("tag", st.fixed_dictionaries(
        {"copies": st.just(1), "copy_delay": st.integers(1000, 5000).map(lambda n: f"{n}ms")}
    )),
    ("view", st.fixed_dictionaries({"attempt_timeout": _longer_than(200)})),
    ("view", st.fixed_dictionaries({"request_timeout": _longer_than(500)})),
    ("view", st.fixed_dictionaries({"attempts": st.integers(4, 10**12)})),
    ("view", st.fixed_dictionaries({"copies": st.integers(2, 10**30)})),
    ("view", st.fixed_dictionaries({"body": st.integers((32 << 20) + 1, 10**18)})),
    ("view", st.fixed_dictionaries({"retry_budget": st.floats(1.01, 1e300)})),
    ("view", st.fixed_dictionaries({"in_flight": st.integers(-(10**9), 0)})),
]  # fmt: skip
VALID_LIMITS = st.fixed_dictionaries(
    {},
    optional={
        "in_flight": st.integers(1, 1000),
        "body": st.integers(0, 32 << 20),
        "rate": st.fixed_dictionaries({"per_second": st.floats(0.5, 1000), "burst": st.integers(1, 99)}),
    },
)


def _toml(value: object) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{json.dumps(key)} = {_toml(item)}" for key, item in value.items()) + "}"
    return json.dumps(value) if not isinstance(value, float) else f"{value:.6f}"


BATCH = 8  # files per example, all made from the same valid tables


@st.composite
def unsafe_files(draw: st.DrawFn) -> list[str]:
    """Files with unsafe limits for a class, a route or both; all other tables are valid."""
    valid_limits = draw(VALID_LIMITS)
    path = draw(NAMES)
    others = draw(st.sets(st.sampled_from(["view", "send", "book", "tag"]), max_size=2))
    texts = []
    for cls, unsafe_limits in draw(st.lists(st.sampled_from(UNSAFE_LIMITS), min_size=BATCH, max_size=BATCH)):
        unsafe = draw(unsafe_limits)
        where = draw(st.sampled_from(["class", "route", "broad route", "both"]))
        lines = [f"[class.{name}]\nlimits = {_toml(valid_limits)}" for name in sorted(others - {cls})]
        if where in ("class", "both"):
            lines.append(f"[class.{cls}]\nlimits = {_toml({**valid_limits, **unsafe})}")
        for name in sorted(others - {cls}):
            route = f"name = 's-{name}'\npath.exact = '/{name}/{path}'"
            lines.append(f"[[route]]\n{route}\nlimits = {_toml(valid_limits)}")
        if where != "class":
            target = f"/{cls}/{path}" if where != "broad route" else "/"
            method = "GET" if cls == "view" else "POST"
            methods = f"\nmethods = ['{method}']" if where == "broad route" else ""
            lines.append(
                f"[[route]]\nname = 'u'\npath.prefix = '{target}'{methods}\nlimits = {_toml(unsafe)}"
            )
        texts.append("\n".join(lines) + "\n")
    return texts


def test_of_ten_thousand_unsafe_files_none_is_accepted() -> None:
    checked = 0

    @settings(max_examples=10_000 // BATCH)
    @given(unsafe_files())
    def check_files(texts: list[str]) -> None:
        nonlocal checked
        for text in texts:
            checked += 1
            with pytest.raises(OperatorError):
                compile_text(text)

    check_files()
    assert checked >= 10_000


def _mutated(text: str, at: int, removed: int, insertion: str) -> str:
    at %= len(text) + 1
    return text[:at] + insertion + text[at + removed :]


@settings(max_examples=250)
@given(unsafe_files(), st.integers(0, 2000), st.integers(0, 40), st.text(max_size=6))
def test_mutated_files_raise_only_operator_errors(
    texts: list[str], at: int, removed: int, insertion: str
) -> None:
    for text in texts:
        mutated = _mutated(text, at, removed, insertion)
        try:
            accepted = compile_file(mutated.encode("utf-8", "surrogatepass"), SETTINGS, "f.toml")
        except OperatorError as error:
            assert error.problems
        else:
            _assert_safe(accepted)


def _assert_safe(accepted: CompiledPolicy) -> None:
    # The mutation may have removed the unsafe limits; the remaining file must then be safe.
    for limits in (
        *accepted.class_limits,
        *(route_limits for route in accepted.routes for route_limits in route.limits_by_class.values()),
    ):
        cls = SETTINGS.classes[limits.class_index]
        balancer_limits = limits.balancer_limits
        assert limits.request_timeout <= cls.deadline and limits.max_body <= 32 << 20
        if balancer_limits is not None:
            assert balancer_limits.attempt_timeout <= cls.latency_objective and balancer_limits.attempts <= 3
            if cls.effect == api.Effect.UNSAFE:
                assert balancer_limits.attempts <= 1 and balancer_limits.hedges <= 0
            if cls.effect == api.Effect.KEYED:
                assert balancer_limits.retry_window <= cls.deduplication_window
                assert (
                    balancer_limits.retry_scope is None
                    or balancer_limits.retry_scope >= cls.deduplication_scope
                )


@settings(max_examples=500)
@given(st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(
        st.sampled_from(["route", "class", "defaults", "paths", "limits", "name", "path", "view", "x"]),
        inner, max_size=4,
    ),
    max_leaves=12,
))  # fmt: skip
def test_any_tables_are_read_or_refused(value: Any) -> None:
    from hollybay.routing.policy_compiler import compile_tables
    from hollybay.routing.schema import OperatorTables
    from hollybay.routing.typed_tables import _read_table

    found: list[Any] = []
    tables = _read_table(OperatorTables, value, "", found)
    if tables is not None:
        try:
            compile_tables(tables, SETTINGS, "f.toml", found)
        except OperatorError as error:
            assert error.problems
        else:
            assert not found
    else:
        assert found


# The commands `check` and `routes`


def run_command(*args: str) -> tuple[int, str]:
    result = CliRunner(env={"BALANCER_CONFIG": ""}).invoke(main, list(args))
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output


@pytest.fixture
def write_file(tmp_path: Path) -> Callable[[str], str]:
    def to_file(text: str) -> str:
        path = tmp_path / "operator.toml"
        path.write_text(text)
        return str(path)

    return to_file


def test_the_example_file_is_valid_with_and_without_a_configuration(tmp_path: Path) -> None:
    example = str(ROOT / "deploy" / "operator.toml")
    config = tmp_path / "c.json"
    config.write_text(json.dumps({"settings": scene_settings()}))
    code, output = run_command("check", example)
    assert code == 0 and "what it declares" in output and "2 routes" in output
    code, output = run_command("check", example, "--config", str(config))
    assert code == 0 and "the settings" in output


def test_check_prints_each_problem_and_exits_with_2(write_file: Callable[[str], str]) -> None:
    code, output = run_command("check", write_file("[class.a.limits]\nattempts = 2\ncopies = 1\n"))
    assert code == 2
    assert "operator.toml: [class.a.limits]: attempts = 2: permits a repeat" in output
    assert "2 problems; it would not take effect" in output
    assert run_command("check", write_file("") + ".gone")[0] == 1


def test_routes_prints_the_route_and_its_limits_with_their_tables(write_file: Callable[[str], str]) -> None:
    example = str(ROOT / "deploy" / "operator.toml")
    code, output = run_command("routes", example, "GET", "/venues/7/slots")
    assert code == 0
    assert "route: hall-slots" in output and "class: view-schedule" in output and "variable id = 7" in output
    assert "200/s, burst 400" in output and "class.view-schedule.limits" in output and "250ms to 2s" in output
    code, output = run_command("routes", example, "GET", "/view-schedule/season", "-H", "X-Client: wallboard")
    assert code == 0 and "route: season-board" in output
    code, output = run_command("routes", example, "GET", "/view-schedule/season")
    assert code == 0 and "route: none" in output
    assert run_command("routes", example, "GET", "/venues/7%2F8/slots")[0] == 1
    assert run_command("routes", example, "GET", "/nowhere")[0] == 1
    assert run_command("routes", example, "GET", "/venues", "-H", "bad")[0] == 2
