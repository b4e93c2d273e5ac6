"""Guards against shares that add up to more than 1 and against hosts that cannot join."""

import pytest
from configuration.site_world import settled_site

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.links.store import StoreError

pytestmark = pytest.mark.looptime


def shares(world):
    return {name: host.share for name, host in world.hosts.items()}


async def watch_shares(world, duration_s):
    """Return the greatest sum of shares seen."""
    highest = 0.0
    for _ in range(round(duration_s / 0.02)):
        highest = max(highest, sum(shares(world).values()))
        await sleep_s(0.02)
    return highest


async def test_started_hosts_share_everything_equally():
    async with settled_site() as world:
        assert shares(world) == dict.fromkeys("abcde", 0.2)
        incarnations = [host.state.identity.incarnation for host in world.hosts.values()]
        assert len(set(incarnations)) == 5


async def test_crashed_host_is_removed_and_its_share_goes_to_the_others():
    async with settled_site() as world:
        await world.hosts["c"].crash()
        assert await watch_shares(world, 5.0) <= 1.0
        assert shares(world) == dict.fromkeys("abde", 0.25)


async def test_new_member_generates_nothing_before_its_epoch_is_active():
    async with settled_site() as world:
        world.names = (*world.names, "f")
        world.start("f")
        await world.until(lambda: world.hosts["f"].roster.is_member)
        assert world.hosts["f"].share == 0.0
        assert await watch_shares(world, 5.0) <= 1.0 + 1e-9
        assert shares(world) == pytest.approx(dict.fromkeys("abcdef", 1 / 6))


async def test_restarted_host_replaces_its_own_entry():
    async with settled_site() as world:
        old = world.hosts["b"].state.identity.incarnation
        await world.hosts["b"].crash()
        world.start("b")
        assert await watch_shares(world, 4.0) <= 1.0
        await world.until(world.is_settled)
        assert world.hosts["b"].state.identity.incarnation > old
        assert len(world.hosts["a"].roster.current.members) == 5


async def test_restart_of_all_hosts_ends_with_an_active_roster():
    async with settled_site() as world:
        for name in world.names:
            await world.hosts[name].crash()
        world.start()
        assert await watch_shares(world, 3.0) <= 1.0
        await world.until(world.is_settled)
        assert sum(shares(world).values()) == pytest.approx(1.0)


async def test_leaving_host_generates_nothing_at_once_and_frees_its_share():
    async with settled_site() as world:
        await world.hosts["a"].roster.leave()
        assert world.hosts["a"].share == 0.0
        await world.hosts["a"].crash()
        await world.until(world.is_settled, 5.0)
        assert shares(world) == dict.fromkeys("bcde", 0.25)


async def test_site_that_everybody_left_starts_again():
    """Guards against a roster without members, which has no majority."""
    async with settled_site(("a", "b")) as world:
        for name in world.names:
            await world.hosts[name].roster.leave()
        await sleep_s(2.0)
        for name in world.names:
            await world.hosts[name].crash()
        world.start()
        assert await watch_shares(world, 2.0) <= 1.0
        await world.until(world.is_settled)
        assert shares(world) == {"a": 0.5, "b": 0.5}


async def test_site_of_two_goes_on_after_one_leaves():
    """Guards against a predecessor whose majority can never adopt the next epoch."""
    async with settled_site(("a", "b")) as world:
        await world.hosts["a"].roster.leave()
        await world.hosts["a"].crash()
        await world.until(world.is_settled, 5.0)
        assert shares(world) == {"b": 1.0}


@pytest.mark.parametrize("fault", ["lost_replies", "lost_requests"])
async def test_lost_replies_to_a_join_leave_one_entry(fault):
    async with settled_site() as world:
        await world.hosts["b"].crash()
        world.start("b")
        setattr(world.hosts["b"].client.faults, fault, 2)
        await world.until(world.is_settled)
        hosts = [member.host for member in world.hosts["a"].roster.current.members]
        assert hosts == ["a", "b", "c", "d", "e"]


async def test_minority_loses_its_shares_before_the_majority_takes_them():
    async with settled_site() as world:
        for name in "de":
            world.hosts[name].client.faults.is_down = True
        world.network.cut("de", "abc")
        assert await watch_shares(world, 6.0) <= 1.0 + 1e-9
        assert shares(world) == pytest.approx(dict.fromkeys("abc", 1 / 3) | {"d": 0, "e": 0})
        assert not world.hosts["d"].has_standing
        for name in "de":
            world.hosts[name].client.faults.is_down = False
        world.network.heal()
        await world.until(world.is_settled)


async def test_majority_without_store_goes_on_and_cannot_remove():
    async with settled_site() as world:
        world.store.faults.is_down = True
        await world.hosts["e"].crash()
        await sleep_s(30.0)
        assert shares(world) == dict.fromkeys("abcd", 0.2)


async def test_survivors_of_a_lost_majority_go_on_with_the_store_and_their_own_shares():
    async with settled_site() as world:
        for name in "abc":
            await world.hosts[name].crash()
        await sleep_s(10.0)
        assert shares(world) == {"d": 0.2, "e": 0.2}
        await world.hosts["d"].roster.force_remove(frozenset("abc"))
        await sleep_s(3.0)
        assert shares(world) == {"d": 0.5, "e": 0.5}


async def test_paused_host_resumes_without_share_and_rejoins():
    async with settled_site() as world:
        world.hosts["a"].pause()
        await world.until(lambda: len(world.hosts["b"].roster.current.members) == 4)
        assert await watch_shares(world, 3.0) <= 1.0
        world.hosts["a"].resume()
        assert world.hosts["a"].share == 0.0
        assert await watch_shares(world, 1.0) <= 1.0
        await world.until(world.is_settled)


async def test_host_started_with_the_store_down_has_standing_and_no_share():
    async with settled_site() as world:
        await world.hosts["b"].crash()
        world.store.faults.is_down = True
        world.start("b")
        await world.until(lambda: world.hosts["b"].has_standing)
        assert world.hosts["b"].share == 0.0
        assert world.hosts["b"].state.identity.incarnation == 0
        world.store.faults.is_down = False
        await world.until(world.is_settled)
        assert world.hosts["b"].share == 0.2


async def test_one_way_silence_does_not_remove_a_host_that_most_others_hear():
    async with settled_site() as world:
        world.network.cut("a", "b")
        epoch = world.hosts["c"].roster.current.epoch
        await sleep_s(10.0)
        assert world.hosts["c"].roster.current.epoch == epoch


async def test_leave_with_the_store_down_fails_and_the_others_remove_the_host():
    async with settled_site() as world:
        world.store.faults.is_down = True
        with pytest.raises(StoreError):
            await world.hosts["a"].roster.leave()
        await world.hosts["a"].crash()
        world.store.faults.is_down = False
        await world.until(world.is_settled)
        assert shares(world) == dict.fromkeys("bcde", 0.25)


async def test_messages_of_an_earlier_run_do_not_count_as_adoption_or_evidence():
    async with settled_site() as world:
        world.network.delay_s = 0.15
        await world.hosts["b"].crash()
        world.start("b")
        assert await watch_shares(world, 6.0) <= 1.0
        world.network.delay_s = 0.0005
        await world.until(world.is_settled)


async def test_share_is_bounded_in_time_for_generation_after_a_pause():
    async with settled_site() as world:
        host = world.hosts["a"]
        until_s = host.roster.share_expires_s
        host.pause()
        await sleep_s(5.0)
        assert host.roster.share_expires_s <= until_s + 0.2
