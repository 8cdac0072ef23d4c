from __future__ import annotations

import re
from pathlib import Path

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs

import poplarward
from poplarward.direct.model import Repeatability
from poplarward.direct.ports import ForwardingContext
from poplarward.errors import FindingsError
from poplarward.platform.__main__ import EXIT_BAD_SETTINGS, main
from poplarward.platform.configuration import decode_configuration, decode_upstream
from poplarward.platform.headers import PlatformHeaders
from poplarward.platform.rank_control import decode_report
from poplarward.platform.settings import read_platform_settings
from poplarward.transport.http1_client import ResponseHead
from poplarward.transport.http1_exchange import RequestHead
from tests.platform.documents import config_document, server_document, settings_text

PACKAGE = Path(poplarward.__file__).parent

# Names of headers, paths, kinds and fields in the platform's protocol.
PLATFORM_NAMES = re.compile(
    r"poplarward-(deadline-ms|expect-instance|not-run|server-stamp|token-counts"
    r"|prompt-prefix|tenant|instance-id|request-urgency|weight-versions)"
    r"|coldLeftMs|storeRevision|kvUsed|kvCapacity|maxAttempts|targetLatencyMs"
    r"|gapTargetMs|timeoutMs|pathPrefix|trafficSplit|apiKeys|staleOk|waitMs|hasMore"
    r"|/picked|/objects/|healthPath|expertMb|retryBudgetRatio|retryBudgetSlack|nodeName|portRange"
    r"|at-server|server-limit|server-leaving|budgetWindowS|revokeMs|graceS|drainMs",
    re.IGNORECASE,
)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=8), children, max_size=3)
    ),
    max_leaves=8,
)


def test_names_of_the_platforms_protocol_occur_only_in_the_platform_folder():
    found = [
        f"{path.relative_to(PACKAGE)}: {match.group(0)}"
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts[:1]
        and "generated" not in path.parts
        for match in PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_configuration_is_decoded_into_named_fields():
    found = decode_configuration(config_document())
    read, write = found.routes
    assert found.version == 7
    assert read.repeatability is Repeatability.IDEMPOTENT
    assert write.repeatability is Repeatability.STREAM and write.may_run_again
    assert [target.weight for target in write.targets] == [90, 10]
    assert found.services["llm-1"].engine.n_layers == 4
    assert found.workspaces[0].keys == ("k-1",)


def test_every_finding_is_reported_with_its_place():
    document = config_document()
    document["routes"][0]["kind"] = "odd"
    del document["limits"]["maxBodyBytes"]
    document["services"][1]["engine"] = {**document["services"][1]["engine"]}
    document["services"][1]["engine"]["slots"] = "six"
    with pytest.raises(FindingsError) as caught:
        decode_configuration(document)
    places = {finding.place for finding in caught.value.findings}
    assert places == {
        "config.routes[0].kind",
        "config.limits.maxBodyBytes",
        "config.services[1].engine.slots",
    }


@given(st.sampled_from(sorted(config_document())), JSON)
def test_any_configuration_is_decoded_or_refused(name, value):
    document = {**config_document(), name: value}
    try:
        decode_configuration(document)
    except FindingsError as error:
        assert error.findings


@given(st.sampled_from(sorted(server_document())), JSON)
def test_any_registry_entry_is_decoded_or_refused(name, value):
    document = {**server_document(), name: value}
    try:
        entry = decode_upstream("i-1", document)
    except FindingsError as error:
        assert error.findings
    else:
        assert entry.n_slots >= 1 and entry.address.count(":") == 1


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:\u00b2",
        "10.0.0.\u00b2:80",
        "10.0.0.1:" + "9" * 5_000,
        "10.0.0.1: 80",
        "10.0.0.1:0",
        "10.0.0.256:80",
        "10.0.0:80",
        ":",
    ],
)
def test_registry_entry_with_an_unusable_address_is_refused(address):
    with pytest.raises(FindingsError):
        decode_upstream("i-1", {**server_document(), "address": address})


@given(JSON)
def test_arbitrary_document_is_refused_as_an_entry_and_as_a_report(value):
    for decode in (decode_upstream, decode_report):
        with pytest.raises(FindingsError):
            decode("i-1", value)


def test_registry_entry_with_an_unknown_state_is_refused():
    with pytest.raises(FindingsError):
        decode_upstream("i-1", server_document(state="resting"))


