//! Tests of the messages exchanged with users, workers, the cloud and the state service.

mod cloud;
mod malformed;
mod state_service;
mod users;
mod workers;

use super::fixture_table::FixtureTable;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use umbervale::wire::{decode, encode};

/// Asserts that the message is encoded as the bytes of the fixture, and that these bytes are decoded as
/// the message.
#[track_caller]
fn assert_round_trip<T>(table: &mut FixtureTable, name: &str, message: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let expected = table.take_bytes(name);
    assert_eq!(encode(message), expected, "{name}");
    assert_eq!(
        decode::<T>(&expected).ok().as_ref(),
        Some(message),
        "{name}"
    );
}

/// Asserts that the bytes of the fixture, which differ from the encoding of the message, are decoded as
/// the message.
#[track_caller]
fn assert_decodes<T>(table: &mut FixtureTable, name: &str, message: &T)
where
    T: DeserializeOwned + PartialEq + Debug,
{
    let expected = table.take_bytes(name);
    assert_eq!(
        decode::<T>(&expected).ok().as_ref(),
        Some(message),
        "{name}"
    );
}
