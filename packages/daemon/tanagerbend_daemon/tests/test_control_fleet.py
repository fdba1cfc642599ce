"""Distribution and membership of a fleet under failures."""

import asyncio
import itertools
import random

import pytest

from tanagerbend_daemon.tests.control_fleet import sheet
from tanagerbend_interfaces import MemberState
from tanagerbend_model import ResultCode


def has_revision(revision):
    """Return a condition on the version in force."""
    return lambda daemon: (
        daemon.store.current is not None
        and daemon.store.current.version.revision == revision
    )


def has_state(host, state):
    """Return a condition on the state that a daemon holds for a host."""
    return lambda daemon: daemon.roster.members[host].state is state


async def inject_fault(fleet, rng, latest):
    """Inject one random fault; return the latest valid revision."""
    host = rng.choice(fleet.hosts)
    match rng.randrange(8):
        case 0:
            latest += 1
            fleet.publish(latest, sheet(latest))
        case 1:
            fleet.publish(max(1, latest - 2), sheet(max(1, latest - 2)))
        case 2:
            fleet.publish(latest, sheet('other'))
        case 3:
            fleet.service.is_up = not fleet.service.is_up
        case 4:
            await fleet.start(host)
        case 5:
            daemon = fleet.daemons[host.host]
            daemon.is_frozen = True
            await fleet.run(rng.uniform(2.1, 9.0))
            daemon.is_frozen = False
            for listener in daemon.timer.pause_listeners:
                listener(5.0)
        case 6:
            fleet.sides = {
                listed.host: rng.randrange(2) for listed in fleet.hosts
            }
            fleet.service.hosts = tuple(rng.sample(fleet.hosts, 4))
        case 7:
            fleet.sides, fleet.loss = {}, rng.choice((0.0, 0.3))
    fleet.service.list_revision += 1
    return latest


@pytest.mark.parametrize('seed', range(5))
async def test_versions_only_rise_and_converge(make_fleet, seed):
    """Guards against a version that decreases or a fleet that stays divided.

    Crossing updates, a configuration service that is down or holds an older
    or conflicting sheet, restarts with empty memory, pauses, message loss,
    partitions and wrong host lists follow each other at random.
    """
    fleet, rng, latest = (
        await make_fleet(8, seed, 10),
        random.Random(seed),
        10,
    )
    processes = list(fleet.daemons.values())
    for _ in range(30):
        latest = await inject_fault(fleet, rng, latest)
        processes.extend(set(fleet.daemons.values()) - set(processes))
        await fleet.run(rng.uniform(0.5, 6.0))
    fleet.sides, fleet.loss, fleet.service.is_up = {}, 0.0, True
    fleet.publish(latest + 1, sheet(latest + 1))
    assert await fleet.until(has_revision(latest + 1), 120)
    for daemon in processes:
        pairs = itertools.pairwise(daemon.positions)
        assert all(before < after for before, after in pairs)


async def test_restart_under_a_restored_service_takes_the_fleets_version(
    make_fleet,
):
    """Guards against a restarted daemon that adopts an older sheet."""
    fleet = await make_fleet(6, 1, revision=9)
    fleet.publish(3, sheet(3))
    await fleet.start(fleet.hosts[2], fleet.hosts[3])
    assert await fleet.until(has_revision(9), 60)
    await fleet.run(60)
    assert all(map(has_revision(9), fleet.daemons.values()))
    fleet.publish(4, sheet(4, '2026-12-04'))
    assert await fleet.until(has_revision(4), 60)


async def test_restart_asks_several_peers(make_fleet):
    """Guards against a start with the older sheet of a single peer."""
    fleet = await make_fleet(8, 11)
    fleet.service.is_up = False
    fleet.seeds = (fleet.hosts[0].peer_address,)

    def is_cut(*daemons):
        hosts = {daemon.roster.own_host for daemon in daemons}
        return 'host-0' in hosts and 'host-2' not in hosts

    fleet.is_cut = is_cut
    await fleet.kill('host-2')
    fleet.daemons['host-1'].store.offer(7, sheet(7))
    await fleet.run(20)
    assert has_revision(1)(fleet.daemons['host-0'])
    await fleet.start(fleet.hosts[2])
    restarted = fleet.daemons['host-2']
    for _ in range(200):
        await fleet.run(0.1)
        if restarted.roster.own.state is MemberState.LIVE:
            break
    assert has_revision(7)(restarted)


async def test_lost_readers_are_replaced(make_fleet):
    """Guards against a failure domain that stays without a reader."""
    fleet = await make_fleet(10, 2)
    lost = [
        host
        for host, daemon in fleet.daemons.items()
        if daemon.reader.is_reader
    ]
    assert len(lost) == 4
    for host in lost:
        await fleet.kill(host)
    fleet.publish(2, sheet(2))
    assert await fleet.until(has_revision(2), 90)


