"""Guards against lost, repeated or reverted patches, and hosts that serve old versions."""

import asyncio

import pytest
from configuration.site_world import customer, rate_patch, settled_site
from returns.pipeline import is_successful

from pistachiowinch.base import codes
from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.configuration.messages import PatchPrepare
from pistachiowinch.configuration.patches import Patch, PatchOperation

pytestmark = pytest.mark.looptime


def versions(world):
    return {host.version for host in world.hosts.values()}


async def refusal_of(host, patch):
    return (await host.configuration.submit(patch)).failure().code


async def test_accepted_patch_is_in_force_on_every_host_within_two_seconds():
    async with settled_site() as world:
        configuration = world.hosts["a"].configuration
        seen = []
        world.hosts["b"].configuration.changes.subscribe(lambda new: seen.append(new.version))
        accepted = (await configuration.submit(rate_patch("p1", 0))).unwrap()
        started_s = now_s()
        assert accepted.version == 1
        assert await configuration.wait_in_force(1, 2.0)
        assert now_s() - started_s < 2.0
        assert versions(world) == {1}
        assert seen == [0, 1]


async def test_in_force_is_not_reported_while_a_member_is_behind():
    async with settled_site() as world:
        world.hosts["e"].pause()
        configuration = world.hosts["a"].configuration
        await configuration.submit(rate_patch("p1", 0))
        assert not await configuration.wait_in_force(1, 0.9)
        assert configuration.lagging_members(1) == ("e",)


async def test_repeated_patch_gives_the_same_result_and_changed_content_is_refused():
    async with settled_site() as world:
        a, b = world.hosts["a"], world.hosts["b"]
        for host in (a, b, a):
            assert (await host.configuration.submit(rate_patch("p1", 0))).unwrap().version == 1
            await sleep_s(0.5)
        assert await refusal_of(b, rate_patch("p1", 0, 6.0)) == codes.PATCH_ID_REUSED
        assert await refusal_of(b, rate_patch("p1", 1)) == codes.PATCH_ID_REUSED
        assert versions(world) == {1}


async def test_exactly_one_of_concurrent_patches_is_accepted():
    async with settled_site() as world:
        results = await asyncio.gather(
            *(
                host.configuration.submit(rate_patch(f"by-{name}", 0, float(ord(name))))
                for name, host in world.hosts.items()
            )
        )
        refused = [result.failure().code for result in results if not is_successful(result)]
        assert refused == [codes.STALE_BASE_VERSION] * 4
        await sleep_s(2.0)
        assert versions(world) == {1}
        documents = [host.configuration.current.document for host in world.hosts.values()]
        assert all(document == documents[0] for document in documents)


async def test_lost_reply_is_resolved_by_the_patch_record():
    async with settled_site() as world:
        host = world.hosts["a"]
        host.client.faults.lost_replies = 1
        assert (await host.configuration.submit(rate_patch("p1", 0))).unwrap().version == 1
        await sleep_s(1.0)
        assert versions(world) == {1}
        assert all(other.has_standing for other in world.hosts.values())


async def test_lost_request_is_repeated_only_after_it_can_no_longer_arrive():
    async with settled_site() as world:
        host = world.hosts["a"]
        host.client.faults.lost_requests = 1
        assert (await host.configuration.submit(rate_patch("p1", 0))).unwrap().version == 1
        await sleep_s(1.0)
        assert versions(world) == {1}


async def test_late_transaction_does_not_revert_what_followed():
    async with settled_site() as world:
        host = world.hosts["a"]
        submission = asyncio.create_task(host.configuration.submit(rate_patch("late", 0)))
        await world.until(lambda: host.state.in_doubt, step_s=0.0002)
        host.client.faults.delay_s = 6.0
        result = await submission
        assert result.failure().code == codes.PATCH_OUTCOME_UNKNOWN
        await sleep_s(3.0)
        newest = world.hosts["b"].version
        patch = rate_patch("next", newest, 9.0)
        assert (await world.hosts["b"].configuration.submit(patch)).unwrap().version == newest + 1
        await sleep_s(10.0)
        host.client.faults.delay_s = 0.0
        await world.until(lambda: versions(world) == {newest + 1})


