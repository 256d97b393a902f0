//! Tests of the messages exchanged with the state service.

use super::super::fixture_table::FixtureTable;
use super::{assert_decodes, assert_round_trip};
use rmpv::Value;
use umbervale::wire::store::{
    Changes, Comparison, Conflict, GrantLeaseRequest, Item, LeaseGranted, Listing, Mutation,
    Revision, Transaction, WatchEvent,
};

/// Returns a map with values of several MessagePack types.
fn sample_value() -> Value {
    let field = |name: &str, value| (Value::from(name), value);
    Value::Map(vec![
        field("null", Value::Nil),
        field("number", 412.into()),
        field("below_zero", (-7).into()),
        field("amount", 0.5.into()),
        field("flag", true.into()),
        field("list", Value::Array(vec!["text".into(), 1.into()])),
        field("map", Value::Map(Vec::new())),
    ])
}

fn item() -> Item {
    Item {
        key: "a/b".into(),
        value: sample_value(),
        version: 412,
    }
}

fn check_items(table: &mut FixtureTable) {
    assert_round_trip(table, "item", &item());
    assert_decodes(table, "item_leased", &item());
    let typed_item = Item::<GrantLeaseRequest> {
        key: "a/b".into(),
        value: GrantLeaseRequest { ttl_ms: 5_000 },
        version: 0,
    };
    assert_round_trip(table, "item_of_a_type", &typed_item);
    let listing = |items, has_more| Listing {
        items,
        has_more,
        revision: 431,
    };
    assert_round_trip(table, "listing", &listing(vec![item(), item()], true));
    assert_round_trip(table, "listing_empty", &listing(Vec::new(), false));
    assert_decodes(table, "listing_left_out", &listing(Vec::new(), false));
}

fn check_transactions(table: &mut FixtureTable) {
    let comparison = Comparison {
        key: "a/b".into(),
        version: 0,
    };
    assert_round_trip(table, "condition", &comparison);
    let put = |lease| Mutation::Put {
        key: "a/b".into(),
        value: sample_value(),
        lease,
    };
    assert_round_trip(table, "put", &put(None));
    assert_round_trip(table, "put_leased", &put(Some(7)));
    let delete = Mutation::Delete { key: "c/d".into() };
    assert_round_trip(table, "delete", &delete);
    assert_round_trip(table, "txn_empty", &Transaction::default());
    let transaction = Transaction::default()
        .compare("a/b", 0)
        .compare("c/d", 412)
        .put("a/b", sample_value())
        .put_with_lease("live/lead", 1.into(), 7)
        .delete("c/d");
    assert_round_trip(table, "txn", &transaction);
}

fn check_commit_replies_and_leases(table: &mut FixtureTable) {
    assert_round_trip(table, "revision", &Revision { revision: 432 });
    let conflict = Conflict {
        failed_keys: vec!["a/b".into()],
    };
    assert_round_trip(table, "conflict", &conflict);
    assert_decodes(table, "conflict_with_revision", &conflict);
    assert_round_trip(table, "hold", &GrantLeaseRequest { ttl_ms: 600_000 });
    assert_round_trip(table, "lease", &LeaseGranted { lease: 7 });
}

fn check_changes(table: &mut FixtureTable) {
    let put = WatchEvent::Put {
        key: "c/9".into(),
        value: sample_value(),
        version: 433,
    };
    assert_round_trip(table, "event_put", &put);
    let delete = WatchEvent::Delete {
        key: "c/d".into(),
        version: 432,
    };
    assert_round_trip(table, "event_delete", &delete);
    let changes = |events| Changes {
        revision: 433,
        events,
    };
    assert_round_trip(table, "changes", &changes(vec![put, delete]));
    assert_round_trip(table, "changes_none", &changes(Vec::new()));
}

#[test]
fn state_service_messages_match_the_fixtures() {
    let mut table = FixtureTable::open("wire/store.txt");
    check_items(&mut table);
    check_transactions(&mut table);
    check_commit_replies_and_leases(&mut table);
    check_changes(&mut table);
    table.finish();
}
