"""Tables of peers and upstreams: late, stale and buffered messages."""

import datetime

import attrs

from figford import membership
from figford import messages


def seconds(value):
    return datetime.timedelta(seconds=value)


def peer(instance, incarnation=1, sequence=1, **more):
    return messages.Peer(
        instance, incarnation, sequence, "north", "127.0.0.1:1", **more
    )


def announcement(sequence, incarnation=1, clock=0.0, **more):
    return messages.Announcement(
        upstream="u",
        incarnation=incarnation,
        sequence=sequence,
        data_centre="north",
        fabric_domain="f",
        address="127.0.0.1:2",
        kind=messages.UpstreamKind.ENGINE,
        clock_ms=int(clock * 1000),
        **more,
    )


def test_message_of_an_old_incarnation_is_ignored():
    table = membership.PeerTable(peer("me"))
    table.update_from_peer(peer("a", 2, 1, version=5), seconds(1))
    table.update_from_peer(peer("a", 1, 99, version=3), seconds(2))
    assert table.by_instance["a"].peer.version == 5
    assert table.stale_messages == 1


def test_restarted_peer_is_live_only_once_heard():
    table = membership.PeerTable(peer("me"))
    table.update_from_peer(peer("a", 1), seconds(1))
    table.update(peer("a", 2))
    assert not table.is_live("a", seconds(1))
    table.update_from_peer(peer("a", 2, 2), seconds(2))
    assert table.is_live("a", seconds(2))
    assert not table.is_live(
        "a", seconds(2) + membership.PEER_SILENCE_TIMEOUT * 2
    )


def test_upstream_is_missing_after_silence():
    table = membership.UpstreamTable("north")
    table.announce(announcement(1), seconds(10), True)
    limit = seconds(10) + membership.UPSTREAM_SILENCE_TIMEOUT
    assert table.is_fresh("u", limit)
    assert not table.is_fresh("u", limit + seconds(0.001))


def test_delayed_announcement_is_not_fresh():
    """By the upstream's clock it was sent five seconds earlier."""
    table = membership.UpstreamTable("north")
    table.announce(announcement(1, clock=100.0), seconds(10), False)
    table.announce(announcement(2, clock=101.0), seconds(16), False)
    assert not table.is_fresh("u", seconds(16))
    table.announce(announcement(3, clock=107.0), seconds(17), False)
    assert table.is_fresh("u", seconds(17))


def test_clock_drift_does_not_count_as_delay():
    table = membership.UpstreamTable("north")
    for second in range(1, 4000):
        now = seconds(second)
        # The upstream's clock loses 200 microseconds a second.
        clock = 50 + second * (1 - 0.0002)
        table.announce(announcement(second, clock=clock), now, False)
    assert table.is_fresh("u", now + seconds(2.9))


def test_messages_buffered_during_a_pause_do_not_refresh():
    table = membership.UpstreamTable("north")
    table.announce(announcement(1), seconds(10), False)
    table.process_resumed(seconds(30))
    table.announce(announcement(2), seconds(30), False)
    assert not table.is_fresh("u", seconds(30))
    table.announce(announcement(3), seconds(31.1), False)
    assert table.is_fresh("u", seconds(31.1))


def test_beat_with_unknown_digest_needs_the_full_announcement():
    source = membership.UpstreamTable("north")
    missed = membership.UpstreamTable("north")
    source.announce(announcement(1), seconds(1), True)
    missed.announce(announcement(1), seconds(1), False)
    source.take_batch(seconds(1))
    leaving = messages.UpstreamState.LEAVING
    source.announce(announcement(2, state=leaving), seconds(2), True)
    source.take_batch(seconds(2))
    source.announce(announcement(3, state=leaving), seconds(3), True)
    (beat,) = source.take_batch(seconds(4)).beats
    assert not missed.beat(beat, seconds(4))
    assert not missed.by_name["u"].announcement.leaving
    (full,) = source.fresh_announcements(["u"], seconds(4)).full
    missed.announce(full, seconds(4), False)
    assert missed.by_name["u"].announcement.leaving


def test_changes_are_sent_at_once_and_load_in_batches():
    table = membership.UpstreamTable("north")
    table.announce(announcement(1), seconds(1), True)
    assert len(table.take_batch(seconds(1)).full) == 1
    load = messages.Load(running=3)
    table.announce(announcement(2, load=load), seconds(1.01), True)
    assert table.take_batch(seconds(1.01)) is None
    batch = table.take_batch(seconds(1) + membership.BATCH_INTERVAL)
    assert [beat.load for beat in batch.beats] == [load]


def test_age_of_forwarded_announcement_counts_as_silence():
    table = membership.UpstreamTable("north")
    table.announce(announcement(1), seconds(10), False, seconds(2))
    assert table.is_fresh("u", seconds(11))
    assert not table.is_fresh("u", seconds(11.5))


def test_digest_covers_all_fields_but_those_of_a_beat():
    one = announcement(1)
    assert membership.announcement_digest(
        one
    ) == membership.announcement_digest(attrs.evolve(one, sequence=7))
    assert membership.announcement_digest(
        one
    ) != membership.announcement_digest(attrs.evolve(one, models=["m"]))


def test_an_entry_that_paused_does_not_mislead_one_that_starts():
    """A complete group was seen as incomplete for up to two minutes.

    The one that paused passes on the newest announcement with the age of the
    one before, since what arrives right after a pause may be old.
    """
    paused = membership.UpstreamTable("north")
    paused.announce(announcement(1, clock=1.0), seconds(10), True)
    paused.process_resumed(seconds(12))
    paused.announce(announcement(2, clock=3.0), seconds(12.1), True)
    told = paused.fresh_announcements(["u"], seconds(12.2))
    started = membership.UpstreamTable("north")
    age = datetime.timedelta(milliseconds=told.ages_ms[0])
    assert age > seconds(2)
    started.announce(told.full[0], seconds(12.2), False, age)
    for number in range(3, 9):
        now = seconds(10.0 + number)
        started.announce(announcement(number, clock=1.0 * number), now, False)
        assert started.by_name["u"].heard_at == now