@pytest.mark.parametrize("is_applied_before_crash", [True, False])
async def test_crashed_submitter_leaves_no_host_with_a_replaced_version(is_applied_before_crash):
    async with settled_site() as world:
        host = world.hosts["a"]
        submission = asyncio.create_task(host.configuration.submit(rate_patch("p1", 0)))
        await world.until(lambda: host.state.in_doubt, step_s=0.0002)
        if is_applied_before_crash:
            revision = world.store.revision
            host.client.faults.lost_replies = 1
            await world.until(lambda: world.store.revision > revision, step_s=0.0002)
            replaced_s = now_s()
            world.store.faults.is_down = True
        else:
            host.client.faults.is_down = True
        await host.crash()
        submission.cancel()
        if is_applied_before_crash:
            # With the store down nobody can learn the outcome, so nobody confirms version 0.
            await sleep_s(replaced_s + 1.7 - now_s())
            assert not any(other.has_standing for other in world.hosts.values())
            world.store.faults.is_down = False
        await world.until(world.is_settled)
        assert versions(world) == {int(is_applied_before_crash)}
        assert not any(other.state.in_doubt for other in world.hosts.values())


async def test_lost_reply_and_store_down_end_the_confirmation_of_the_replaced_version():
    async with settled_site() as world:
        host = world.hosts["a"]
        revision = world.store.revision
        world.store.faults.silence_watches()
        host.client.faults.lost_replies = 1
        submission = asyncio.create_task(host.configuration.submit(rate_patch("p1", 0)))
        await world.until(lambda: world.store.revision > revision, step_s=0.0002)
        world.store.faults.is_down = True
        await sleep_s(1.7)
        assert not any(other.has_standing for other in world.hosts.values())
        assert (await submission).failure().code == codes.PATCH_OUTCOME_UNKNOWN
        world.store.faults.is_down = False
        await world.until(lambda: versions(world) == {1})


async def test_patch_reported_as_not_accepted_is_not_accepted_later():
    async with settled_site() as world:
        host = world.hosts["a"]
        submission = asyncio.create_task(host.configuration.submit(rate_patch("p1", 0)))
        await world.until(lambda: host.state.in_doubt, step_s=0.0002)
        # Only the transaction is slow: it arrives 0.25 s after it was sent, which is after the
        # client gave it up and before any other member would resolve the outcome.
        sent = host.client.calls["transact"]
        host.client._timeout_s = 0.2
        host.client.faults.delay_s = 0.5
        await world.until(lambda: host.client.calls["transact"] > sent, step_s=0.0002)
        host.client.faults.delay_s = 0.0
        world.network.cut("a", "bcde")
        for name in "bcde":
            # The others cannot resolve the outcome either.
            world.hosts[name].client.faults.is_down = True
        refused = (await submission).failure()
        assert (refused.code, refused.code.ran) == (codes.NO_MAJORITY, codes.ExecutionStatus.NO)
        await sleep_s(10.0)
        assert world.store.apply_get(host.state.keys.patch("p1")) is None


async def test_recently_heard_majority_still_has_to_agree():
    async with settled_site() as world:
        world.network.cut("a", "bcde")
        assert await refusal_of(world.hosts["a"], rate_patch("p1", 0)) == codes.NO_MAJORITY
        assert world.store.apply_get(world.hosts["a"].state.keys.head) is None


async def test_member_that_joins_after_the_agreement_ends_the_attempt():
    """Guards against a member that confirms the old version because it was not asked to agree."""
    async with settled_site() as world:
        host = world.hosts["a"]
        world.network.delay_s = 0.1
        sent = host.client.calls["transact"]
        submission = asyncio.create_task(host.configuration.submit(rate_patch("p1", 0)))
        await world.until(lambda: host.state.in_doubt, step_s=0.0002)
        epoch, revision = host.roster.current.epoch, host.state.roster_revision
        world.names = (*world.names, "f")
        world.start("f")
        await world.until(
            lambda: world.store.apply_get(host.state.keys.roster).mod_revision > revision,
            step_s=0.0002,
        )
        assert host.roster.current.epoch == epoch
        assert (await submission).unwrap().version == 1
        assert host.client.calls["transact"] - sent == 2


async def test_store_down_refuses_patches_as_not_accepted_and_keeps_standing():
    async with settled_site() as world:
        world.store.faults.is_down = True
        refused = (await world.hosts["a"].configuration.submit(rate_patch("p1", 0))).failure()
        assert (refused.code, refused.code.ran) == (
            codes.STORE_UNAVAILABLE,
            codes.ExecutionStatus.NO,
        )
        await sleep_s(20.0)
        assert all(host.has_standing for host in world.hosts.values())
        world.store.faults.is_down = False
        assert (await world.hosts["a"].configuration.submit(rate_patch("p1", 0))).unwrap()


