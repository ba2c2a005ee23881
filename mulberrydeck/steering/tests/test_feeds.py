"""What a VM that leads passes on to its followers."""

import json

import pytest

from mulberrydeck.peers import feed_messages
from mulberrydeck.platform import documents
from mulberrydeck.platform import store as stores
from mulberrydeck.steering import feeds
from mulberrydeck.steering import mirrors


def stored(name, revision, text="x"):
    return documents.decode_stored_object(
        json.dumps(
            {"Metadata": {"Name": name, "Revision": revision}, "Spec": text}
        ).encode()
    )


def listing(revision, *objects):
    return stores.Listing(objects, (), revision)


def changes(revision, *pairs):
    converted = tuple(
        stores.Change(changed, deleted) for changed, deleted in pairs
    )
    return stores.Changes(converted, (), revision)


class FeedPair:
    """The feed server of a VM that leads, with one follower."""

    def __init__(self):
        self.now_s = 100.0
        self.sent = []
        self.feed_server = feeds.FeedServer(
            lambda to, message: self.sent.append((to, message)),
            lambda: self.now_s,
            reports=None,
        )
        self.feed_server.start()
        self.feed_server.check_succeeded(self.now_s)

    def request(self, revision, kind="servers"):
        known = (feed_messages.KnownRevision(kind, revision),)
        self.feed_server.handle_request(
            "b", feed_messages.FeedRequest(known, self.now_s)
        )

    def take_responses(self):
        sent, self.sent = self.sent, []
        return [message for _, message in sent]


def names(part):
    return [
        documents.decode_stored_object(encoded.content).metadata.name
        for encoded in part.objects
    ]


def test_vm_without_knowledge_gets_all_objects():
    pair = FeedPair()
    pair.feed_server.apply_list(
        "servers", listing(7, stored("t1", 3), stored("t2", 5))
    )
    pair.request(mirrors.ALL_OBJECTS)
    (response,) = pair.take_responses()
    (part,) = response.parts
    assert (part.since, part.revision) == (mirrors.ALL_OBJECTS, 7)
    assert names(part) == ["t1", "t2"]
    assert response.checked_age_s == 0.0


def test_changes_complete_a_pending_request():
    pair = FeedPair()
    pair.feed_server.apply_list("servers", listing(7, stored("t1", 3)))
    pair.request(7)
    assert pair.take_responses() == []
    pair.feed_server.apply_changes(
        "servers", changes(9, (stored("t1", 9), True))
    )
    (response,) = pair.take_responses()
    (part,) = response.parts
    assert (part.since, part.revision) == (7, 9)
    assert part.objects[0].deleted


def test_list_that_is_read_again_is_passed_on_as_changes():
    pair = FeedPair()
    pair.feed_server.apply_list(
        "servers", listing(7, stored("t1", 3), stored("t2", 4))
    )
    pair.request(7)
    pair.feed_server.apply_list(
        "servers", listing(12, stored("t2", 4), stored("t3", 9))
    )
    (response,) = pair.take_responses()
    (part,) = response.parts
    assert part.since == 7
    assert names(part) == ["t1", "t3"]
    assert [encoded.deleted for encoded in part.objects] == [True, False]


def test_new_leader_lists_only_names_of_objects_that_followers_know():
    pair = FeedPair()
    pair.feed_server.apply_list(
        "servers", listing(12, stored("t1", 3), stored("t2", 9))
    )
    pair.request(7)
    (response,) = pair.take_responses()
    (part,) = response.parts
    assert (part.since, part.revision) == (mirrors.ALL_OBJECTS, 12)
    assert names(part) == ["t2"]
    assert part.kept == ("t1",)


def test_request_without_updates_completes_after_the_next_check():
    pair = FeedPair()
    pair.feed_server.apply_list("servers", listing(7))
    pair.request(7)
    pair.now_s += 0.3
    assert pair.take_responses() == []
    pair.feed_server.check_succeeded(pair.now_s - 0.01)
    (response,) = pair.take_responses()
    assert response.parts == ()
    assert response.echo_s == pytest.approx(pair.now_s - 0.3)
    assert response.waited_s == pytest.approx(0.3)
    assert response.checked_age_s == pytest.approx(0.01)


def test_response_without_a_check_carries_the_age_of_the_last_one():
    pair = FeedPair()
    pair.feed_server.apply_list("servers", listing(7))
    pair.request(7)
    pair.feed_server.expire()
    assert pair.take_responses() == []
    pair.now_s += feeds.MAX_HOLD_S
    pair.feed_server.expire()
    (response,) = pair.take_responses()
    assert response.checked_age_s == pytest.approx(feeds.MAX_HOLD_S)


def test_vm_that_has_not_read_all_kinds_declines():
    pair = FeedPair()
    pair.feed_server.apply_list("evacuations", listing(7))
    pair.request(7)
    pair.feed_server.check_succeeded(pair.now_s)
    assert pair.take_responses() == []
    pair.now_s += feeds.MAX_HOLD_S
    pair.feed_server.expire()
    (response,) = pair.take_responses()
    assert response.checked_age_s is None


