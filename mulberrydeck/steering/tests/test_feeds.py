"""What a VM that leads passes on to the others."""

import json

import pytest

from mulberrydeck.peers import feed_messages
from mulberrydeck.platform import documents
from mulberrydeck.platform import store as stores
from mulberrydeck.steering import feeds


def stored(name, revision, text="x"):
    return documents.stored_object(
        json.dumps(
            {"Metadata": {"Name": name, "Revision": revision}, "Spec": text}
        ).encode()
    )


def listing(revision, *objects):
    return stores.Listing(objects, (), revision)


def changes(revision, *pairs):
    made = tuple(stores.Change(one, deleted) for one, deleted in pairs)
    return stores.Changes(made, (), revision)


class Link:
    """A VM that follows the store and one that follows that VM."""

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

    def ask(self, revision, kind="servers"):
        known = (feed_messages.KnownRevision(kind, revision),)
        self.feed_server.handle_request(
            "b", feed_messages.FeedAsk(known, self.now_s)
        )

    def answers(self):
        taken, self.sent = self.sent, []
        return [message for _, message in taken]


def names(part):
    return [
        documents.stored_object(one.content).metadata.name
        for one in part.objects
    ]


def test_a_vm_that_knows_nothing_gets_all_objects():
    link = Link()
    link.feed_server.apply_list(
        "servers", listing(7, stored("t1", 3), stored("t2", 5))
    )
    link.ask(feeds.ALL_OBJECTS)
    (answer,) = link.answers()
    (part,) = answer.parts
    assert (part.since, part.revision) == (feeds.ALL_OBJECTS, 7)
    assert names(part) == ["t1", "t2"]
    assert answer.checked_age_s == 0.0


def test_changes_are_pushed_to_a_vm_that_waits():
    link = Link()
    link.feed_server.apply_list("servers", listing(7, stored("t1", 3)))
    link.ask(7)
    assert link.answers() == []
    link.feed_server.apply_changes(
        "servers", changes(9, (stored("t1", 9), True))
    )
    (answer,) = link.answers()
    (part,) = answer.parts
    assert (part.since, part.revision) == (7, 9)
    assert part.objects[0].deleted


def test_a_list_that_was_read_anew_is_passed_on_as_changes():
    link = Link()
    link.feed_server.apply_list(
        "servers", listing(7, stored("t1", 3), stored("t2", 4))
    )
    link.ask(7)
    link.feed_server.apply_list(
        "servers", listing(12, stored("t2", 4), stored("t3", 9))
    )
    (answer,) = link.answers()
    (part,) = answer.parts
    assert part.since == 7
    assert names(part) == ["t1", "t3"]
    assert [one.deleted for one in part.objects] == [True, False]


def test_a_vm_that_begins_to_lead_names_what_others_know_already():
    link = Link()
    link.feed_server.apply_list(
        "servers", listing(12, stored("t1", 3), stored("t2", 9))
    )
    link.ask(7)
    (answer,) = link.answers()
    (part,) = answer.parts
    assert (part.since, part.revision) == (feeds.ALL_OBJECTS, 12)
    assert names(part) == ["t2"]
    assert part.kept == ("t1",)


def test_an_ask_without_news_is_answered_after_the_next_check():
    link = Link()
    link.feed_server.apply_list("servers", listing(7))
    link.ask(7)
    link.now_s += 0.3
    assert link.answers() == []
    link.feed_server.check_succeeded(link.now_s - 0.01)
    (answer,) = link.answers()
    assert answer.parts == ()
    assert answer.echo_s == pytest.approx(link.now_s - 0.3)
    assert answer.waited_s == pytest.approx(0.3)
    assert answer.checked_age_s == pytest.approx(0.01)


def test_an_answer_without_a_check_says_how_old_the_last_one_is():
    link = Link()
    link.feed_server.apply_list("servers", listing(7))
    link.ask(7)
    link.feed_server.expire()
    assert link.answers() == []
    link.now_s += feeds.MAX_HOLD_S
    link.feed_server.expire()
    (answer,) = link.answers()
    assert answer.checked_age_s == pytest.approx(feeds.MAX_HOLD_S)


def test_a_vm_that_has_not_read_the_store_is_no_source():
    link = Link()
    link.feed_server.apply_list("evacuations", listing(7))
    link.ask(7)
    link.feed_server.check_succeeded(link.now_s)
    assert link.answers() == []
    link.now_s += feeds.MAX_HOLD_S
    link.feed_server.expire()
    (answer,) = link.answers()
    assert answer.checked_age_s is None


def test_a_vm_that_begins_to_lead_answers_once_it_has_read_all_kinds():
    link = Link()
    known = (
        feed_messages.KnownRevision("servers", 7),
        feed_messages.KnownRevision("evacuations", 7),
    )
    link.feed_server.handle_request(
        "b", feed_messages.FeedAsk(known, link.now_s)
    )
    link.feed_server.apply_list("servers", listing(9, stored("t1", 8)))
    assert link.answers() == []
    link.feed_server.apply_list("evacuations", listing(9))
    (answer,) = link.answers()
    assert [part.kind for part in answer.parts] == ["servers", "evacuations"]
    assert answer.checked_age_s is not None


def test_a_vm_that_does_not_lead_any_more_says_so_at_once():
    link = Link()
    link.feed_server.apply_list("servers", listing(7))
    link.ask(7)
    link.feed_server.stop()
    (answer,) = link.answers()
    assert answer.checked_age_s is None


def test_a_return_of_the_store_is_told_with_its_age():
    link = Link()
    link.feed_server.store_regained()
    link.now_s += 0.5
    link.feed_server.apply_list("servers", listing(7))
    link.ask(feeds.ALL_OBJECTS)
    (answer,) = link.answers()
    assert answer.regained_age_s == 0.5


def test_an_older_list_does_not_replace_what_is_known():
    link = Link()
    link.feed_server.apply_list("servers", listing(7, stored("t1", 3)))
    link.feed_server.apply_list("servers", listing(5, stored("t2", 4)))
    link.ask(feeds.ALL_OBJECTS)
    (answer,) = link.answers()
    assert names(answer.parts[0]) == ["t1"]


def test_only_so_many_changes_are_kept():
    link = Link()
    link.feed_server.apply_list("servers", listing(1))
    for revision in range(2, feeds.MAX_LOGGED_CHANGES + 10):
        change = (stored("t1", revision), False)
        link.feed_server.apply_changes("servers", changes(revision, change))
    link.ask(2)
    (answer,) = link.answers()
    assert answer.parts[0].since == feeds.ALL_OBJECTS
    assert names(answer.parts[0]) == ["t1"]
