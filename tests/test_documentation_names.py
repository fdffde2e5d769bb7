"""Every code name on a documentation page exists: files, modules, definitions, keys, metrics and commands."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from .documentation_names import Tree, names_on

ROOT = Path(__file__).resolve().parent.parent
PAGES = sorted(
    str(path.relative_to(ROOT))
    for path in [*(ROOT / "docs").rglob("*.md"), ROOT / "README.md", ROOT / "DEVELOPERS.md"]
)
TREE = Tree(ROOT)
LINK = re.compile(r"\]\(([\w./-]+\.md)\)")

# Names allowed on all pages although this tree does not define them, with the reason.
EXTERNAL_NAMES = {
    **dict.fromkeys(
        ["num_retries", "max_pending_requests", "hedge_policy", "slow_start_config"], "settings of Envoy"
    ),
    "http.Server.Shutdown": "a method of Go's standard library",
    "TCP_NODELAY": "an option of the kernel",
    "TYPE_CHECKING": "a constant of the standard library's typing",
    "NAME.torn": "stands for the names of quarantined files",
    "Error": "the end of the names of error classes",
    ".venv-dev/bin/hollybay": "made by the first `make`",
    "logs/": "made by runs on the bench, not checked in",
    **dict.fromkeys(
        ["membership/", "plugins/", "recovery/", "webdav/", "memory/", "workers/"],
        "planned packages (docs/ARCHITECTURE.md)",
    ),
}

# Names that were removed from the tree, on pages that describe its past or are not yet updated. The list only
# shrinks.
REMOVED_NAMES = {
    "docs/ROADMAP.md": {
        "deploy/sites/clinic-counter": "a site of earlier measurements",
        "deploy/sites/tram-tickets": "a site of earlier measurements",
        "Admission.sheds": "the name at the time of the entry",
        "SHED_WAIT": "the name at the time of the entry",
        "make mutation": "the target at the time of the entry",
    },
}

INDEX = "docs/README.md"

# Names that packages had before they moved into `hollybay`: only HISTORY_PAGES may contain them.
WITHDRAWN = ("lynxrouter", "elderscale", "standins")
HISTORY_PAGES = {"docs/GLOSSARY.md", "docs/ROADMAP.md"}


def faults(page: str, text: str) -> dict[str, str]:
    """Return the names on a page that don't exist in the tree, with the reason for each."""
    found = {}
    for name in names_on(text):
        reason = None if name in EXTERNAL_NAMES else TREE.fault(name)
        if reason is not None and name not in REMOVED_NAMES.get(page, {}):
            found[name] = reason
    return found


@pytest.mark.parametrize("page", PAGES)
def test_every_name_on_a_page_exists(page: str) -> None:
    assert faults(page, (ROOT / page).read_text()) == {}


@pytest.mark.parametrize(
    "text",
    [
        "`hollybay/proxy/no_such_module.py`",
        "`no_such_module.py`",
        "`tests/no_such_folder/`",
        "`docs/NO-SUCH-*.md`",
        "`hollybay.no_such_package`",
        "`hollybay.balancing.balancer.NoSuchClass`",
        "`Balancer.no_such_method`",
        "`balancer.no_such_name`",
        "`NoSuchClass`",
        "`no_such_function()`",
        "`NO_SUCH_CONSTANT`",
        "`edge_balancer_no_such_total{class}`",
        "`test_no_such_test`",
        "`--no-such-option`",
        "`hollybay no-such-command`",
        "`hollybay policy status | no-such-command`",
        "`hollybay demo --no-such-option 3`",
        "`make no-such-target`",
        "`python -m hollybay.no_such_module`",
        "    hollybay no-such-command FILE   # in a block\n",
        "    make demo no-such-target\n",
    ],
)
def test_a_wrong_name_is_found(text: str) -> None:
    assert len(faults("docs/ARCHITECTURE.md", f"# A page\n\nProse, then\n\n{text}\n")) == 1


@pytest.mark.parametrize(
    "text",
    [
        "`hollybay/proxy/__main__.py` `proxy/discovery.py` `core.py` `docs/DESIGN-*.md` `hollybay/cluster/`",
        "`hollybay.balancing.interface` `balancing.balancer.Balancer` `Balancer.handle` `Balancer.handle()`",
        "`slow_start.send_interval` `OWNERS_PER_ZONE` `RequestClass` `edge_balancer_refused_total{class}`",
        "`when_unsure` `rate.per_second` `HOLLYBAY_OPERATOR` `time.process_time` `Retry-After` `X-Account`",
        "`hollybay policy status | history` `hollybay demo --seconds 3` `make demo` `--seeds`",
        "`keepers` `a sentence with NoSuchClass` `/-/ready` `[accord]` `2.5`",
    ],
)
def test_valid_names_and_other_texts_are_accepted(text: str) -> None:
    assert faults("docs/ARCHITECTURE.md", text) == {}


def test_every_exception_is_needed() -> None:
    names = {name for page in PAGES for name in names_on((ROOT / page).read_text())}
    assert [name for name in EXTERNAL_NAMES if name not in names or TREE.fault(name) is None] == []
    for page, listed in REMOVED_NAMES.items():
        on_page = set(names_on((ROOT / page).read_text()))
        assert [name for name in listed if name not in on_page or TREE.fault(name) is None] == []


@pytest.mark.parametrize("page", [page for page in PAGES if page not in HISTORY_PAGES])
def test_no_page_names_a_withdrawn_package(page: str) -> None:
    text = (ROOT / page).read_text()
    assert [name for name in WITHDRAWN if name in text] == []


def test_the_index_links_every_page() -> None:
    index = (ROOT / INDEX).read_text()
    linked = {str((ROOT / "docs" / name).resolve().relative_to(ROOT)) for name in LINK.findall(index)}
    assert linked == set(PAGES) - {INDEX, "README.md"}
    assert f"({INDEX})" in (ROOT / "README.md").read_text()