def test_new_leader_responds_once_it_has_read_all_kinds():
    pair = FeedPair()
    known = (
        feed_messages.KnownRevision("servers", 7),
        feed_messages.KnownRevision("evacuations", 7),
    )
    pair.feed_server.handle_request(
        "b", feed_messages.FeedRequest(known, pair.now_s)
    )
    pair.feed_server.apply_list("servers", listing(9, stored("t1", 8)))
    assert pair.take_responses() == []
    pair.feed_server.apply_list("evacuations", listing(9))
    (response,) = pair.take_responses()
    assert [part.kind for part in response.parts] == ["servers", "evacuations"]
    assert response.checked_age_s is not None


def test_vm_that_stops_leading_declines_at_once():
    pair = FeedPair()
    pair.feed_server.apply_list("servers", listing(7))
    pair.request(7)
    pair.feed_server.stop()
    (response,) = pair.take_responses()
    assert response.checked_age_s is None


def test_response_carries_the_age_of_the_stores_return():
    pair = FeedPair()
    pair.feed_server.store_regained(pair.now_s)
    pair.now_s += 0.5
    pair.feed_server.apply_list("servers", listing(7))
    pair.request(mirrors.ALL_OBJECTS)
    (response,) = pair.take_responses()
    assert response.regained_age_s == 0.5


def test_older_list_does_not_replace_newer_objects():
    pair = FeedPair()
    pair.feed_server.apply_list("servers", listing(7, stored("t1", 3)))
    pair.feed_server.apply_list("servers", listing(5, stored("t2", 4)))
    pair.request(mirrors.ALL_OBJECTS)
    (response,) = pair.take_responses()
    assert names(response.parts[0]) == ["t1"]


def test_change_log_is_bounded():
    pair = FeedPair()
    pair.feed_server.apply_list("servers", listing(1))
    for revision in range(2, mirrors.MAX_LOGGED_CHANGES + 10):
        change = (stored("t1", revision), False)
        pair.feed_server.apply_changes("servers", changes(revision, change))
    pair.request(2)
    (response,) = pair.take_responses()
    assert response.parts[0].since == mirrors.ALL_OBJECTS
    assert names(response.parts[0]) == ["t1"]


def part(since, revision, *objects, kept=()):
    return feed_messages.FeedPart("servers", since, revision, (), kept), tuple(
        stores.Change(each, False) for each in objects
    )


def test_a_leader_passes_updates_of_another_one_on():
    pair = FeedPair()
    pair.feed_server.apply_part(
        *part(mirrors.ALL_OBJECTS, 7, stored("t1", 3), stored("t2", 5))
    )
    pair.request(7)
    assert pair.take_responses() == []
    pair.feed_server.apply_part(*part(7, 9, stored("t2", 9)))
    (response,) = pair.take_responses()
    assert names(response.parts[0]) == ["t2"]
    assert response.parts[0].revision == 9


def test_a_leader_keeps_the_objects_that_a_full_part_only_names():
    pair = FeedPair()
    pair.feed_server.apply_part(
        *part(mirrors.ALL_OBJECTS, 7, stored("t1", 3), stored("t2", 5))
    )
    pair.feed_server.apply_part(
        *part(mirrors.ALL_OBJECTS, 9, stored("t3", 9), kept=("t1",))
    )
    assert set(pair.feed_server.mirrors["servers"].objects) == {"t1", "t3"}


@pytest.mark.parametrize(
    "incomplete",
    [
        part(8, 9, stored("t2", 9)),
        part(mirrors.ALL_OBJECTS, 9, kept=("unknown",)),
    ],
)
def test_a_leader_that_missed_updates_does_not_pass_a_check_on(incomplete):
    pair = FeedPair()
    pair.feed_server.apply_part(*part(mirrors.ALL_OBJECTS, 7, stored("t1", 3)))
    pair.feed_server.apply_part(*incomplete)
    pair.request(7)
    pair.feed_server.check_succeeded(pair.now_s)
    assert pair.take_responses() == []
    pair.now_s += feeds.MAX_HOLD_S
    pair.feed_server.expire()
    (response,) = pair.take_responses()
    assert response.checked_age_s is None


def test_reading_the_store_beside_a_source_never_restores_older_objects():
    pair = FeedPair()
    pair.feed_server.apply_list("servers", listing(5, stored("t1", 3)))
    pair.feed_server.apply_part(*part(5, 9, stored("t1", 9)))
    pair.feed_server.apply_changes(
        "servers",
        changes(10, (stored("t1", 7), False), (stored("t2", 10), False)),
    )
    objects = pair.feed_server.mirrors["servers"].objects
    revisions = {n: each.metadata.revision for n, each in objects.items()}
    assert revisions == {"t1": 9, "t2": 10}


def test_an_old_deletion_does_not_remove_a_newer_object():
    pair = FeedPair()
    pair.feed_server.apply_list("servers", listing(5, stored("t1", 3)))
    pair.feed_server.apply_part(*part(5, 9, stored("t1", 9)))
    pair.feed_server.apply_changes(
        "servers", changes(10, (stored("t1", 3), True))
    )
    assert "t1" in pair.feed_server.mirrors["servers"].objects


def test_a_check_that_arrives_late_makes_nothing_older():
    pair = FeedPair()
    pair.feed_server.apply_list("servers", listing(5))
    pair.feed_server.check_succeeded(pair.now_s - 1.0)
    pair.request(5)
    pair.feed_server.check_succeeded(pair.now_s - 2.0)
    (response,) = pair.take_responses()
    assert response.checked_age_s == 0.0