def test_report_is_decoded():
    document = {
        "group": {"name": "g", "epoch": 2, "rank": 3, "state": "open"},
        "size": 16,
        "sequence": 0,
        "pace": 1.5,
        "step": 38,
        "map": 7,
        "prepared": 9,
        "armed": None,
        "held": 44,
    }
    report = decode_report("i-1", document)
    assert (report.epoch, report.rank, report.n_ranks) == (2, 3, 16)
    assert (report.map_version, report.prepared_version) == (7, 9)
    assert (report.armed, report.held_step, report.slowness) == (None, 44, 1.5)


def test_headers_of_one_connection_are_not_forwarded():
    codec = PlatformHeaders()
    head = RequestHead(
        "POST",
        "/write/1",
        [
            (b"Host", b"Shop.Example:80"),
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Authorization", b"Bearer k-1"),
            (b"Poplarward-Tenant", b"forged"),
            (b"Poplarward-Deadline-Ms", b"800"),
            (b"Poplarward-Token-Counts", b"1460,80"),
            (b"Last-Event-Id", b"12"),
            (b"X-End", b"2"),
        ],
    )
    request = codec.read_request(head)
    assert (request.host, request.key, request.time_left_ms) == (
        "shop.example",
        "k-1",
        800.0,
    )
    assert (request.prompt_tokens, request.max_answer_tokens) == (1460, 80)
    assert request.last_event_id == 12
    sent = codec.forwarded_headers(
        head, b"abc", ForwardingContext("i-1", 700.4, "ateliers", 1, 15)
    )
    assert dict(sent) == {
        b"Host": b"Shop.Example:80",
        b"Poplarward-Token-Counts": b"1460,80",
        b"X-End": b"2",
        b"Poplarward-Deadline-Ms": b"700",
        b"Poplarward-Expect-Instance": b"i-1",
        b"Poplarward-Request-Urgency": b"1",
        b"Poplarward-Tenant": b"ateliers",
        b"Last-Event-Id": b"15",
        b"Content-Length": b"3",
    }


def shared_parts(header):
    headers = [(b"Host", b"shop.example")]
    if header is not None:
        headers.append((b"Poplarward-Prompt-Prefix", header))
    head = RequestHead("POST", "/write/1", headers)
    return PlatformHeaders().read_request(head).shared_parts


def test_all_parts_of_a_prompt_but_the_last_are_shared():
    assert shared_parts(None) == ()
    assert shared_parts(b"e4402b7d:250") == ()
    assert shared_parts(b"5C1E07A2:800,91bd3f06:410,e4402b7d:250") == (
        "5c1e07a2",
        "91bd3f06",
    )


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        (b"", ()),
        (b",,,", ()),
        (b"xyz:1,5c1e:2,e4:3", ("5c1e",)),
        (b"5c1e,91bd:1,e4:3", ("91bd",)),
        (b"5c1e:2,5c1e:2,e4:3", ("5c1e",)),
        (b"5c1e:-2,91bd:1e3,e4:3", ()),
        (b"%s:1,5c1e:2,e4:3" % (b"a" * 5_000), ("5c1e",)),
        (b"5c1e:%s,e4:3" % (b"9" * 5_000), ()),
        (b"\xff\xfe:1,5c1e:2,e4:3", ("5c1e",)),
        (b",".join(b"%x:1" % n for n in range(4_000)), tuple("01234567")),
    ],
)
def test_parts_that_can_not_be_read_are_left_out(header, expected):
    assert shared_parts(header) == expected


def test_responses_are_decoded():
    codec = PlatformHeaders()
    refused = codec.read_response(
        ResponseHead(503, [(b"Poplarward-Not-Run", b"1"), (b"At-Server", b"i-9")])
    )
    assert refused.is_not_run and refused.faulty_upstream_id == "i-9"
    assert not refused.is_stamped and not refused.is_misdirected
    assert codec.read_response(ResponseHead(421, [])).is_misdirected


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"0", 0.0),
        (b" 0.4 ", 0.4),
        (b".5", 0.5),
        (b"3.", 3.0),
        (b"8.25", 8.25),
        (b"1000000000", 1e9),
        (b"1E9", 1e9),
        (b"", None),
        (b"-1", None),
        (b"+3", None),
        (b"nan", None),
        (b"inf", None),
        (b"3,5", None),
        (b"3 5", None),
        (b"1e99", None),
        (b"0x10", None),
        (b"1_0", None),
        (b"\xd9\xa3", None),
        (b"9" * 5_000, None),
    ],
)
async def test_limit_of_an_upstream_is_a_decimal_number(value, expected):
    head = ResponseHead(200, [(b"Server-Limit", value)])
    with capture_logs() as lines:
        assert PlatformHeaders().read_response(head).limit_per_s == expected
    assert [line["event"] for line in lines] == (
        ["upstream.limit_unreadable"] if expected is None else []
    )


