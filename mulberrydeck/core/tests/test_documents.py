"""Tests of the exchange of documents between VMs."""

import hypothesis
from hypothesis import strategies

from mulberrydeck.core import documents
from mulberrydeck.peers import messages

document_sequences = strategies.lists(
    strategies.tuples(
        strategies.integers(min_value=0, max_value=9),
        strategies.floats(min_value=0, max_value=100),
    ),
    max_size=30,
)


@hypothesis.given(document_sequences)
@hypothesis.settings(derandomize=True)
def test_version_never_decreases_in_any_order_of_documents(sequence):
    state = documents.DocumentsState()
    held = state.by_name["config"]
    for version, confirmed_at_s in sequence:
        before = held.version
        documents.apply_if_newer(state, "config", version, b"%d" % version, 0.0)
        assert held.version >= before
        assert held.content == (b"%d" % held.version if held.version else b"")
        documents.record_confirmation(state, "config", version, confirmed_at_s)


def test_newer_document_is_requested_once_per_interval():
    state = documents.DocumentsState()
    reported = (messages.DocumentVersion("config", 5, 0.0),)
    first = documents.request_newer(state, 10.0, "b", reported)
    assert first[0].message == messages.DocumentRequest("config", 0)
    assert documents.request_newer(state, 10.1, "c", reported) == []
    assert documents.request_newer(state, 10.6, "c", reported)


def test_confirmation_of_an_older_version_is_ignored():
    state = documents.DocumentsState()
    documents.apply_if_newer(state, "keys", 7, b"7", 1.0)
    documents.record_confirmation(state, "keys", 6, 50.0)
    assert state.by_name["keys"].confirmed_at_s == 1.0


def test_peer_reports_when_the_platform_last_confirmed():
    state = documents.DocumentsState()
    documents.apply_if_newer(state, "keys", 7, b"7", 1.0)
    reported = (messages.DocumentVersion("keys", 7, 3.0),)
    documents.request_newer(state, 20.0, "b", reported)
    assert state.by_name["keys"].confirmed_at_s == 17.0


def test_responds_only_with_newer_documents():
    state = documents.DocumentsState()
    documents.apply_if_newer(state, "config", 3, b"x", 1.0)
    newer = messages.DocumentRequest("config", 2)
    same = messages.DocumentRequest("config", 3)
    assert documents.respond(state, 2.0, "b", newer)[0].message.version == 3
    assert documents.respond(state, 2.0, "b", same) == []