async def test_whole_fleet_restarts_while_the_service_is_down(make_fleet):
    """Guards against daemons that serve without a sheet or never recover."""
    fleet = await make_fleet(8, 3)
    fleet.service.is_up = False
    await fleet.start()
    await fleet.run(120)
    for daemon in fleet.daemons.values():
        assert daemon.store.current is None
        assert daemon.roster.own.state is MemberState.STARTING
    fleet.service.is_up = True
    assert await fleet.until(has_revision(1), 90)


async def test_wrong_list_and_partition_do_not_empty_a_service(make_fleet):
    """Guards against routes that a wrong host list empties.

    Each daemon is cut off from all others for longer than suspected
    members are kept.
    """
    fleet = await make_fleet(8, 4)
    for hosts, full_seconds in (((), 540), (tuple(fleet.hosts[:1]), 0)):
        fleet.service.hosts = hosts
        fleet.service.list_revision += 1
        fleet.sides = {
            host.host: number for number, host in enumerate(fleet.hosts)
        }
        for passed in range(0, 750, 30):
            await fleet.run(30)
            for daemon in fleet.daemons.values():
                counts = [
                    len(daemon.roster.instances(service))
                    for service in ('pattern', 'artwork')
                ]
                assert min(counts) >= (2 if passed < full_seconds else 1)
    fleet.sides = {}
    fleet.publish(2, sheet(2))
    assert await fleet.until(
        lambda daemon: (
            len(daemon.roster.instances('pattern')) == 4
            and len(daemon.roster.instances('artwork')) == 4
        ),
        200,
    )
    assert await fleet.until(has_revision(2), 60)


async def test_all_members_know_of_a_draining_daemon_within_3_s(make_fleet):
    """Guards against new work for an instance that is draining."""
    fleet = await make_fleet(20, 5)
    leaving = fleet.daemons['host-7']
    leaving.detector.notifier.senders.record_call('host-3')
    announced = asyncio.create_task(
        leaving.detector.notifier.announce_state(MemberState.DRAINING),
    )
    await fleet.run(0.1)
    assert has_state('host-7', MemberState.DRAINING)(fleet.daemons['host-3'])
    assert await fleet.until(has_state('host-7', MemberState.DRAINING), 2.5)
    for daemon in fleet.daemons.values():
        hosts = {member.host for member in daemon.roster.instances('artwork')}
        assert 'host-7' not in hosts
    assert announced.done()


async def test_suspicion_spreads_and_is_refuted(make_fleet):
    """Guards against members that stay suspected or are never suspected."""
    fleet = await make_fleet(10, 6)
    fleet.sides = {'host-4': 1}

    def is_claimed(daemon):
        own = daemon.roster.own_host == 'host-4'
        return own or daemon.roster.members['host-4'].is_suspected_or_gone

    assert await fleet.until(is_claimed, 40)
    fleet.sides = {}
    assert await fleet.until(has_state('host-4', MemberState.LIVE), 60)


async def test_work_after_a_pause_waits_for_one_sync(make_fleet):
    """Guards against calls served under the version from before a pause."""
    fleet = await make_fleet(6, 7)
    daemon = fleet.daemons['host-5']
    daemon.is_frozen = True
    fleet.publish(2, sheet(2))
    await fleet.run(10)
    daemon.is_frozen = False
    fleet.sides = {'host-5': 1}
    for listener in daemon.timer.pause_listeners:
        listener(10.0)
    await fleet.run(0.9)
    assert not daemon.guard.is_verified
    await fleet.run(0.2)
    assert daemon.guard.is_verified
    fleet.sides = {}
    daemon.guard.on_pause(10.0)
    await fleet.run(0.5)
    assert daemon.guard.is_verified
    assert has_revision(2)(daemon)


async def test_call_with_a_newer_version(make_fleet):
    """Guards against calls served under an older version than they carry."""
    fleet = await make_fleet(4, 8)
    ahead, behind = fleet.daemons['host-1'], fleet.daemons['host-2']
    fleet.service.is_up = False
    fleet.sides = {'host-2': 1}
    ahead.store.offer(5, sheet(5))
    await fleet.run(1)
    fleet.sides = {}

    async def ask(position, sender):
        call = behind.catch_up.await_version(position, sender)
        outcome = asyncio.create_task(call)
        await fleet.run(1.2)
        return outcome.result()

    refusal = await ask(((), 99), '')
    assert refusal.code is ResultCode.VERSION_BEHIND
    assert await ask(((), 5), 'host-1') is None
    assert has_revision(5)(behind)
