"""Syncing before sending, messages for a replaced disk, and recovery."""

import datetime
import random
import threading

from twisted.internet import task

from figford import agreement
from figford import control
from figford import durable
from figford import effects
from figford import membership
from figford import messages

NOW = datetime.timedelta(seconds=10)


class BlockingJournal:
    """A journal whose sync blocks until the test allows it."""

    def __init__(self):
        self.written = []
        self.sync_allowed = threading.Event()

    def append(self, records):
        self.sync_allowed.wait(30)
        self.written.append(list(records))

    def rewrite(self, records):
        self.written.append(["rewrite", *records])

    def close(self):
        pass


class ThreadClock(task.Clock):
    """A clock that queues `callFromThread` calls for `pump` to run."""

    def __init__(self):
        super().__init__()
        self.called = []
        self.arrived = threading.Semaphore(0)

    def callFromThread(self, function, *args, **kwargs):
        self.called.append((function, args, kwargs))
        self.arrived.release()

    def pump(self):
        assert self.arrived.acquire(timeout=30)
        function, args, kwargs = self.called.pop(0)
        function(*args, **kwargs)


def batch(index, records=True):
    state = [messages.HardState(index, None)] if records else []
    send = effects.SendPeer(f"to-{index}", messages.ConfigurationPull(index))
    return effects.PersistRecords(state, [send], index, 1)


def test_no_message_leaves_before_its_records_are_synced():
    reactor = ThreadClock()
    journal = BlockingJournal()
    synced = []
    writer = durable.DurableWriter(
        reactor,
        journal,
        lambda done: synced.append(done.last_index),
        lambda failure: failure.raiseException(),
    )
    writer.start()
    try:
        writer.submit(batch(0, records=False))
        assert synced == [0]
        writer.submit(batch(1))
        writer.submit(batch(2, records=False))
        writer.submit(batch(3))
        assert synced == [0]
        journal.sync_allowed.set()
        reactor.pump()
        assert synced == [0, 1, 2]
        reactor.pump()
        assert synced == [0, 1, 2, 3]
        assert len(journal.written) == 2
    finally:
        writer.stop()


def disk(voter, incarnation=1):
    me = messages.Peer("a", incarnation, 0, "dc", "127.0.0.1:1", voter=voter)
    return control.Control(
        membership.PeerTable(me),
        agreement.Agreement(voter, random.Random(1)),
    )


def test_message_for_a_lost_disk_is_dropped_by_its_replacement():
    replica = disk("a.2")
    replica.restore([messages.Identity("a.2")], NOW)
    request = messages.VoteRequest(9, "b.1", 0, 0, False)
    assert replica.receive(messages.Addressed("a.1", request), NOW) == []
    assert replica.agreement.term == 0
    (answered,) = replica.receive(messages.Addressed("a.2", request), NOW)
    assert answered.records


def test_vote_is_on_disk_before_it_is_given():
    replica = disk("a.1")
    replica.restore(control.bootstrap_records("a.1"), NOW)
    replica.peers.update(
        messages.Peer("b", 1, 0, "dc", "127.0.0.1:2", voter="b.1")
    )
    request = messages.VoteRequest(9, "b.1", 5, 5, False)
    (given,) = replica.receive(messages.Addressed("a.1", request), NOW)
    assert messages.HardState(9, "b.1") in given.records
    assert given.sends[0].message.message.granted


def test_manual_recovery_votes_under_a_new_name():
    replica = disk("a.1")
    replica.restore(control.bootstrap_records("a.1"), NOW)
    recovery = control.recover(replica.agreement.all_records(), "a.9")
    assert recovery.former_voters == ["a.1"]
    recovered = agreement.Agreement("x", random.Random(1))
    recovered.restore(recovery.records, NOW)
    assert (recovered.voter, recovered.voters) == ("a.9", ["a.9"])
