//! Tests of the messages exchanged with the cloud.

use super::super::fixture_table::FixtureTable;
use super::{assert_decodes, assert_round_trip};
use umbervale::wire::cloud::{
    ListedMachine, MachineNames, MachinePage, MachineState, MachineType, MachineTypeList,
    RentRequest,
};

fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.0,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn listed_machine(state: MachineState, spot: bool) -> ListedMachine {
    ListedMachine {
        id: "host-000231".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot,
        state,
        age_s: 61.5,
    }
}

fn check_machine_types(table: &mut FixtureTable) {
    let without_zones = MachineType {
        zones: Vec::new(),
        ..machine_type()
    };
    let machine_types = |machine_types| MachineTypeList { machine_types };
    assert_round_trip(
        table,
        "types",
        &machine_types(vec![machine_type(), without_zones]),
    );
    assert_round_trip(table, "types_none", &machine_types(Vec::new()));
    assert_decodes(table, "types_whole", &machine_types(vec![machine_type()]));
}

fn check_renting(table: &mut FixtureTable) {
    let rent = |spot, count| RentRequest {
        request_id: "r-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot,
        count,
    };
    assert_round_trip(table, "rent_spot", &rent(true, 50));
    assert_round_trip(table, "rent_ordinary", &rent(false, 1));
    let machines = |machines| MachineNames { machines };
    let names = vec!["host-000231".into(), "host-000232".into()];
    assert_round_trip(table, "machines", &machines(names));
    assert_round_trip(table, "machines_none", &machines(Vec::new()));
}

fn check_machine_lists(table: &mut FixtureTable) {
    for (name, state) in [
        ("listed_booting", MachineState::Booting),
        ("listed_running", MachineState::Running),
        ("listed_failed", MachineState::Failed),
    ] {
        assert_round_trip(table, name, &listed_machine(state, true));
    }
    let on_demand = listed_machine(MachineState::Running, false);
    assert_round_trip(table, "listed_ordinary", &on_demand);
    assert_decodes(table, "listed_left_out", &on_demand);
    let page = |machines, has_more| MachinePage { machines, has_more };
    let machines = vec![on_demand, listed_machine(MachineState::Booting, true)];
    assert_round_trip(table, "list", &page(machines, true));
    assert_round_trip(table, "list_empty", &page(Vec::new(), false));
    assert_decodes(table, "list_left_out", &page(Vec::new(), false));
}

#[test]
fn cloud_messages_match_the_fixtures() {
    let mut table = FixtureTable::open("wire/cloud.txt");
    check_machine_types(&mut table);
    check_renting(&mut table);
    check_machine_lists(&mut table);
    table.finish();
}
