"""Eras of the store, as its responses name them."""

import pytest

from mulberrydeck import errors
from mulberrydeck.platform import store


class EraClient(store.StoreClient):
    """A client whose responses are given: era and body."""

    def __init__(self, *responses):
        super().__init__("store", None)
        self.responses = list(responses)
        self.risen = []
        self.report_era = self.risen.append

    def _call(self, *_args, **_fields):
        era, body = self.responses.pop(0)
        self._observe_era(era)
        return body


def page(at):
    return b'{"items":[],"At":%d}' % at


def changes(at):
    return b'{"events":[],"At":%d}' % at


@pytest.mark.parametrize("first", ["0", "1", "41"])
def test_revisions_rise_with_the_era(first):
    client = EraClient((first, page(90)), (str(int(first) + 1), page(20)))
    before = client.list("servers").unwrap().revision
    assert client.list("servers").unwrap().revision > before
    assert client.risen == [int(first) + 1]


@pytest.mark.parametrize("era", ["", "-1", "new", "9" * 400])
def test_a_store_without_readable_eras_is_followed(era):
    client = EraClient((era, page(90)), (era, changes(95)))
    revision = client.list("servers").unwrap().revision
    assert client.watch("servers", revision, 1.0).unwrap().revision == 95
    assert not client.risen


@pytest.mark.parametrize("era", ["", "4", "new"])
def test_a_response_of_an_earlier_era_changes_nothing(era):
    client = EraClient(("5", page(90)), (era, page(95)))
    client.list("servers")
    failure = client.list("servers").failure()
    assert isinstance(failure, errors.PlatformOutcomeUnknownError)
    assert not client.risen


def test_a_watch_from_an_earlier_era_lists_anew():
    client = EraClient(("5", page(90)), ("6", changes(95)), ("6", changes(96)))
    revision = client.list("servers").unwrap().revision
    for _ in range(2):
        failure = client.watch("servers", revision, 1.0).failure()
        assert isinstance(failure, store.RevisionCompactedError)
    assert client.risen == [6]
    assert len(client.responses) == 1


def test_a_list_is_of_one_era():
    first = b'{"items":[{"Metadata":{"Name":"a"}}],"HasMore":true,"At":9}'
    client = EraClient(("5", first), ("6", page(3)))
    failure = client.list("servers").failure()
    assert isinstance(failure, errors.PlatformOutcomeUnknownError)