@pytest.mark.parametrize(
    ("value", "pause_ms"),
    [
        (b"2", 2_000.0),
        (b" 0.25 ", 250.0),
        (b"1.3333333333333333", 1_333.3333333333333),
        (b"0", 0.0),
        (b"3600", 3_600_000.0),
        (b"3601", None),
        (b"-1", None),
        (b"soon", None),
        (b"Wed, 21 Oct 2026 07:28:00 GMT", None),
        (b"", None),
        (b"9" * 5_000, None),
    ],
)
async def test_pause_that_an_upstream_asks_for_is_a_number_of_seconds(value, pause_ms):
    """Longer ones would let one faulty upstream shut itself out for hours."""
    codec, headers = PlatformHeaders(), [(b"Retry-After", value)]
    with capture_logs() as lines:
        notice = codec.read_response(ResponseHead(503, headers)).notice
    assert (notice.is_leaving, notice.pause_ms) == (False, pause_ms)
    assert [line["event"] for line in lines] == (
        ["upstream.retry_after_unreadable"] if pause_ms is None else []
    )
    for status in (200, 429, 500):
        assert (
            codec.read_response(ResponseHead(status, headers)).notice.pause_ms is None
        )


@pytest.mark.parametrize(
    ("value", "is_leaving"),
    [(b"1", True), (b" 1 ", True), (b"0", False), (b"", None), (b"yes", None)],
)
async def test_upstream_that_leaves_says_so_with_any_status(value, is_leaving):
    codec = PlatformHeaders()
    for status in (200, 404, 429, 500, 503):
        head = ResponseHead(status, [(b"Server-Leaving", value)])
        assert codec.read_response(head).notice.is_leaving is is_leaving


async def test_unreadable_headers_are_counted_between_log_lines(autojump_clock):
    codec = PlatformHeaders()
    heads = [
        ResponseHead(200, [(b"Server-Leaving", b"x")]),
        ResponseHead(503, [(b"Retry-After", b"x")]),
    ]
    with capture_logs() as lines:
        for number in range(100):
            codec.read_response(heads[number % 2])
            await trio.sleep(0.125)
    assert [(line["event"], line["n"]) for line in lines] == [
        ("upstream.leaving_unreadable", 1),
        ("upstream.retry_after_unreadable", 1),
        ("upstream.leaving_unreadable", 40),
        ("upstream.retry_after_unreadable", 40),
    ]


async def test_unreadable_limits_are_logged_now_and_then(autojump_clock):
    codec, head = PlatformHeaders(), ResponseHead(200, [(b"Server-Limit", b"x" * 999)])
    with capture_logs() as lines:
        for _ in range(1_000):
            codec.read_response(head)
            await trio.sleep(0.1)
    assert len(lines) == 10
    assert max(len(line["value"]) for line in lines) < 50


def test_settings_are_checked(tmp_path, capsys):
    path = tmp_path / "settings.toml"
    path.write_text(settings_text((1, 2, 3, 4), "127.0.0.1:5"), encoding="utf-8")
    settings = read_platform_settings(str(path))
    assert settings.callers_address == "127.0.0.1:1"
    assert settings.exchange_port == 4
    assert settings.shutdown_ms == 8_000
    assert main(["entry", "--check", "--settings", str(path)]) == 0
    path.write_text('nodeName = 3\n[listen]\nfront = "x"\n', encoding="utf-8")
    assert main(["entry", "--check", "--settings", str(path)]) == EXIT_BAD_SETTINGS
    shown = capsys.readouterr().err
    assert "nodeName: found 3, allowed: a text" in shown
    assert "listen.front" in shown and "bounds" in shown