async def test_slow_store_costs_no_standing():
    async with settled_site() as world:
        world.store.faults.delay_s = 3.0
        assert await refusal_of(world.hosts["a"], rate_patch("p1", 0)) == codes.STORE_UNAVAILABLE
        for _ in range(100):
            assert all(host.has_standing for host in world.hosts.values())
            await sleep_s(0.1)


async def test_minority_accepts_no_patch_even_with_the_store():
    async with settled_site() as world:
        world.network.cut("de", "abc")
        await sleep_s(2.0)
        assert await refusal_of(world.hosts["d"], rate_patch("p1", 0)) == codes.NO_MAJORITY
        assert (await world.hosts["a"].configuration.submit(rate_patch("p2", 0))).unwrap()


async def test_silent_watches_and_lost_announcements_delay_but_do_not_stop_a_version():
    async with settled_site() as world:
        world.store.faults.silence_watches()
        world.network.loss = 0.4
        host = world.hosts["a"]
        for _ in range(50):
            if is_successful(await host.configuration.submit(rate_patch("p1", 0))):
                break
            await sleep_s(0.5)
        world.network.loss = 0.0
        await world.until(lambda: versions(world) == {1})


async def test_host_starts_with_the_store_down_from_its_peers_in_chunks():
    async with settled_site() as world:
        host = world.hosts["a"]
        zones = {f"z{i}": {"state": "in"} for i in range(4000)}
        operations = [
            PatchOperation("set", ["availability_zones", name], zone)
            for name, zone in zones.items()
        ]
        for number, start in enumerate(range(0, 4000, 2000)):
            patch = Patch(f"p{number}", number, operations[start : start + 2000])
            assert (await host.configuration.submit(patch)).unwrap()
        await world.hosts["b"].crash()
        world.store.faults.is_down = True
        for other in world.hosts.values():
            other.configuration._transfer._records.clear()
        world.start("b")
        await world.until(lambda: world.hosts["b"].has_standing)
        assert world.hosts["b"].configuration.current == host.configuration.current


async def test_host_starts_from_the_store_alone():
    async with settled_site(("a",)) as world:
        host = world.hosts["a"]
        for number in range(3):
            await host.configuration.submit(rate_patch(f"p{number}", number, float(number)))
        await host.crash()
        world.start("a")
        await world.until(world.is_settled)
        assert world.hosts["a"].version == 3
        history = await world.hosts["a"].configuration.history(2)
        assert [record.patch.patch_id for record in history] == ["p1", "p2"]


async def test_invalid_patches_name_all_faults():
    async with settled_site(("a",)) as world:
        bad = Patch(
            "p1",
            0,
            [
                PatchOperation("set", ["customers", "m"], customer(-1.0) | {"weight": 0}),
                PatchOperation("set", ["keys", "k"], {"customer": "m"}),
            ],
        )
        refused = (await world.hosts["a"].configuration.submit(bad)).failure()
        assert refused.code == codes.PATCH_INVALID
        for path in ("customers/m/rate_per_s", "customers/m/weight", "keys/k/password_hash"):
            assert path in refused.detail
        assert await refusal_of(world.hosts["a"], rate_patch("a/b", 0)) == codes.PATCH_INVALID
        large = Patch("p2", 0, [PatchOperation("set", ["keys", "k"], "x" * 300_000)])
        assert await refusal_of(world.hosts["a"], large) == codes.PATCH_TOO_LARGE


async def test_version_never_goes_back_when_old_messages_arrive():
    async with settled_site() as world:
        seen = []
        world.hosts["b"].configuration.changes.subscribe(lambda new: seen.append(new.version))
        world.network.duplication = 1.0
        world.network.delay_s = 0.2
        for number in range(6):
            patch = rate_patch(f"p{number}", number, float(number))
            await world.hosts["a"].configuration.submit(patch)
            await sleep_s(0.3)
        await sleep_s(2.0)
        assert seen == sorted(seen)


async def test_late_prepare_of_a_withdrawn_patch_is_refused():
    async with settled_site() as world:
        host = world.hosts["a"]
        host.state.withdraw_in_doubt("x/1/1")
        assert not host.state.add_in_doubt("x/1/1", 1, host.state.head_revision)


async def test_abandoned_patch_is_resolved_by_one_write_of_the_whole_site():
    async with settled_site() as world:
        writes = world.store.calls["transact"]
        base = world.hosts["a"].state.head_revision
        for name in "bcde":
            await world.hosts["a"].link.request(name, PatchPrepare("x/9/1", 1, base), 0.3)
        await sleep_s(3.0)
        assert not any(host.state.in_doubt for host in world.hosts.values())
        assert all(host.has_standing for host in world.hosts.values())
        assert world.store.calls["transact"] - writes <= 1
