from __future__ import annotations

from collections import Counter

from poplarward.coordination.membership import Member, MemberState
from poplarward.protocol import ProcessIdentity
from poplarward.requests import choose_addresses
from poplarward.transport import Address

DATA_CENTRES = ("rennes", "brest", "vannes")


def make_members(n_members: int) -> list[Member]:
    return [
        Member(
            ProcessIdentity(
                "entry", f"entry-{i}", i, Address("10.0.0.1", i), DATA_CENTRES[i % 3]
            ),
            MemberState.LIVE,
            f"10.0.0.1:{i}",
        )
        for i in range(n_members)
    ]


def test_local_addresses_come_first_and_callers_are_spread():
    members = make_members(60)
    first: Counter[str] = Counter()
    for caller in range(400):
        chosen = choose_addresses(members, "brest", f"10.9.{caller // 250}.{caller}")
        assert len(chosen) == len(set(chosen)) == 6
        centres = [int(address.partition(":")[2]) % 3 for address in chosen]
        assert [centre == 1 for centre in centres] == [True] * 4 + [False] * 2
        first[chosen[0]] += 1
    assert len(first) == 20
    assert max(first.values()) <= 3 * 400 / 20


def test_only_callers_of_a_removed_host_get_another_first_address():
    members = make_members(60)
    callers = [f"10.9.0.{i}" for i in range(250)]
    before = {c: choose_addresses(members, "brest", c)[0] for c in callers}
    removed = "10.0.0.1:4"
    remaining = [m for m in members if m.callers_address != removed]
    for caller in callers:
        after = choose_addresses(remaining, "brest", caller)[0]
        assert after == before[caller] or before[caller] == removed


def test_remote_hosts_are_used_without_live_local_hosts():
    members = [m for m in make_members(12) if m.identity.data_centre != "brest"]
    assert len(choose_addresses(members, "brest", "10.9.0.1")) == 6
    assert choose_addresses([], "brest", "10.9.0.1") == []
